import asyncio
from types import SimpleNamespace

from behave import (
    given,
    then,
    when,
)

from egretshed.errors import (
    BackendSlow,
    BackendUnreachable,
    RequestCancelled,
)
from egretshed.requests.abandoned_calls import AbandonedCalls
from egretshed.requests.token_latency import (
    CallTokenLatency,
    PoolTokenLatencies,
    await_unless_too_slow,
)
from egretshed.slots.records import Slot
from standins.clock import ManualClock


class FakeBackend:
    """Gives one of `answers` to each cancellation; the last one repeats."""

    def __init__(self, answers):
        self.answers = answers

    async def cancel(self, attempt_id):
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer == "refused":
            raise BackendUnreachable(may_have_run=False)
        if answer == "lost":
            raise BackendUnreachable(may_have_run=True)
        return answer == "running"


class FakeRouter:
    def __init__(self, clock):
        self.clock = clock
        self.released_s = None

    def record_result(self, decision, result, error):
        return "observation"

    def release(self, decision, observation):
        assert observation == "observation"
        self.released_s = self.clock.monotonic_s()


@given("a call that holds a slot for {seconds:g} s")
def call_with_slot(context, seconds):
    context.clock = ManualClock()
    context.start_s = context.clock.monotonic_s()
    context.decision = SimpleNamespace(
        call=SimpleNamespace(attempt_id="a"),
        replica=SimpleNamespace(replica_id="p-0"),
        slot=Slot("p-0", "a", context.start_s + seconds),
    )


@given('its server answers cancellations with "{answers}"')
def server_answers(context, answers):
    context.backend = FakeBackend(answers.split())


@when("the call is abandoned")
def call_abandoned(context):
    context.router = FakeRouter(context.clock)
    asyncio.run(abandon(context))


async def abandon(context):
    directory = SimpleNamespace(get=lambda replica_id: context.backend)
    calls = AbandonedCalls(context.clock, context.router, directory)
    calls.add(context.decision, RequestCancelled())
    for _ in range(200):
        await context.clock.advance(0.1)


@then("its slot is released after {seconds:g} s")
def slot_released(context, seconds):
    took_s = context.router.released_s - context.start_s
    assert abs(took_s - seconds) < 0.01, took_s


@given("a pool with an average of {token_s:g} s per token")
def average_latency(context, token_s):
    context.clock = ManualClock()
    context.token_latencies = PoolTokenLatencies()
    context.token_latencies.observe("p", 101, 100 * token_s)


@given("a call for {expected:d} tokens with a deadline in {remaining_s:g} s")
def call_with_deadline(context, expected, remaining_s):
    deadline_at_s = context.clock.monotonic_s() + remaining_s
    context.latency = CallTokenLatency(
        expected, deadline_at_s, context.token_latencies.token_s("p")
    )


@when('its tokens arrive at intervals of "{intervals}" s')
def tokens_arrive(context, intervals):
    for interval in intervals.split():
        asyncio.run(context.clock.advance(float(interval)))
        context.latency.record(1, context.clock.monotonic_s())


@when("{seconds:g} s pass without a token")
def pass_without_token(context, seconds):
    asyncio.run(context.clock.advance(seconds))


@then("the call is {verdict}")
def verdict_is(context, verdict):
    too_slow = context.latency.is_too_slow(context.clock.monotonic_s())
    assert too_slow == (verdict == "too slow"), too_slow


@when("its result is awaited and it {could} complete elsewhere")
def await_result(context, could):
    asyncio.run(await_call(context, could == "could"))


async def await_call(context, could_complete_elsewhere):
    context.work = asyncio.get_running_loop().create_future()
    waiting = asyncio.ensure_future(
        await_unless_too_slow(
            context.clock,
            context.work,
            context.latency,
            lambda: could_complete_elsewhere,
        )
    )
    await context.clock.advance(1.0)
    context.failure = waiting.exception() if waiting.done() else None
    context.work_cancelled = context.work.cancelled()
    waiting.cancel()


@then("after 1 s the call is {end}")
def check_end(context, end):
    assert isinstance(context.failure, BackendSlow) == (end == "given up")
    assert context.work_cancelled == (end == "given up")
