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
    CallPace,
    UsualPaces,
    within_pace,
)
from egretshed.slots.records import Slot
from standins.clock import ManualClock


class FakeBackend:
    """Answers one cancellation after the other; the last answer repeats."""

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

    def judge(self, decision, result, error):
        return "observation"

    def release(self, decision, observation):
        assert observation == "observation"
        self.released_s = self.clock.monotonic_s()


@given("a call whose slot is for {seconds:g} s")
def call_with_slot(context, seconds):
    context.clock = ManualClock()
    context.start_s = context.clock.monotonic_s()
    context.decision = SimpleNamespace(
        call=SimpleNamespace(attempt_id="a"),
        replica=SimpleNamespace(replica_id="p-0"),
        slot=Slot("p-0", "a", context.start_s + seconds),
    )


@given('its server answers cancelling with "{answers}"')
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


@given("a pool with usually {token_s:g} s per token")
def usual_pace(context, token_s):
    context.clock = ManualClock()
    context.paces = UsualPaces()
    context.paces.observe("p", 101, 100 * token_s)


@given("a call for {expected:d} tokens that has {left_s:g} s")
def call_pace(context, expected, left_s):
    end_s = context.clock.monotonic_s() + left_s
    context.pace = CallPace(expected, end_s, context.paces.token_s("p"))


@when('its tokens come at gaps of "{gaps}"')
def tokens_come(context, gaps):
    for gap in gaps.split():
        asyncio.run(context.clock.advance(float(gap)))
        context.pace.note(1, context.clock.monotonic_s())


@when("{seconds:g} s pass without a token")
def idle(context, seconds):
    asyncio.run(context.clock.advance(seconds))


@then("it is {verdict}")
def verdict_is(context, verdict):
    too_slow = context.pace.is_too_slow(context.clock.monotonic_s())
    assert too_slow == (verdict == "too slow"), too_slow


@when("it is awaited and {could} run elsewhere")
def awaited(context, could):
    asyncio.run(await_call(context, could == "could"))


async def await_call(context, could_move):
    context.work = asyncio.get_running_loop().create_future()
    waiting = asyncio.ensure_future(
        within_pace(context.clock, context.work, context.pace, lambda: could_move)
    )
    await context.clock.advance(1.0)
    context.failure = waiting.exception() if waiting.done() else None
    context.work_cancelled = context.work.cancelled()
    waiting.cancel()


@then("after 1 s it is {end}")
def awaited_end(context, end):
    assert isinstance(context.failure, BackendSlow) == (end == "given up")
    assert context.work_cancelled == (end == "given up")
