import asyncio
import re
import signal
import time

from behave import (
    given,
    then,
    when,
)

from standins.behave_loop import run
from standins.users_platform.fleet import HOST
from standins.users_platform.store import SERVER_TABLE

PATH = "/digest/x"
EVENT_S = 0.05
EVENTS = 8
EVENTS_READ = 2
LIST_DELAY_S = 0.6
SERVER_DOWN_S = 1.0
# A node knows after this time that the store does not answer, or that it does again.
STORE_LOST_S = 6.0
# Longer than the callers' deadlines, and than the route's timeout several times over.
LATE_TAKE_UP_S = 25.0
MAX_TRIES = 20
SILENT_NODE = "node-1"
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


def _engines(context):
    return [s for s in context.fleet.servers.values() if s.service == "engine"]


def _put_entry(context, server, status="ready"):
    context.fleet.store.put_json(SERVER_TABLE, server.server_id, server.entry(status))


@given('the engines have the versions "{versions}"')
def set_versions(context, versions):
    for server, version in zip(_engines(context), versions.split(), strict=True):
        server.version, server.event_s, server.events = version, EVENT_S, EVENTS
        server.born_ms = int(time.time() * 1000) - 60_000
        _put_entry(context, server)
    run(context, asyncio.sleep(LIST_DELAY_S))


async def _read_beginning(context, request_id):
    """Read the first events of a stream and leave; return their version."""
    reader, writer = await asyncio.open_connection(
        HOST, context.fleet.ports["node-0"][0]
    )
    writer.write(
        f"POST {PATH} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
        "Authorization: Token key-1\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
        "".encode()
    )
    received = b""
    while len(EVENT.findall(received)) < EVENTS_READ:
        chunk = await reader.read(1024)
        assert chunk, received
        # Chunk sizes stand between events.
        received += chunk
    writer.close()
    return EVENT.findall(received)[0][2].decode()


@given(
    'a caller has {count:d} events of a stream that began at "node-0" with "{version}"'
)
def begin_stream(context, count, version):
    run(context, _begin(context, "first", version))


async def _begin(context, prefix, version):
    """Begin streams until one has a version; keep its id and its server."""
    for number in range(MAX_TRIES):
        context.first_id = f"{prefix}-{number}"
        if await _read_beginning(context, context.first_id) == version:
            break
    else:
        raise AssertionError(f"no stream began at {version}")
    (context.first_server,) = [
        server for server in _engines(context) if server.run_counts[context.first_id]
    ]


@when("the following happens: {event}")
def happen(context, event):
    run(context, EVENT_ACTIONS[event](context))


async def _nothing(context):
    pass


async def _kill_first_node(context):
    await context.fleet.stop_node("node-0", signal.SIGKILL)


async def _pause_node(context):
    context.fleet.processes[SILENT_NODE].send_signal(signal.SIGSTOP)


async def _restart_server(context):
    await asyncio.sleep(SERVER_DOWN_S)
    await _list_restarted(context, time.time())


async def _list_restart_late(context):
    """List a start that came before the stream, at which the list still had v1."""
    await _list_restarted(context, time.time() - SERVER_DOWN_S)


async def _list_restarted(context, born_s):
    server = context.first_server
    server.version, server.born_ms = "v2", int(born_s * 1000)
    _put_entry(context, server)
    await asyncio.sleep(LIST_DELAY_S)


async def _first_version_leaves(context):
    for server in _engines(context):
        if server.version == "v1":
            _put_entry(context, server, "draining")
    await asyncio.sleep(LIST_DELAY_S)


def _restart_unlisted(server, born_s):
    server.version, server.born_ms = "v2", int(born_s * 1000)


async def _next_server_restarts(context):
    """Restart the server that the stream would go on at; the first one leaves."""
    (following,) = [
        server
        for server in _engines(context)
        if server.version == "v1" and server is not context.first_server
    ]
    _restart_unlisted(following, time.time())
    _put_entry(context, context.first_server, "draining")
    await asyncio.sleep(LIST_DELAY_S)


async def _first_server_had_restarted(context):
    """Let the first server have restarted before the stream began."""
    _restart_unlisted(context.first_server, time.time() - 10 * SERVER_DOWN_S)


async def _first_server_restarts(context):
    await asyncio.sleep(SERVER_DOWN_S)
    _restart_unlisted(context.first_server, time.time())
    context.first_server.mode = "error"


async def _fail_store(context):
    context.fleet.store.mode = "busy"
    await asyncio.sleep(STORE_LOST_S)


async def _first_server_had_restarted_with_store_away(context):
    await _fail_store(context)
    await _first_server_had_restarted(context)


async def _lose_first_server_with_store_away(context):
    await _fail_store(context)
    context.fleet.crash_server(context.first_server)


async def _begin_with_store_away(context):
    await _fail_store(context)
    await _begin(context, "second", "v1")
    context.fleet.store.mode = "ok"
    await asyncio.sleep(STORE_LOST_S)


async def _restart_nodes(context):
    names = list(context.fleet.ports)
    await asyncio.gather(*(context.fleet.stop_node(n, signal.SIGKILL) for n in names))
    await asyncio.gather(*(context.fleet.start_node(n) for n in names))
    await context.fleet.wait_until_ready(*names)


async def _restart_nodes_as_first_version_leaves(context):
    names = list(context.fleet.ports)
    await asyncio.gather(*(context.fleet.stop_node(n, signal.SIGKILL) for n in names))
    for server in _engines(context):
        if server.version == "v1":
            context.fleet.store.put(SERVER_TABLE, server.server_id, None)
    await asyncio.gather(*(context.fleet.start_node(n) for n in names))
    await context.fleet.wait_until_ready(*names)


async def _take_up_late(context):
    await _restart_nodes_as_first_version_leaves(context)
    await asyncio.sleep(LATE_TAKE_UP_S)


EVENT_ACTIONS = {
    "all nodes restart while those of v1 leave, and 25 s pass": _take_up_late,
    "all nodes restart while those of v1 leave": _restart_nodes_as_first_version_leaves,
    "nothing": _nothing,
    "the node that began it is killed": _kill_first_node,
    "another node is silent": _pause_node,
    "its server restarts with v2": _restart_server,
    "it turns out that it had v2": _list_restart_late,
    "the servers of v1 leave": _first_version_leaves,
    "all nodes restart": _restart_nodes,
    "the server that goes on had restarted": _next_server_restarts,
    "its server had restarted before": _first_server_had_restarted,
    "its server restarts after": _first_server_restarts,
    "the store is away": _fail_store,
    "the store is away and its server had restarted": (
        _first_server_had_restarted_with_store_away
    ),
    "the store is away and its server is lost": _lose_first_server_with_store_away,
    "another begins while the store is away for a time": _begin_with_store_away,
}


@when('the caller takes it up at "{node}", naming {named}')
def take_up(context, node, named):
    names = {
        "it": {"Resumes": context.first_id},
        "nothing": {},
        "an unknown id": {"Resumes": "never-seen"},
        "itself": {"Resumes": "again"},
        "a malformed id": {"Resumes": "x" * 4000},
    }
    headers = {"Last_Event_Id": str(EVENTS_READ), **names[named]}
    request = context.fleet.request(node, PATH, "again", **headers)
    context.response = run(context, request)


@then("the stream goes on")
def goes_on(context):
    events = EVENT.findall(context.response.body)
    expected = [
        (b"%d" % number, b"again", b"v1")
        for number in range(EVENTS_READ + 1, EVENTS + 1)
    ]
    assert events == expected, (context.response.code, context.response.body)


@then("the stream is refused")
def is_refused(context):
    assert context.response.code == 503, context.response.body
    assert float(context.response.headers["Retry-After"]) > 0
    assert not any(server.run_counts["again"] for server in _engines(context))


@then("the stream is broken off")
def is_broken_off(context):
    assert context.response.code == 502, context.response.body
    assert not EVENT.findall(context.response.body), context.response.body


@given("one engine of each version cuts its streams midway")
def cut_one_of_each(context):
    for server in _engines(context)[::2]:
        server.mode = "cut"


@when("{count:d} streams are requested")
def request_streams(context, count):
    async def request_all():
        requests = [
            context.fleet.request(f"node-{n % 3}", PATH, f"s{n}") for n in range(count)
        ]
        return await asyncio.gather(*requests)

    context.responses = run(context, request_all())


@then("none has events of two versions, and at least {least:d} are whole")
def one_version_each(context, least):
    whole = 0
    for response in context.responses:
        events = EVENT.findall(response.body)
        assert len({version for _, _, version in events}) <= 1, response.body
        whole += len(events) == EVENTS
    assert whole >= least, whole
