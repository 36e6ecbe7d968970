import asyncio
import itertools
import signal
import time
from typing import NamedTuple

from behave import (
    given,
    then,
    when,
)

from standins.behave_loop import run
from standins.users_platform.store import SERVER_TABLE

WINDOW_S = 4.0


class Answered(NamedTuple):
    status: int
    took_s: float
    retry_after_s: float = 0.0


@given(
    '{count:d} {servers:w} of "{service}" {names:w} a limit of {limit} requests a'
    " second"
)
def name_limit(context, count, servers, service, names, limit):
    found = [s for s in context.fleet.servers.values() if s.service == service]
    context.limited = found[:count]
    for server in context.limited:
        server.signals["Server-Limit"] = limit


@given('{count:d} server of "{service}" sends "{header}" in its responses')
def send_header(context, count, service, header):
    found = [s for s in context.fleet.servers.values() if s.service == service]
    context.limited = found[:count]
    for server in context.limited:
        name, _, value = header.partition(": ")
        server.signals[name] = value


@given('{count:d} full server of "{service}" sends "{header}" in its responses')
def send_header_when_full(context, count, service, header):
    send_header(context, count, service, header)
    for server in context.limited:
        server.mode = "full"


async def _send(context, name, path, request_id):
    began_s = time.monotonic()
    try:
        response = await context.fleet.request(name, f"/{path}/x", request_id)
        status = response.code
        retry_after_s = float(response.headers.get("Retry-After", 0))
    except OSError:
        status, retry_after_s = 0, 0.0
    took_s = time.monotonic() - began_s
    context.answered.append(Answered(status, took_s, retry_after_s))


async def _restart_node(context):
    await context.fleet.stop_node("node-1", signal.SIGKILL)
    await context.fleet.start_node("node-1")


async def _stop_node(context):
    context.names.remove("node-1")
    await context.fleet.stop_node("node-1")


async def _end_limit(context):
    for server in context.limited:
        server.signals.clear()


async def _list_again(context):
    """List the servers as ready, with a change that the nodes see."""
    for server in context.limited:
        entry = {**server.entry(), "slots": 9}
        context.fleet.store.put_json(SERVER_TABLE, server.server_id, entry)


EVENT_ACTIONS = {
    "it is listed again": _list_again,
    "a node restarts": _restart_node,
    "a node stops": _stop_node,
    "the limit ends": _end_limit,
}


@when(
    '{rate:d} requests a second for "{path}" are sent to all nodes for {for_s:g} s, and'
    " {event}"
)
def send_requests(context, rate, path, for_s, event):
    context.answered, context.names = [], list(context.fleet.ports)

    async def send_all():
        context.began_s = time.monotonic()
        tasks = set()
        happening = None
        for number in itertools.count():
            elapsed_s = time.monotonic() - context.began_s
            if elapsed_s >= for_s:
                break
            if elapsed_s >= for_s / 2 and event in EVENT_ACTIONS and not happening:
                happening = asyncio.create_task(EVENT_ACTIONS[event](context))
            name = context.names[number % len(context.names)]
            tasks.add(asyncio.create_task(_send(context, name, path, f"r{number}")))
            await asyncio.sleep((number + 1) / rate - elapsed_s)
        context.ended_s = time.monotonic()
        await asyncio.gather(*tasks, *filter(None, [happening]))

    run(context, send_all())


def _arrivals_s(server, since_s):
    return [t for t in server.arrival_times_s if t >= since_s]


@then("from {from_s:g} s on, it gets at most {most:d} requests in any 4 s")
def at_most_in_window(context, from_s, most):
    (server,) = context.limited
    times_s = _arrivals_s(server, context.began_s + from_s)
    counts = [sum(1 for t in times_s if 0 <= t - s < WINDOW_S) for s in times_s]
    assert max(counts, default=0) <= most, max(counts)


@then("at least {share:g} of all requests are answered")
def share_answered(context, share):
    statuses = [answered.status for answered in context.answered]
    assert statuses.count(200) >= share * len(statuses), statuses


@then("from {from_s:g} s on, they get at least {least_per_s:g} requests a second")
def limits_are_used(context, from_s, least_per_s):
    since_s = context.began_s + from_s
    count = sum(
        sum(1 for t in _arrivals_s(server, since_s) if t < context.ended_s)
        for server in context.limited
    )
    assert count >= least_per_s * (context.ended_s - since_s), count


@then("refusals come within {most_s:g} s")
def refusals_are_quick(context, most_s):
    took_s = [a.took_s for a in context.answered if a.status == 503]
    assert took_s and max(took_s) <= most_s, took_s and max(took_s)


@then("in the last {for_s:g} s, it gets at least {least:d} requests")
def gets_share_again(context, for_s, least):
    (server,) = context.limited
    count = len(_arrivals_s(server, context.ended_s - for_s))
    assert count >= least, count


@then("between {from_s:g} s and {to_s:g} s, it gets at most {most:d} requests")
def at_most_between(context, from_s, to_s, most):
    (server,) = context.limited
    times_s = [t - context.began_s for t in server.arrival_times_s]
    found = [round(t, 2) for t in times_s if from_s <= t < to_s]
    assert len(found) <= most, found


@then("the last refusals name a time to return of at least {least_s:g} s")
def last_refusals(context, least_s):
    refused = [a.retry_after_s for a in context.answered if a.status == 503][-10:]
    assert refused and min(refused) >= least_s, refused
