import random

from behave import (
    given,
    then,
    when,
)

from egretshed.serving.schema import StageLimits
from egretshed.stage_scheduling.batching import (
    StageServerView,
    WaitingJob,
    available_servers,
    call_time_s,
    choose_batch,
    startable_jobs,
)
from egretshed.stage_scheduling.graph import StagePlan
from egretshed.stage_scheduling.tests.simulation import (
    Arrival,
    Policy,
    ServiceFigures,
    simulate,
)

NOW_S = 100.0
MB = 1_000_000
FETCH_S = 0.1


@given(
    "stage servers that take up to {items:d} pieces per call, {call:d} ms per call "
    "and {item:d} ms per piece"
)
def limits(context, items, call, item):
    context.limits = StageLimits(1, items, call / 1000, item / 1000, 18 * MB, 4.0)


@given("waiting pieces {pieces}")
def waiting(context, pieces):
    context.jobs = [_job(text) for text in pieces.split()]


def _job(text):
    job, priority, target, size, domain, waited, *must_start = text.split(":")
    size_bytes = int(float(size) * MB)
    return WaitingJob(
        (job, 0),
        (job, "r"),
        (0,),
        NOW_S - float(waited),
        NOW_S + 10,
        NOW_S + float(target),
        NOW_S + float(must_start[0] if must_start else 9),
        int(priority),
        domain,
        size_bytes,
        size_bytes,
    )


@when(
    "the next call for a server with {room:g} MB available in domain "
    '"{domain}" is chosen'
)
def choose(context, room, domain):
    view = StageServerView("s", domain, int(room * MB), 0, 1.0)
    may_begin = {job.request_key for job in context.jobs}
    ordered = startable_jobs(context.jobs, may_begin, [view], context.limits, NOW_S)
    # startable_jobs may return a first job that exceeds the available memory;
    # choose_batch must still leave out pieces that do not fit the server.
    batch = choose_batch(ordered, view, {"x", "y"}, context.limits, NOW_S)
    context.chosen = " ".join(piece.job_id[0] for piece in batch) or "nothing"


@then("the call holds {chosen}")
def holds(context, chosen):
    assert context.chosen == chosen, context.chosen


@when("{rate:d} jobs/s of 1 to 4 small pieces arrive for {seconds:d} s")
def burst(context, rate, seconds):
    rng = random.Random(1)
    context.arrivals = [
        Arrival(i / rate, (StagePlan(0, "s", (), rng.randint(1, 4), 1000),), 1.3)
        for i in range(rate * seconds)
    ]


@then(
    "with batching {batching} the last job {result} within 1.5 times the time of "
    "full calls"
)
def ends_within(context, batching, result):
    limits = context.limits
    policy = Policy(batches_pieces=batching == "on")
    services = {"s": ServiceFigures(3, limits)}
    ended = simulate(context.arrivals, services, FETCH_S, policy)
    pieces = sum(arrival.plans[0].piece_count for arrival in context.arrivals)
    full_calls_s = pieces / limits.batch_items * call_time_s(limits, 4) / 3
    arrived_s = context.arrivals[-1].at_s
    limit_s = 1.5 * max(full_calls_s, arrived_s)
    in_time = len(ended) == len(context.arrivals) and ended[-1].end_s <= limit_s
    assert in_time == (result == "ends"), (len(ended), ended[-1].end_s, limit_s)


@given("{room:d} MB of memory for results")
def memory(context, room):
    context.limits = context.limits._replace(result_capacity_bytes=room * MB)


@when(
    "{jobs:d} jobs of {pieces:d} pieces of {size:d} MB arrive, each more urgent than "
    "the one before"
)
def large_jobs(context, jobs, pieces, size):
    context.arrivals = [
        Arrival(i * 0.1, (StagePlan(0, "s", (), pieces, size * MB),), 30 - i * 0.2)
        for i in range(jobs)
    ]


@then("with the memory check {starts}, {ended} of the jobs end")
def count_ended(context, starts, ended):
    policy = Policy(checks_memory=starts == "on")
    arrivals = context.arrivals
    services = {"s": ServiceFigures(3, context.limits)}
    ended_all = simulate(arrivals, services, FETCH_S, policy)
    done = [end for end in ended_all if end.is_done]
    if ended == "fewer":
        assert len(done) < len(arrivals), len(done)
    else:
        assert len(done) == int(ended), len(done)


@when("servers with slowness {slowness} are free and {waiting:d} pieces wait")
def slow_servers(context, slowness, waiting):
    views = [
        StageServerView(str(number), "x", 18 * MB, 0, float(text))
        for number, text in enumerate(slowness.split())
    ]
    context.free = available_servers(views, context.limits, waiting)


@then("calls go to servers {chosen}, in that order")
def calls_go_to(context, chosen):
    found = " ".join(view.server_id for view in context.free)
    assert found == chosen, found


@given("a chain of three stage services with {servers:d} servers each")
def three_stages(context, servers):
    figures = {
        "encode": (4, 0.150, 0.032, 18 * MB),
        "retrieve": (8, 0.150, 0.01625, int(1.44 * MB)),
        "rank": (17, 0.150, 0.00753, int(0.3145 * MB)),
    }
    context.services = {
        name: ServiceFigures(servers, StageLimits(1, items, call_s, item_s, room, 4.0))
        for name, (items, call_s, item_s, room) in figures.items()
    }


KIND_RATES_PER_S = {"long": 4.0, "chain": 1.7, "branched": 4.3}


def _plans(kind, rng):
    """Return the stage graph of a request: one stage, a chain of three, or both."""
    large = StagePlan(0, "encode", (), rng.randint(1, 4), 3 * MB)
    chain = (
        StagePlan(1, "encode", (), 1, 8_000),
        StagePlan(2, "retrieve", (1,), 8, 60_000),
        StagePlan(3, "rank", (2,), rng.randint(8, 24), 6_000),
    )
    return {"long": (large,), "chain": chain, "branched": (large, *chain)}[kind]


@when(
    "requests of three kinds arrive at {share:g} times the usual rate for {seconds:d} s"
)
def requests_arrive(context, share, seconds):
    rng = random.Random(2)
    context.arrivals = []
    at_s = 0.0
    while at_s < seconds:
        at_s += rng.expovariate(share * sum(KIND_RATES_PER_S.values()))
        kind = rng.choices(list(KIND_RATES_PER_S), list(KIND_RATES_PER_S.values()))[0]
        priority = list(KIND_RATES_PER_S).index(kind)
        plans = _plans(kind, rng)
        context.arrivals.append(Arrival(at_s, plans, 1.7, 8.0, priority, kind))


@then("with {policy}, {least:d} to {most:d} % of the {kind} requests end on time")
def share_on_time(context, policy, least, most, kind):
    policies = {
        "all decisions": Policy(),
        "short branches begun at once": Policy(delays_short_branches=False),
        "no entrance": Policy(has_admission_control=False),
    }
    ended = simulate(context.arrivals, context.services, FETCH_S, policies[policy])
    wanted = [a for a in context.arrivals if a.kind == kind]
    on_time = [
        end
        for end in ended
        if end.arrival.kind == kind
        and end.is_done
        and end.end_s - end.arrival.at_s <= end.arrival.target_s
    ]
    share = 100 * len(on_time) / len(wanted)
    assert least <= share <= most, share
