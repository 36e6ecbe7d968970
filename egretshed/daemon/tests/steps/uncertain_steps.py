import asyncio
import signal

from behave import (
    given,
    when,
)

from standins.behave_loop import run
from standins.users_platform.fleet import make_platform_configuration
from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
)

EVENT_DELAY_S = 0.1
PAUSE_S = 1.2
NODE = "node-0"


@given('the servers of "{service}" take {work_s:g} s for a request')
def set_work(context, service, work_s):
    for server in context.fleet.servers.values():
        if server.service == service:
            server.work_s = work_s
            server.event_s = work_s / server.events
    context.service = service


def _remove_entries(context):
    for server in context.fleet.servers.values():
        if server.service == context.service:
            context.fleet.store.put(SERVER_TABLE, server.server_id, None)


def _list_as_leaving(context):
    for server in context.fleet.servers.values():
        if server.service == context.service:
            entry = server.entry("draining")
            context.fleet.store.put_json(SERVER_TABLE, server.server_id, entry)


def _evacuate(context):
    for domain in "abc":
        context.fleet.store.put_json(OPERATOR_TABLE, f"evacuate/{domain}", {})


def _silence_store(context):
    context.fleet.store.mode = "silent"


def _remove_route(context):
    configuration = make_platform_configuration(2)
    configuration["routes"] = configuration["routes"][1:]
    context.fleet.store.put_json(OPERATOR_TABLE, "config", configuration)


def _pause_other_nodes(context):
    """The others cannot answer, as if the node were cut off from them."""
    for name, process in context.fleet.processes.items():
        if name != NODE:
            process.send_signal(signal.SIGSTOP)


def _resume_other_nodes(context):
    for name, process in context.fleet.processes.items():
        if name != NODE:
            process.send_signal(signal.SIGCONT)


EVENTS = {
    "the entries of its servers are removed": _remove_entries,
    "its servers are listed as leaving": _list_as_leaving,
    "its failure domains are evacuated": _evacuate,
    "the store is silent": _silence_store,
    "its route is removed": _remove_route,
    "its node is silent to the others": _pause_other_nodes,
}


@when('request "{request_id}" to {path} is sent, and while it runs {event}')
def send_with_event(context, request_id, path, event):
    async def send():
        sending = asyncio.create_task(context.fleet.request(NODE, path, request_id))
        await asyncio.sleep(EVENT_DELAY_S)
        EVENTS[event](context)
        await asyncio.sleep(PAUSE_S)
        _resume_other_nodes(context)
        context.response = await sending
        context.fleet.store.mode = "ok"

    run(context, send())
