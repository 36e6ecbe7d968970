"""In-process fleet whose nodes also run the configuration service."""

import asyncio

from egretshed.configuration.service import ConfigurationService
from egretshed.membership.tests.fleet import (
    Fleet,
    Node,
    end_task,
)

POOL = {
    "role": "engine",
    "replicas": [{"replica_id": "x-1", "url": "http://x", "failure_domain": "a"}],
    "cold_slots": 1,
    "warm_slots": 4,
}


class ConfigurationFleet(Fleet):
    """`versions_seen` lists the versions that each process activated, in order.

    Its keys are node id and incarnation.
    """

    service_class = ConfigurationService

    def __init__(self, domains: list[str], seed: int = 1):
        super().__init__(domains, seed)
        self.services: dict[str, ConfigurationService] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.versions_seen: dict[tuple[str, int], list[int]] = {}

    async def start_node(self, node_id: str) -> Node:
        node = await super().start_node(node_id)
        service = self.service_class(
            node.env, self.memory.platform, node.peer, node.membership
        )
        seen = self.versions_seen[(node_id, node.env.identity.incarnation)] = []
        service.subscribe(lambda configuration: seen.append(configuration.version))
        self.services[node_id] = service
        self.tasks[node_id] = asyncio.create_task(self._run_configuration(service))
        await self.clock.run_ready_tasks()
        return node

    async def crash(self, node_id: str) -> None:
        del self.services[node_id]
        await end_task(self.tasks.pop(node_id))
        await super().crash(node_id)

    async def stop(self) -> None:
        for task in self.tasks.values():
            await end_task(task)
        await super().stop()

    async def run_until_done(self, coroutine, limit_s: float = 30.0):
        """Advance time until `coroutine` ends; return its result or its exception.

        Cancels it after `limit_s` and returns the `CancelledError`.
        """
        task = asyncio.create_task(coroutine)
        end_s = self.clock.monotonic_s() + limit_s
        await self.clock.run_ready_tasks()
        while not task.done() and self.clock.monotonic_s() < end_s:
            await self.clock.advance(0.1)
        task.cancel()
        (outcome,) = await asyncio.gather(task, return_exceptions=True)
        return outcome

    async def _run_configuration(self, service: ConfigurationService) -> None:
        await service.start()
        await service.run()
