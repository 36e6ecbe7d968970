import asyncio
from types import SimpleNamespace

from behave import (
    given,
    then,
    when,
)

from egretshed.errors import NotRun
from egretshed.relay.attempt import AttemptRunner
from egretshed.servers.records import (
    ListedServer,
    ServerAddress,
    ServerPhase,
)
from egretshed.servers.registry import ServerRegistry
from egretshed.serving.schema import Service
from standins.clock import ManualClock
from standins.environments import make_environment

SERVICE = Service("svc", 10, 1.0)
CHOICE_S = 0.01


class SlowSelector:
    """Prefers the cold server; a choice takes `CHOICE_S`."""

    def __init__(self, env, servers):
        self.env = env
        self.servers = servers

    async def choose(self, state, service, tried_ids, sizes):
        usable = [
            server
            for server in self.servers.usable(service.name)
            if server.server_id not in tried_ids
            and self.servers.has_send_permit(server, service.cold_requests_per_s)
        ]
        await self.env.clock.sleep(CHOICE_S)
        usable.sort(key=lambda server: not server.server_id.startswith("cold"))
        return (usable[0], None) if usable else None


@given("a cold server and {warm:d} warm servers")
def cold_and_warm(context, warm):
    context.clock = ManualClock()
    env = make_environment(context.clock)
    registry = ServerRegistry(
        env, lambda domain: False, lambda: False, lambda: ["entry-1"]
    )
    names = ["cold", *(f"warm-{number}" for number in range(warm))]
    for port, name in enumerate(names, 1):
        cold_s = 60.0 if name == "cold" else 0.0
        address = ServerAddress("10.0.0.1", port)
        registry.apply(
            ListedServer(name, "svc", address, "a", ServerPhase.READY, 4, cold_s)
        )
    stages = SimpleNamespace(bytes_by_domain=lambda state: {})
    selector = SlowSelector(env, registry)
    crashes, resumption = SimpleNamespace(guard=None), SimpleNamespace(may_go_on=None)
    context.runner = AttemptRunner(
        env, registry, selector, None, stages, None, None, crashes, resumption
    )


@when("{count:d} requests are placed on the cold server at the same time")
def place_at_once(context, count):
    async def select():
        state = SimpleNamespace(tried_ids=set(), may_have_run=False)
        try:
            server, _ = await context.runner._select_server(state, SERVICE)
        except NotRun:
            return "refused"
        return server.server_id

    async def run_scenario():
        placed = [asyncio.create_task(select()) for _ in range(count)]
        await context.clock.advance(1.0)
        return await asyncio.gather(*placed)

    context.chosen = asyncio.run(run_scenario())


@then(
    "{cold:d} of them go to it, {others:d} to other servers, and the rest are refused"
)
def placed_on(context, cold, others):
    warm = [name for name in context.chosen if name.startswith("warm")]
    found = (context.chosen.count("cold"), len(warm))
    assert found == (cold, others), context.chosen
