import asyncio
import itertools
import signal
import time

from behave import (
    given,
    then,
    when,
)

from standins.behave_loop import run
from standins.users_platform.fleet import make_platform_configuration
from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
)

IN_FORCE_S = 2.0
FOLLOWED_S = 0.6
# Time from the return of the store until its other writers have noticed the loss.
REWRITE_DELAY_S = 0.3
DOMAIN = "a"
SENDERS_PER_NODE = 2


def _route(name):
    routes = make_platform_configuration()["routes"]
    (read,) = (route for route in routes if route["name"] == "read")
    return {**read, "name": name, "path_prefix": f"/{name}/"}


def _write_configuration(context, added=(), removed=()):
    """Write a new version of the configuration."""
    context.version += 1
    context.routes = [r for r in context.routes if r["name"] not in removed]
    context.routes += [_route(name) for name in added]
    configuration = make_platform_configuration(context.version, routes=context.routes)
    context.configuration = configuration
    context.fleet.store.put_json(OPERATOR_TABLE, "config", configuration)


def _put_leaving(context, server):
    entry = server.entry("draining")
    context.leaving = [server]
    context.fleet.store.put_json(SERVER_TABLE, server.server_id, entry)


@given("a copy of the store is made before {lost}")
def copy_then_lose(context, lost):
    context.version = 1
    context.routes = make_platform_configuration()["routes"]
    context.configuration = make_platform_configuration()
    context.leaving, context.evacuated = [], False
    context.copy = context.fleet.store.copy()
    count = lost.partition(" ")[0]
    if lost == "a server leaves":
        _put_leaving(context, context.fleet.servers["plain-0"])
    elif lost == "a domain is taken out":
        context.evacuated = True
        context.fleet.store.put_json(OPERATOR_TABLE, f"evacuate/{DOMAIN}", {})
    else:
        for number in range(int(count)):
            _write_configuration(context, added=() if number else ("lost",))
    run(context, asyncio.sleep(FOLLOWED_S))


@given("a copy of the store is made without the rows of the nodes")
def copy_without_nodes(context):
    whole = context.fleet.store.copy()
    rows = {
        key: row
        for key, row in whole.rows.items()
        if key[0] in (OPERATOR_TABLE, SERVER_TABLE)
    }
    context.copy = whole._replace(rows=rows)


@when("one node is replaced")
def replace_node(context):
    async def replace():
        await asyncio.sleep(IN_FORCE_S)
        await context.fleet.stop_node("node-0", signal.SIGKILL)
        await context.fleet.start_node("node-0")
        await context.fleet.wait_until_ready("node-0")
        await asyncio.sleep(IN_FORCE_S)

    run(context, replace())


@then("each node names the addresses of all nodes")
def names_all(context):
    for name in context.fleet.ports:
        addresses = run(context, context.fleet.resolve(name))
        assert len(addresses) == len(context.fleet.ports), (name, addresses)


@when("the store is away for {away_s:g} s and is restored from the copy")
def restore(context, away_s):
    async def restore_store():
        context.fleet.store.mode = "busy"
        await asyncio.sleep(away_s)
        context.fleet.store.restore(context.copy)
        context.fleet.store.mode = "ok"
        context.sent_before = _arrivals(context)
        await asyncio.sleep(REWRITE_DELAY_S)

    _start_traffic(context)
    run(context, restore_store())


@when("the operator and the servers write again what was lost")
def write_again(context):
    store = context.fleet.store
    store.put_json(OPERATOR_TABLE, "config", context.configuration)
    if context.evacuated:
        store.put_json(OPERATOR_TABLE, f"evacuate/{DOMAIN}", {})
    for server in context.leaving:
        store.put_json(SERVER_TABLE, server.server_id, server.entry("draining"))


def _start_traffic(context):
    """Send requests to all nodes until the scenario ends."""

    async def send(name, sender):
        for number in itertools.count():
            await context.fleet.request(name, "/read/x", f"t{sender}-{number}")

    tasks = [
        context.loop.create_task(send(name, f"{name}-{sender}"))
        for name in context.fleet.ports
        for sender in range(SENDERS_PER_NODE)
    ]

    def stop():
        for task in tasks:
            task.cancel()
        run(context, asyncio.wait(tasks))

    context.add_cleanup(stop)


@when("a route is added")
def add_route(context):
    _write_configuration(context, added=("late",))


@when("a route is removed")
def remove_route(context):
    _write_configuration(context, removed=("read",))


@when("a server leaves")
def server_leaves(context):
    _put_leaving(context, context.fleet.servers["plain-1"])


@when("{count:d} servers start one by one")
def servers_start(context, count):
    for number in range(count):
        server = context.fleet.servers["engine-0"]
        context.fleet.store.put_json(
            SERVER_TABLE, f"started-{number}", server.entry("draining")
        )


@when("nothing else happens")
def nothing_else(context):
    pass


def _arrivals(context):
    return {
        server.server_id: len(server.arrival_times_s)
        for server in context.fleet.servers.values()
    }


async def _statuses(context, path):
    names = list(context.fleet.ports)
    responses = await asyncio.gather(
        *(
            context.fleet.request(name, path, f"{name}-{time.monotonic_ns()}")
            for name in names
        )
    )
    return [response.code for response in responses]


def _check_route(context, name, status):
    run(context, asyncio.sleep(IN_FORCE_S))
    found = run(context, _statuses(context, f"/{name}/x"))
    assert found == [status] * len(found), found


@then('within 2 s all nodes serve the route "{name}"')
def route_is_served(context, name):
    _check_route(context, name, 200)


@then('within 2 s all nodes refuse the route "{name}"')
def route_is_refused(context, name):
    _check_route(context, name, 404)


def _check_no_arrivals(context, servers, since):
    after = _arrivals(context)
    assert sum(after.values()) > sum(since.values()), "no traffic"
    got = {s.server_id: after[s.server_id] - since[s.server_id] for s in servers}
    assert not any(got.values()), got


@then("within 2 s all nodes send nothing to that server")
def nothing_to_server(context):
    """A server that was left before the loss gets nothing at any time after it."""
    servers, since = context.leaving, context.sent_before
    if servers == [context.fleet.servers["plain-1"]]:
        run(context, asyncio.sleep(IN_FORCE_S))
        since = _arrivals(context)
    run(context, asyncio.sleep(IN_FORCE_S))
    _check_no_arrivals(context, servers, since)


@then("within 2 s all nodes send nothing to that domain")
def nothing_to_domain(context):
    run(context, asyncio.sleep(IN_FORCE_S))
    servers = [
        s
        for s in context.fleet.servers.values()
        if s.domain == DOMAIN and s.service == "plain"
    ]
    assert servers
    _check_no_arrivals(context, servers, context.sent_before)
