import asyncio
import re
import signal
import time
from typing import NamedTuple

from behave import (
    given,
    then,
    when,
)

from standins.behave_loop import run
from standins.users_platform.fleet import (
    HOST,
    Fleet,
)
from standins.users_platform.store import SERVER_TABLE

PATH = "/digest/x"
EVENTS = 8
EVENTS_READ = 2
EVENT_S = 0.05
OLD_SERVERS = 3
NEW_SERVERS = 6
STREAMS = 12
# Fewer streams of a version would show little.
MIN_STREAMS_OF_VERSION = 2
MAX_MORE_STREAMS = 20
LIST_DELAY_S = 0.3
# The streams begin this long before the node goes on. By then the others count a node
# that stands still for 2.5 s as dead, and tell it of no stream.
BEGIN_LEAD_S = 0.8
# The first requests wait in the node's socket for this long before it goes on.
QUEUED_S = 0.1
# Callers take a stream up until this long after the first attempt.
TAKE_UP_S = 4.0
# The store's link is back this long after the first attempts.
STORE_BACK_S = 1.0
# A refusal that takes longer makes the caller wait for nothing.
MAX_REFUSAL_S = 2.0
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


class Stream(NamedTuple):
    """A stream that a caller holds `EVENTS_READ` events of."""

    request_id: str
    version: str


class TakenUp(NamedTuple):
    """Last answer to a stream that was taken up, and the time each refusal took."""

    stream: Stream
    request_ids: list[str]
    code: int
    events: list[tuple[bytes, bytes, bytes]]
    refusals_s: list[float]


@given('3 entry nodes of which "{name}" will be out of step, by {kind}')
def start_fleet(context, name, kind):
    context.fleet = Fleet(engines=OLD_SERVERS, proxies_store=True)
    run(context, context.fleet.__aenter__())
    context.add_cleanup(_stop_fleet, context)
    context.kind, context.out_of_step = kind, name
    context.others = [other for other in context.fleet.ports if other != name]
    run(context, _set_up(context))


def _stop_fleet(context):
    """Stop the fleet and check that no node logged an internal fault."""
    faults = context.fleet.fault_log_lines()
    run(context, context.fleet.__aexit__())
    assert not faults, faults


async def _set_up(context):
    for server in _engines(context):
        server.event_s, server.events = EVENT_S, EVENTS
        server.born_ms = int(time.time() * 1000) - 60_000
        _put_entry(context, server)
    if "peers" in context.kind:
        await context.fleet.restart_without_peers(context.out_of_step)
    await asyncio.sleep(2 * LIST_DELAY_S)


def _engines(context, version=""):
    return [
        server
        for server in context.fleet.servers.values()
        if server.service == "engine" and version in ("", server.version)
    ]


def _put_entry(context, server, status="ready"):
    context.fleet.store.put_json(SERVER_TABLE, server.server_id, server.entry(status))


@when(
    "it is out of step for {for_s:g} s, {meanwhile}, and the nodes that know the"
    " streams are {fate}"
)
def be_out_of_step(context, for_s, meanwhile, fate):
    run(context, _be_out_of_step(context, for_s, meanwhile, fate))


async def _be_out_of_step(context, for_s, meanwhile, fate):
    fleet, node = context.fleet, context.out_of_step
    began_s = time.monotonic()
    if "standing still" in context.kind:
        fleet.processes[node].send_signal(signal.SIGSTOP)
    if "store" in context.kind:
        fleet.store_proxies[node].set_fault("cut_off")
    if "v2 joined" in meanwhile:
        _add_servers(context)
        await asyncio.sleep(LIST_DELAY_S)
    if "v1 left" in meanwhile:
        for server in _engines(context, "v1"):
            _put_entry(context, server, "draining")
        await asyncio.sleep(LIST_DELAY_S)
    passed_s = time.monotonic() - began_s
    await asyncio.sleep(max(0.0, for_s - BEGIN_LEAD_S - passed_s))
    streams = await asyncio.gather(
        *(
            _begin(context, context.others[number % 2], f"first-{number}")
            for number in range(STREAMS)
        )
    )
    streams += await _begin_more(context, streams, meanwhile)
    if "v2 left" in meanwhile:
        for server in _engines(context, "v2"):
            fleet.store.put(SERVER_TABLE, server.server_id, None)
        await asyncio.sleep(LIST_DELAY_S)
    if "lost its history" in meanwhile:
        fleet.store.compact()
    if fate == "killed":
        await asyncio.gather(
            *(fleet.stop_node(other, signal.SIGKILL) for other in context.others)
        )
    left_s = for_s - (time.monotonic() - began_s)
    await asyncio.sleep(max(0.0, left_s - QUEUED_S))
    attempts = [asyncio.create_task(_take_up(context, s)) for s in streams]
    await asyncio.sleep(QUEUED_S)
    if "standing still" in context.kind:
        fleet.processes[node].send_signal(signal.SIGCONT)
    if "store" in context.kind:
        await asyncio.sleep(STORE_BACK_S)
        fleet.store_proxies[node].set_fault("none")
    context.streams, context.taken_up = streams, await asyncio.gather(*attempts)


def _add_servers(context):
    for number in range(OLD_SERVERS, OLD_SERVERS + NEW_SERVERS):
        context.fleet.add_server("engine", "engine", number, "v2")
    for server in _engines(context, "v2"):
        server.event_s, server.events = EVENT_S, EVENTS


async def _begin_more(context, streams, meanwhile):
    """Begin more streams if chance has left too few of a version that serves."""
    wanted = {"v1"} - ({"v1"} if "v1 left" in meanwhile else set())
    wanted |= {"v2"} if "v2 joined" in meanwhile else set()
    more = []
    while len(more) < MAX_MORE_STREAMS:
        versions = [stream.version for stream in (*streams, *more)]
        if all(versions.count(v) >= MIN_STREAMS_OF_VERSION for v in wanted):
            break
        more.append(await _begin(context, context.others[0], f"more-{len(more)}"))
    return more


async def _begin(context, name, request_id):
    """Read the first events of a stream and leave; return the stream."""
    reader, writer = await asyncio.open_connection(HOST, context.fleet.ports[name][0])
    writer.write(
        f"POST {PATH} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
        "Authorization: Token key-1\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
        "".encode()
    )
    received = b""
    while len(EVENT.findall(received)) < EVENTS_READ:
        chunk = await reader.read(1024)
        assert chunk, received
        received += chunk
    writer.close()
    return Stream(request_id, EVENT.findall(received)[0][2].decode())


async def _take_up(context, stream):
    """Take a stream up until it goes on or `TAKE_UP_S` have passed."""
    end_s, request_ids, refusals_s = time.monotonic() + TAKE_UP_S, [], []
    while True:
        request_ids.append(f"again-{len(request_ids)}-{stream.request_id}")
        sent_s = time.monotonic()
        response = await context.fleet.request(
            context.out_of_step,
            PATH,
            request_ids[-1],
            Last_Event_Id=str(EVENTS_READ),
            Resumes=stream.request_id,
        )
        if response.code == 503:
            refusals_s.append(time.monotonic() - sent_s)
            await asyncio.sleep(float(response.headers["Retry-After"]))
        if response.code != 503 or time.monotonic() >= end_s:
            events = EVENT.findall(response.body or b"")
            return TakenUp(stream, request_ids, response.code, events, refusals_s)


@then("no stream is joined from two versions")
def none_is_joined(context):
    joined = [
        taken
        for taken in context.taken_up
        if any(
            version.decode() != taken.stream.version for _, _, version in taken.events
        )
    ]
    counts = f"{len(joined)} of {len(context.taken_up)} joined"
    assert not joined, (counts, joined[0], _log_lines(context, joined[0]))


@then("those that began at {version} {outcome}")
def have_outcome(context, version, outcome):
    taken_up = [t for t in context.taken_up if t.stream.version == version]
    if outcome == "do not exist":
        assert not taken_up
        return
    assert len(taken_up) >= MIN_STREAMS_OF_VERSION, context.streams
    check = {
        "go on": _goes_on,
        "are refused": _is_refused,
        "go on or are refused": lambda *of: _goes_on(*of) or _is_refused(*of),
    }[outcome]
    wrong = [taken for taken in taken_up if not check(context, taken)]
    counts = f"{len(wrong)} of {len(taken_up)}"
    assert not wrong, (counts, wrong[0], _log_lines(context, wrong[0]))


def _goes_on(context, taken):
    numbers = [int(number) for number, _, _ in taken.events]
    return numbers == list(range(EVENTS_READ + 1, EVENTS + 1))


def _is_refused(context, taken):
    """Return whether a stream was refused at once each time, and ran on no server."""
    return (
        taken.code == 503
        and max(taken.refusals_s) < MAX_REFUSAL_S
        and not any(
            server.run_counts[request_id]
            for server in _engines(context)
            for request_id in taken.request_ids
        )
    )


def _log_lines(context, taken):
    return [
        line
        for line in context.fleet.log_lines(context.out_of_step)
        if line.get("request_id") in taken.request_ids
        and line["message"] == "stream_taken_up"
    ]
