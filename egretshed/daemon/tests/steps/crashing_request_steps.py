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

# Pauses between requests, to the whole fleet.
BAD_PAUSE_S = 0.25
OTHER_PAUSE_S = 0.05
FREEZE_S = 2.5
CRASHES_ALLOWED = 3
SERVICES = {"read": "plain", "book": "plain", "ask": "engine", "digest": "engine"}
TARGET = "/{route}/x?page=3"
PROMPT = {"Prefix_Hash": "system:200,own:50", "Token_Usage": "250,40", "Model": "m"}


# Headers of a request with a piece in each of two stages.
PIECES = {"Chunks": "1,1", "Chunk_Key": "{key}"}


class Sent(NamedTuple):
    at_s: float
    status: int
    took_s: float
    retry_after: str


@given(
    'servers crash at a "{route}" request of one caller, after {events:d} events',
)
def set_crash_request(context, route, events):
    for server in _record_crashes(context, route, SERVICES[route]):
        server.crash_target = TARGET.format(route=route)
        server.crash_customer = "cust"
        server.events_before_crash = events


@given('servers of "{service}" crash at a piece of one "{route}" request')
def set_crash_piece(context, service, route):
    for server in _record_crashes(context, route, service):
        server.crash_key = "bad"


def _record_crashes(context, route, service):
    """Record the runs that crash servers of a service; return these servers."""
    context.route, context.crash_times_s, context.arrival_times_s = route, [], []
    crash = context.fleet.crash_server

    def record(server):
        context.arrival_times_s.append(time.monotonic())
        if crash(server):
            context.crash_times_s.append(time.monotonic())

    context.fleet.crash_server = record
    found = [s for s in context.fleet.servers.values() if s.service == service]
    for server in found:
        server.crash = record
    return found


async def _send(context, name, target, key, request_id, outcomes):
    sent_s = time.monotonic()
    is_bad = outcomes is context.bad
    pieces = {n: v.format(key="bad" if is_bad else "good") for n, v in PIECES.items()}
    headers = {"Authorization": f"Token {key}", **PROMPT, **pieces}
    try:
        response = await context.fleet.request(name, target, request_id, **headers)
        status = response.code
        retry_after = getattr(response, "headers", {}).get("Retry-After", "")
    except OSError:
        status, retry_after = 0, ""
    took_s = time.monotonic() - sent_s
    outcomes.append(Sent(sent_s, status, took_s, retry_after))


async def _send_each(context, pause_s, requests, outcomes):
    names = itertools.cycle(context.fleet.ports)
    tasks = set()
    try:
        for number, (target, key) in enumerate(requests):
            request_id = f"{key}-{pause_s}-{number}"
            sending = _send(context, next(names), target, key, request_id, outcomes)
            tasks.add(asyncio.create_task(sending))
            await asyncio.sleep(pause_s)
    finally:
        await asyncio.gather(*tasks)


def _other_requests(route):
    """Yield the same request of another caller, and other requests of the caller."""
    for number in itertools.count():
        yield TARGET.format(route=route), "key-3"
        yield f"/{route}/other-{number}", "key-1"
        yield f"/{route}/popular", "key-1"


async def _restart(context, names):
    await asyncio.gather(*(context.fleet.stop_node(n, signal.SIGKILL) for n in names))
    await asyncio.gather(*(context.fleet.start_node(n) for n in names))
    await context.fleet.wait_until_ready(*names)


async def _happen(context, event):
    names = list(context.fleet.ports)
    if event == "all nodes are restarted":
        await _restart(context, names)
    elif event == "the nodes restart in turn":
        for name in names:
            await _restart(context, [name])
    elif event == "a node is lost":
        await context.fleet.stop_node(names[1], signal.SIGKILL)
    elif event == "a node freezes":
        process = context.fleet.processes[names[1]]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        process.send_signal(signal.SIGCONT)


@when(
    "it is sent to all nodes beside others for {for_s:g} s, and {event} after"
    " {at_s:g} s"
)
def send_requests(context, for_s, event, at_s):
    context.bad, context.others = [], []
    bad = itertools.repeat((TARGET.format(route=context.route), "key-1"))
    others = _other_requests(context.route)

    async def send():
        senders = [
            asyncio.create_task(_send_each(context, BAD_PAUSE_S, bad, context.bad)),
            asyncio.create_task(
                _send_each(context, OTHER_PAUSE_S, others, context.others)
            ),
        ]
        end_s = time.monotonic() + for_s
        await asyncio.sleep(at_s)
        await _happen(context, event)
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        for sender in senders:
            sender.cancel()
        await asyncio.wait(senders)

    run(context, send())


def _third_crash_s(context):
    assert len(context.crash_times_s) >= CRASHES_ALLOWED, context.crash_times_s
    return context.crash_times_s[CRASHES_ALLOWED - 1]


@then(
    "at most {most:d} of it reach servers later than {after_s:g} s after the third"
    " crash"
)
def few_reach_servers(context, most, after_s):
    allowed_until_s = _third_crash_s(context) + after_s
    late = [t for t in context.arrival_times_s if t > allowed_until_s]
    first_s = context.crash_times_s[0]
    assert len(late) <= most, [round(t - first_s, 2) for t in context.crash_times_s]


@then(
    "once it reaches none it is answered 503 within {limit_s:g} s, with a time to"
    " return"
)
def refused_at_once(context, limit_s):
    last_s = max(context.arrival_times_s) + 1.0
    refused = [sent for sent in context.bad if sent.at_s > last_s and sent.status]
    assert refused, (last_s, context.bad[-5:])
    for sent in refused:
        assert sent.status == 503, sent
        assert float(sent.retry_after) > 0, sent
    times_s = sorted(sent.took_s for sent in refused)
    assert times_s[len(times_s) // 2] < limit_s, times_s


@then(
    "of the others sent later than {after_s:g} s after the third crash, at least"
    " {share:g} are answered"
)
def others_are_answered(context, after_s, share):
    start_s = _third_crash_s(context) + after_s
    statuses = [s.status for s in context.others if s.at_s > start_s]
    assert len(statuses) >= 20, len(statuses)
    assert statuses.count(200) >= share * len(statuses), statuses
