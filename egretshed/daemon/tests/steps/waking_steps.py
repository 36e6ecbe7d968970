import asyncio
import signal

from behave import (
    then,
    when,
)

from standins.behave_loop import run
from standins.users_platform.fleet import make_platform_configuration
from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
)

SERVICES = {"read": "plain", "book": "plain", "ask": "engine"}
DOMAIN = "a"
# The change is made this long after the node was stopped, and the requests are sent
# this long before it goes on.
CHANGE_DELAY_S = 0.3
QUEUED_S = 0.2
DEADLINE_MS = "4000"


def _servers(context, route):
    service = SERVICES[route]
    return [s for s in context.fleet.servers.values() if s.service == service]


def _leave(context, route):
    server = _servers(context, route)[0]
    context.fleet.store.put_json(
        SERVER_TABLE, server.server_id, server.entry("draining")
    )
    return [server]


def _evacuate(context, route):
    context.fleet.store.put_json(OPERATOR_TABLE, f"evacuate/{DOMAIN}", {})
    return [s for s in _servers(context, route) if s.domain == DOMAIN]


def _put_configuration(context, configuration):
    context.fleet.store.put_json(OPERATOR_TABLE, "config", configuration)


def _drop_route(context, route):
    configuration = make_platform_configuration(version=2)
    configuration["routes"] = [r for r in configuration["routes"] if r["name"] != route]
    _put_configuration(context, configuration)
    return _servers(context, route)


def _revoke_key(context, route):
    configuration = make_platform_configuration(version=2)
    configuration["tenants"][0]["api_keys"] = ["key-2"]
    _put_configuration(context, configuration)
    return _servers(context, route)


def _silence_store(context, route):
    context.fleet.store.mode = "silent"
    return []


EVENTS = {
    "a server leaves": _leave,
    "a domain is evacuated": _evacuate,
    "the route is dropped": _drop_route,
    "the key is revoked": _revoke_key,
    "the store falls silent": _silence_store,
    "nothing else happens": lambda context, route: [],
}


@when(
    '"{name}" stands still for {for_s:g} s, {event}, and {count:d} "{route}" requests'
    " wait"
)
def stand_still(context, name, for_s, event, count, route):
    async def stand():
        process = context.fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(CHANGE_DELAY_S)
        forbidden = EVENTS[event](context, route)
        await asyncio.sleep(for_s - CHANGE_DELAY_S - QUEUED_S)
        sending = [
            asyncio.create_task(
                context.fleet.request(
                    name, f"/{route}/x", f"w-{number}", Deadline_Ms=DEADLINE_MS
                )
            )
            for number in range(count)
        ]
        await asyncio.sleep(QUEUED_S)
        process.send_signal(signal.SIGCONT)
        return forbidden, await asyncio.gather(*sending)

    context.count = count
    context.forbidden, context.responses = run(context, stand())


def _table_lines(context):
    messages = ("process_was_paused", "tables_refreshed", "table_not_confirmed")
    return [
        line
        for name in context.fleet.ports
        for line in context.fleet.log_lines(name)
        if line["message"] in messages
    ]


@then("none of them reaches a server that may not get it")
def none_reached(context):
    reached = [
        (server.server_id, request_id)
        for server in context.forbidden
        for request_id in server.run_counts
        if request_id.startswith("w-")
    ]
    assert not reached, (reached, _table_lines(context))


@then("they are answered {status:d}")
def all_have_status(context, status):
    statuses = [response.code for response in context.responses]
    assert statuses == [status] * context.count, statuses
