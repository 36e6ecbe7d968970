import asyncio

from behave import (
    given,
    then,
    when,
)

from standins.behave_loop import run
from standins.users_platform.fleet import (
    Fleet,
    make_platform_configuration,
)
from standins.users_platform.servers import Silence
from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
)

EVENTS = 8
EVENT_S = 0.05
LIST_DELAY_S = 0.6
# The servers have the requests after this time, and have not responded by then.
ON_THE_WAY_S = 0.25
WORK_S = 0.4
# Four events of a stream have arrived after this time.
WITHIN_RESPONSE_S = 0.25
POLL_S = 0.02
DEADLINE_MS = "15000"
OPTIONS = {"request_timeout": 20.0}
NODES = 3
STAGE_SERVICES = ("first", "second")
SLOW_STAGE_S = 30.0


def _servers(context, service):
    return [s for s in context.fleet.servers.values() if s.service == service]


def _put_entry(context, server):
    context.fleet.store.put_json(SERVER_TABLE, server.server_id, server.entry())


def _slow_events(context):
    for server in _servers(context, "engine"):
        server.events, server.event_s = EVENTS, EVENT_S


@given(
    "{nodes:d} entry nodes with a retry slack of {slack:d} and {count:d} servers of"
    " each service"
)
def start_fleet(context, nodes, slack, count):
    context.spoil_others = context.at_send = None
    context.fleet = Fleet(nodes, count, bounds={"retry_slack": slack})
    run(context, context.fleet.__aenter__())
    _allow_time(context)
    context.add_cleanup(lambda: run(context, context.fleet.__aexit__()))
    _slow_events(context)


def _allow_time(context):
    """Set timeouts of routes that a silence does not use up."""
    configuration = make_platform_configuration(version=2)
    for route in configuration["routes"]:
        route["timeout_ms"] = int(DEADLINE_MS)
    context.fleet.store.put_json(OPERATOR_TABLE, "config", configuration)
    run(context, asyncio.sleep(LIST_DELAY_S))


@given('the servers of "{service}" fall silent for {for_s:g} s {place}')
def set_silence(context, service, for_s, place):
    before_event = 0 if place == "at first" else int(place.rpartition(" ")[2])
    for server in _servers(context, service):
        server.silence = Silence(for_s, before_event)


@given('the other servers of "{service}" {others}')
def set_others(context, service, others):
    context.spoil_others = None
    servers = _servers(context, service)
    if others == "have another version":
        for number, server in enumerate(servers):
            server.version = f"v{number}"
            _put_entry(context, server)
        run(context, asyncio.sleep(LIST_DELAY_S))
    elif others == "are full":
        context.spoil_others = lambda: [_fill(server) for server in servers]
    elif others == "cannot be reached":
        context.spoil_others = lambda: [_unlist(context, server) for server in servers]
    elif others == "take no connection":
        context.spoil_others = lambda: [
            context.fleet.drop_handshakes(server) for server in servers
        ]
    elif others == "hang":
        context.spoil_others = lambda: [_set_mode(s, "hang") for s in servers]
    elif others == "refuse late":
        context.spoil_others = lambda: [_set_mode(s, "full_late") for s in servers]
    else:
        assert others in ("may have no retries", "do not exist"), others


def _fill(server):
    """Let a server refuse requests that it does not have yet."""
    _set_mode(server, "full")


def _set_mode(server, mode):
    server.mode = mode


def _unlist(context, server):
    """Let nothing listen at the listed address; open connections stay."""
    context.fleet.stop_listening(server)


@given("the stage servers become slow once the streams have begun")
def set_slow_stages(context):
    def slow_down():
        for server in context.fleet.servers.values():
            if server.service in STAGE_SERVICES:
                server.work_s = SLOW_STAGE_S

    context.spoil_others = slow_down


@given('the servers of "{service}" are silent for the first {for_s:g} s')
def set_slow_start(context, service, for_s):
    """Calls that arrive within this time, from the first request on, take as long."""
    servers = _servers(context, service)
    usual_s = servers[0].work_s

    async def go_on():
        await asyncio.sleep(for_s)
        for server in servers:
            server.work_s = usual_s

    for server in servers:
        server.work_s = for_s
    context.at_send = go_on


@given(
    'one server of "{service}" answers after {for_s:g} s with {mode}, the others after'
    " {others_s:g} s"
)
def set_failing_server(context, service, for_s, mode, others_s):
    first, *others = _servers(context, service)
    first.mode, first.silence = mode, Silence(for_s)
    for server in others:
        server.work_s = others_s


async def _send(context, route, count, deadline_ms=DEADLINE_MS):
    requests = [
        context.fleet.request(
            f"node-{number % NODES}",
            f"/{route}/x",
            f"{route}-{number}",
            OPTIONS,
            Deadline_Ms=deadline_ms,
        )
        for number in range(count)
    ]
    return await asyncio.gather(*requests)


def _running(context, route):
    """Return how many requests of a route have reached a server."""
    started = set()
    for server in context.fleet.servers.values():
        started |= {i for i in server.run_counts if i.startswith(f"{route}-")}
    return len(started)


@when('{count:d} "{route}" requests are sent at once')
def send_at_once(context, count, route):
    _send_at_once(context, count, route, DEADLINE_MS)


@when(
    '{count:d} "{route}" requests with a deadline of {deadline_s:g} s are sent at once'
)
def send_at_once_with_deadline(context, count, route, deadline_s):
    _send_at_once(context, count, route, str(int(deadline_s * 1000)))


def _send_at_once(context, count, route, deadline_ms):
    async def send():
        sending = asyncio.create_task(_send(context, route, count, deadline_ms))
        if context.at_send is not None:
            await context.at_send()
        if context.spoil_others is not None:
            while _running(context, route) < count:
                await asyncio.sleep(POLL_S)
            context.spoil_others()
        return await sending

    context.route, context.responses = route, run(context, send())


@when(
    '{count:d} "{route}" requests are sent while the links of "{service}" fall silent'
    " for {for_s:g} s {place}"
)
def send_while_silent(context, count, route, service, for_s, place):
    _slow_events(context)
    delay_s = {
        "as they are sent": 0.0,
        "before the response": ON_THE_WAY_S,
        "within the response": WITHIN_RESPONSE_S,
    }[place]
    for server in _servers(context, service):
        server.work_s = WORK_S
        if place == "before the response" and server.kind == "engine":
            server.silence = Silence(WORK_S)

    async def send():
        silencing = None
        if not delay_s:
            silencing = asyncio.create_task(context.fleet.silence_links(service, for_s))
            await asyncio.sleep(0)
        sending = asyncio.create_task(_send(context, route, count))
        if silencing is None:
            await asyncio.sleep(delay_s)
            await context.fleet.silence_links(service, for_s)
        return await sending

    context.route, context.responses = route, run(context, send())


@then("each is answered {status:d}, with the signature of a server")
def each_has_status(context, status):
    for response in context.responses:
        assert response.code == status, [r.code for r in context.responses]
        assert response.headers["Replica-Signature"], response.headers


def _failures(context):
    """Return what the nodes logged of the requests that were not answered."""
    return [
        [line[key] for key in ("request_id", "outcome", "reason", "took_s", "silent_s")]
        for name in context.fleet.ports
        for line in context.fleet.log_lines(name)
        if line["message"] == "request_finished" and line["outcome"] != "answered"
    ]


@then("each is answered whole")
def each_is_whole(context):
    statuses = [response.code for response in context.responses]
    assert set(statuses) == {200}, (statuses, _failures(context))
    if context.route in ("ask", "digest"):
        for response in context.responses:
            numbers = [
                int(line.removeprefix(b"id: "))
                for line in response.body.splitlines()
                if line.startswith(b"id: ")
            ]
            assert numbers == list(range(1, EVENTS + 1)), response.body


@then("each took less than {limit_s:g} s")
def each_took_less(context, limit_s):
    times_s = sorted(response.request_time for response in context.responses)
    assert times_s[-1] < limit_s, times_s


@then("each is answered whole, and ran once")
def each_is_whole_and_ran_once(context):
    each_is_whole(context)
    for number in range(len(context.responses)):
        runs = sum(
            server.run_counts[f"{context.route}-{number}"]
            for server in context.fleet.servers.values()
        )
        assert runs == 1, (number, runs)


@then("at least {least:d} ran at two servers, none for more than {most_s:g} s at both")
def left_in_time(context, least, most_s):
    engines = _servers(context, "engine")
    overlaps_s = []
    for number in range(len(context.responses)):
        request_id = f"{context.route}-{number}"
        began = sorted(
            (server.run_began_s[request_id], server.work_ends_s.get(request_id))
            for server in engines
            if request_id in server.run_began_s
        )
        if len(began) > 1:
            (_, left_s), (second_s, _) = began
            assert left_s is not None, request_id
            overlaps_s.append(left_s - second_s)
    assert len(overlaps_s) >= least, overlaps_s
    assert max(overlaps_s) <= most_s, overlaps_s
