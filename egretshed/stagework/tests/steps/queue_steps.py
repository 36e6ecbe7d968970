import random

from behave import (
    given,
    then,
    when,
)

from egretshed.serving.schema import StageLimits
from egretshed.stagework.queue import (
    StageServerView,
    WaitingPiece,
    call_time_s,
    choose_batch,
    free_servers,
    startable,
)
from egretshed.stagework.tests.replay import (
    Arrival,
    Policy,
    replay,
)

NOW_S = 100.0
MB = 1_000_000
FETCH_S = 0.1


@given(
    "stage servers that take {items:d} pieces a call, {call:d} ms a call, "
    "{item:d} ms a piece"
)
def limits(context, items, call, item):
    context.limits = StageLimits(1, items, call / 1000, item / 1000, 18 * MB, 4.0)


@given("waiting pieces {pieces}")
def waiting(context, pieces):
    context.pieces = [_piece(text) for text in pieces.split()]


def _piece(text):
    job, priority, target, size, domain, waited, *lost = text.split(":")
    size_bytes = int(float(size) * MB)
    return WaitingPiece(
        (job, 0),
        0,
        NOW_S - float(waited),
        NOW_S + 10,
        NOW_S + float(target),
        NOW_S + float(lost[0] if lost else 9),
        int(priority),
        domain,
        size_bytes,
        size_bytes,
    )


@when('the next call for a server with room {room:g} MB in domain "{domain}" is chosen')
def choose(context, room, domain):
    view = StageServerView("s", domain, int(room * MB), 0, 1.0)
    single_s = call_time_s(context.limits, 1)
    ordered = startable(context.pieces, set(), [view], NOW_S, single_s)
    # The first job may begin alone however large it is; it must still fit its server.
    batch = choose_batch(ordered, view, {"x", "y"}, context.limits, NOW_S)
    context.chosen = " ".join(piece.ticket[0] for piece in batch) or "nothing"


@then("it holds {chosen}")
def holds(context, chosen):
    assert context.chosen == chosen, context.chosen


@when("{rate:d} jobs/s of 1 to 4 small pieces arrive for {seconds:d} s")
def burst(context, rate, seconds):
    source = random.Random(1)
    context.arrivals = [
        Arrival(i / rate, source.randint(1, 4), 1000, 1.3)
        for i in range(rate * seconds)
    ]


@then("with batching {batching} the last one {result} within 1.5 times the full calls")
def bounded(context, batching, result):
    limits = context.limits
    policy = Policy(is_batching=batching == "on")
    ended = replay(context.arrivals, ["x", "y", "z"], limits, FETCH_S, policy)
    pieces = sum(arrival.pieces for arrival in context.arrivals)
    full_calls_s = pieces / limits.batch_items * call_time_s(limits, 4) / 3
    arrived_s = context.arrivals[-1].at_s
    limit_s = 1.5 * max(full_calls_s, arrived_s)
    in_time = len(ended) == len(context.arrivals) and ended[-1].end_s <= limit_s
    assert in_time == (result == "ends"), (len(ended), ended[-1].end_s, limit_s)


@given("{room:d} MB of memory for results")
def memory(context, room):
    context.limits = context.limits._replace(result_room_bytes=room * MB)


@when(
    "{jobs:d} jobs of {pieces:d} pieces of {size:d} MB arrive, each more urgent than "
    "the one before"
)
def large_jobs(context, jobs, pieces, size):
    context.arrivals = [
        Arrival(i * 0.1, pieces, size * MB, 30 - i * 0.2) for i in range(jobs)
    ]


@then("started by memory {starts}, {ended} of them end")
def all_end(context, starts, ended):
    policy = Policy(starts_by_memory=starts == "on")
    arrivals = context.arrivals
    done = replay(arrivals, ["x", "y", "z"], context.limits, FETCH_S, policy)
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
    context.free = free_servers(views, context.limits, waiting)


@then("calls go to {chosen}, in that order")
def calls_go_to(context, chosen):
    found = " ".join(view.server_id for view in context.free)
    assert found == chosen, found
