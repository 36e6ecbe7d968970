import asyncio
import io
import json

from behave import (
    given,
    then,
    when,
)

from egretshed.backends.interface import (
    BackendResult,
    CacheEvent,
)
from egretshed.errors import (
    BackendRejected,
    BackendSlow,
    BackendUnreachable,
    NoReplicaAvailable,
)
from egretshed.logs import make_logger
from egretshed.routing.prefix_cache import (
    MAX_PREFIXES,
    PrefixCacheHints,
)
from egretshed.routing.records import StageCall
from egretshed.routing.router import Router
from standins.clock import ManualClock
from standins.environments import (
    make_environment,
    make_settings,
)
from standins.fake_backends import FakeDirectory
from standins.fake_borrower import FakeBorrower
from standins.fake_membership import (
    FakeConfiguration,
    FakeMembership,
    make_configuration,
)

PREFIX = "plan the route"


@given('a router with policy "{policy}" over {count:d} replicas and "{name}" off')
def router_without(context, policy, count, name):
    router(context, policy, count, **{name: False})


@given('a router with policy "{policy}" over {count:d} replicas')
def router(context, policy, count, **fields):
    context.clock = ManualClock()
    context.log = io.StringIO()
    settings = make_settings(routing={"policy": policy, **fields})
    env = make_environment(context.clock, settings=settings)
    env = env._replace(logger=make_logger("entry-1", stream=context.log))
    context.env = env
    context.ids = [f"p-{index}" for index in range(count)]
    context.configuration = FakeConfiguration(make_configuration(count))
    context.membership = FakeMembership("entry-1", ["entry-1"])
    context.borrower = FakeBorrower(context.clock, context.ids)
    context.excluded = frozenset()
    context.number = 0
    context.router = Router(
        env,
        context.configuration,
        context.borrower,
        context.membership,
        FakeDirectory({}),
    )


def make_call(context):
    context.number += 1
    return StageCall(
        request_id="r1",
        attempt_id=f"r1/{context.number}",
        customer_id="c",
        stage="generate",
        pool="p",
        remaining_s=2.0,
        prefix=PREFIX,
        excluded_replicas=context.excluded,
    )


def make_result(decision, first_token_s, cached_tokens=9):
    return BackendResult(
        attempt_id=decision.call.attempt_id,
        output={},
        first_token_s=first_token_s,
        total_s=2 * first_token_s,
        prompt_tokens=9,
        cached_tokens=cached_tokens,
    )


def declare(context, replica_id, **fields):
    current = context.configuration.current
    pool = current.pools["p"]
    replicas = tuple(
        replica._replace(**fields) if replica.replica_id == replica_id else replica
        for replica in pool.replicas
    )
    pools = {"p": pool._replace(replicas=replicas)}
    context.configuration.current = current._replace(pools=pools)


@given("replica {replica_id} is {state}")
def replica_state(context, replica_id, state):
    if state == "in an out domain":
        domains = dict(context.configuration.current.failure_domains)
        domains["b"] = domains["a"]._replace(out=True)
        current = context.configuration.current._replace(failure_domains=domains)
        context.configuration.current = current
        declare(context, replica_id, failure_domain="b")
    elif state == "draining":
        declare(context, replica_id, draining=True)
    elif state == "leaving":
        context.membership.leaving_replicas.add(replica_id)
    elif state == "without slots":
        context.borrower.set(replica_id, free=0)
    elif state == "tried before":
        context.excluded = frozenset({replica_id})
    elif state == "failing":
        for _ in range(3):
            place_on(context, replica_id, None)
        context.log.truncate(0)
        context.log.seek(0)


@given("the configuration is stale")
def not_fresh(context):
    context.configuration.fresh = False


@when("a call is routed 9 times")
def routed_often(context):
    context.decisions = [context.router.choose(make_call(context)) for _ in range(9)]


def lines(context):
    parsed = [json.loads(line) for line in context.log.getvalue().splitlines()]
    return [line for line in parsed if line["message"] == "routing_decision"]


@then('{replica_id} is never chosen and the log gives the reason "{lost}"')
def never_chosen(context, replica_id, lost):
    chosen = {decision.replica.replica_id for decision in context.decisions}
    assert chosen and replica_id not in chosen, chosen
    for line in lines(context):
        reason = line["lost"][replica_id]
        assert reason in (lost, "ranked_lower"), reason
    assert any(line["lost"][replica_id] == lost for line in lines(context))


@when("a call is routed")
def routed(context):
    context.decision = context.refusal = None
    try:
        context.decision = context.router.choose(make_call(context))
    except NoReplicaAvailable as error:
        context.refusal = error


@then('the call is refused because of "{reason}"')
def refused(context, reason):
    assert set(context.refusal.lost.values()) == {reason}, context.refusal


@then("slots of {count:d} replicas were requested")
def slots_asked(context, count):
    assert len(set(context.borrower.requested_replica_ids)) == count, (
        context.borrower.requested_replica_ids
    )


@when("{count:d} calls are routed and complete")
def many_routed(context, count):
    context.counts = dict.fromkeys(context.ids, 0)
    for _ in range(count):
        try:
            decision = context.router.choose(make_call(context)._replace(prefix=""))
        except NoReplicaAvailable:
            continue
        context.counts[decision.replica.replica_id] += 1
        context.router.observe(decision, make_result(decision, 0.2), None)


@given("the subset of this node {has} slots")
def subset_has(context, has):
    ranking = context.router._rank(make_call(context))
    for _, candidate in ranking.scored:
        if has == "has no":
            context.borrower.set(candidate.replica.replica_id, free=0)


@then("{least:d} to {most:d} replicas were used")
def replicas_used(context, least, most):
    used = sum(count > 0 for count in context.counts.values())
    assert least <= used <= most, context.counts


@then("each replica got {least:d} to {most:d} calls")
def each_got(context, least, most):
    counts = context.counts.values()
    assert least <= min(counts) and max(counts) <= most, context.counts


@given("all past calls had their first token after {first_token_s:g} s")
def had_first_token(context, first_token_s):
    for replica_id in context.ids:
        for _ in range(10):
            place_on(context, replica_id, first_token_s)
    for replica_id in context.ids:
        context.router.hints.clear(replica_id)
    context.borrower.released.clear()


def place_on(context, replica_id, first_token_s):
    context.excluded = frozenset(context.ids) - {replica_id}
    decision = context.router.choose(make_call(context))
    context.excluded = frozenset()
    failed = first_token_s is None
    result = None if failed else make_result(decision, first_token_s)
    error = BackendUnreachable() if failed else None
    context.router.observe(decision, result, error)


@given('p-0 is "{first}" and p-1 is "{second}"')
def replicas_are(context, first, second):
    domains = dict(context.configuration.current.failure_domains)
    domains["b"] = domains["a"]
    current = context.configuration.current._replace(failure_domains=domains)
    context.configuration.current = current
    for replica_id, words in (("p-0", first), ("p-1", second)):
        for word in words.split():
            apply_condition(context, replica_id, word)


def apply_condition(context, replica_id, word):
    name, _, value = word.partition("=")
    if name == "cached":
        context.router.hints.add(replica_id, PREFIX)
    elif name == "load":
        context.borrower.set(replica_id, in_flight=int(value))
    elif name == "limit":
        context.borrower.set(replica_id, limit=int(value))
    elif name == "warming":
        context.borrower.set(replica_id, warm=False)
    elif name == "far":
        declare(context, replica_id, failure_domain="b")
    elif name == "given-up":
        context.excluded = frozenset(context.ids) - {replica_id}
        decision = context.router.choose(make_call(context))
        context.excluded = frozenset()
        asyncio.run(context.clock.advance(1.0))
        context.router.observe(decision, None, BackendSlow())
    elif name == "slow":
        for _ in range(10):
            place_on(context, replica_id, 0.5)
        context.router.hints.clear(replica_id)


@then("p-0 is {chosen}")
def p_0_is(context, chosen):
    is_chosen = context.decision.replica.replica_id == "p-0"
    assert is_chosen == (chosen == "chosen"), lines(context)[-1]


@when("the outcome of a call is {end}")
def call_ends(context, end):
    if "as expected" in end:
        context.router.hints.add("p-0", PREFIX)
    decision = context.router.choose(make_call(context))
    result = error = None
    if end.startswith("a first token"):
        result = make_result(decision, float(end.split()[-2]))
        if "3000 prompt tokens" in end:
            result = result._replace(prompt_tokens=3000)
    elif end.startswith("nothing cached"):
        result = make_result(decision, 0.2, cached_tokens=0)
    elif end == "a rejection":
        error = BackendRejected(may_have_run=False)
    elif end == "a lost connection":
        error = BackendUnreachable()
    context.router.observe(decision, result, error)


@then("the slot is released and the server {seems}")
def server_seems(context, seems):
    assert len(context.borrower.released) == 1, context.borrower.released
    _, observation = context.borrower.released[0]
    assert observation.seems_cold == (seems == "seems cold"), observation


@when("{count:d} calls in a row have their first token after {first_token_s:g} s")
def late_calls(context, count, first_token_s):
    for _ in range(count):
        place_on(context, "p-0", first_token_s)


def expand_repeats(text):
    """Return the words of `text`, with each ``word*n`` repeated n times."""
    pairs = (word.partition("*") for word in text.split())
    return [word for word, _, times in pairs for _ in range(int(times or 1))]


@when('calls expect the prefix "{expected}" and hit or miss it as in "{found}"')
def calls_expect_prefix(context, expected, found):
    held = PREFIX if expected == "as computed" else PREFIX[:-1] + "!"
    for word in expand_repeats(found):
        hints = context.router.hints
        hints.clear("p-0")
        hints.add("p-0", held)
        decision = context.router.choose(make_call(context))
        result = make_result(decision, 0.2, cached_tokens=9 if word == "f" else 0)
        context.router.observe(decision, result, None)


@then('the signs of a cold server are "{signs}"')
def cold_signs(context, signs):
    seen = ["cold" if s.seems_cold else "none" for _, s in context.borrower.released]
    assert seen == expand_repeats(signs), seen


@then("the server does not seem cold after the last one")
def last_not_cold(context):
    signs = [seen.seems_cold for _, seen in context.borrower.released]
    assert signs[0] and not signs[-1], signs


@when('the outcomes of calls are "{ends}"')
def calls_end(context, ends):
    for end in ends.split():
        decision = context.router.choose(make_call(context))
        result = make_result(decision, 0.2) if end == "ok" else None
        error = BackendUnreachable() if end == "error" else None
        context.router.observe(decision, result, error)


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    asyncio.run(context.clock.advance(seconds))


@then("{allowed:d} of {count:d} concurrent calls are placed")
def placed_at_once(context, allowed, count):
    placed = 0
    for _ in range(count):
        routed(context)
        placed += context.decision is not None
    assert placed == allowed, placed


@when('the cache events of a replica are "{events}"')
def cache_events(context, events):
    context.hints = PrefixCacheHints()
    for text in events.split():
        event = CacheEvent(int(text[0]), text[2:], text[1] == "+")
        context.hints.apply("p-0", [event])


@then('the match of "{prefix}" is {match:g}')
def match_is(context, prefix, match):
    assert context.hints.match("p-0", prefix) == match


@when("the cache events of a replica add {count:d} prefixes")
def many_prefixes(context, count):
    context.hints = PrefixCacheHints()
    events = [CacheEvent(n, f"{n:05d}", True) for n in range(1, count + 1)]
    context.hints.apply("p-0", events)
    context.newest = events[-1].prefix


@then("at most {count:d} are kept and the newest one matches")
def bounded(context, count):
    assert count == MAX_PREFIXES
    assert len(context.hints._prefixes["p-0"]) <= count
    assert context.hints.match("p-0", context.newest) == 1.0


@then(
    "one routing_decision line has the request, the chosen replica and the candidates"
)
def one_line(context):
    (line,) = lines(context)
    chosen = context.decision.replica.replica_id
    assert (line["request_id"], line["replica_id"]) == ("r1", chosen), line
    assert {item["replica_id"] for item in line["candidates"]} == set(context.ids)
    assert set(line["lost"]) == set(context.ids) - {chosen}, line
    assert line["remaining_s"] == 2.0, line


@then('the counter of stage "{stage}" and the chosen replica is {count:d}')
def counter_is(context, stage, count):
    chosen = context.decision.replica.replica_id
    labels = {"stage": stage, "replica": chosen}
    name = "egretshed_routing_decisions_total"
    value = context.env.metrics.registry.get_sample_value(name, labels)
    assert value == count, value


@when("a call waits up to {wait_s:g} s and a slot becomes free after {after_s:g} s")
def call_waits(context, wait_s, after_s):
    asyncio.run(wait_and_free(context, wait_s, after_s))


async def wait_and_free(context, wait_s, after_s):
    context.borrower.changed = asyncio.Event()
    context.borrower.set("p-0", free=0)
    call = make_call(context)
    placing = asyncio.ensure_future(context.router.choose_within(call, wait_s))
    await context.clock.advance(after_s)
    context.waited = placing.done()
    context.borrower.set("p-0", free=1)
    context.borrower.changed.set()
    await context.clock.run_ready_tasks()
    context.decision = placing.result()


@then("the call is placed after {after_s:g} s")
def placed_after(context, after_s):
    assert not context.waited
    assert context.decision.replica.replica_id == "p-0"


@given("calls wait for a slot: {waiting}")
def calls_wait(context, waiting):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.placed = []
    context.loop.run_until_complete(start_waiting(context, waiting))


async def start_waiting(context, waiting):
    context.borrower.changed = asyncio.Event()
    for replica_id in context.ids:
        context.borrower.set(replica_id, free=0)
    context.tasks = {}
    for text in waiting.split():
        name, priority, seconds, *exclusion = text.split(":")
        call = make_call(context)._replace(
            request_id=name,
            priority=int(priority[1:]),
            remaining_s=float(seconds[:-1]),
            excluded_replicas=frozenset(e.removeprefix("not-") for e in exclusion),
        )
        context.tasks[name] = asyncio.ensure_future(wait_placed(context, call))
    await context.clock.run_ready_tasks()


async def wait_placed(context, call):
    decision = await context.router.choose_within(call, call.remaining_s)
    context.placed.append(decision.call.request_id)


@when("slots of {freed} become free one after the other")
def slots_become_free(context, freed):
    context.loop.run_until_complete(free_slots(context, freed.split()))


async def free_slots(context, replica_ids):
    for replica_id in replica_ids:
        context.borrower.set(replica_id, free=1)
        context.borrower.changed.set()
        context.borrower.changed.clear()
        await context.clock.advance(0.5)


@when("a slot of p-0 becomes free and a call of priority 6 arrives before a resumes")
def new_call_arrives(context):
    context.loop.run_until_complete(start_new_call(context))


async def start_new_call(context):
    context.borrower.set("p-0", free=1)
    new_call = make_call(context)._replace(request_id="new", priority=6)
    task = asyncio.ensure_future(wait_placed(context, new_call))
    await context.clock.run_ready_tasks()
    task.cancel()


@when("a slot of p-0 becomes free and a is cancelled before it resumes")
def cancelled_after_placement(context):
    context.loop.run_until_complete(cancel_after_placement(context))


async def cancel_after_placement(context):
    context.borrower.set("p-0", free=1)
    context.router._serve_wait_queue("p")
    context.tasks["a"].cancel()
    await context.clock.run_ready_tasks()


@then("the calls are placed in the order {order}")
def placed_in_order(context, order):
    assert context.placed == order.split(), context.placed


@then("{replica_id} has {count:d} free slot")
def has_free(context, replica_id, count):
    assert context.borrower.views[replica_id].free == count
