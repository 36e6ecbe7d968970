"""Nodes with a slot service over shared fake servers, for tests and benchmarks."""

import asyncio

from egretshed.configuration.schema import Configuration
from egretshed.errors import BackendRejected
from egretshed.slots.records import CallObservation
from egretshed.slots.service import SlotService
from standins.clock import ManualClock
from standins.environments import make_environment
from standins.fake_backends import (
    FakeDirectory,
    FakeServer,
)
from standins.fake_membership import (
    FakeConfiguration,
    FakeMembership,
)
from standins.peers import InMemoryNetwork


class PausableClock:
    """Clock of one node; while the node is paused its sleeps do not return."""

    def __init__(self, base: ManualClock):
        self.base = base
        self.running = asyncio.Event()
        self.running.set()

    def monotonic_s(self) -> float:
        return self.base.monotonic_s()

    def wall_s(self) -> float:
        return self.base.wall_s()

    async def sleep(self, seconds: float) -> None:
        await self.base.sleep(seconds)
        await self.running.wait()


class SlotNode:
    """One node with its slot service.

    `restart` simulates a crash followed by a start with the next incarnation.
    """

    def __init__(
        self,
        node_id: str,
        node_ids: list[str],
        network: InMemoryNetwork,
        configuration: Configuration,
        servers: dict[str, FakeServer],
    ):
        self.node_id = node_id
        self.network = network
        self.clock = PausableClock(network.clock)
        self.membership = FakeMembership(node_id, node_ids)
        self.configuration = FakeConfiguration(configuration)
        self.servers = servers
        self.incarnation = 0
        self.task: asyncio.Task | None = None
        self.restart()

    def restart(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.incarnation += 1
        env = make_environment(self.clock, self.node_id, self.incarnation)
        self.env = env
        self.service = SlotService(
            env,
            self.network.attach(env),
            self.membership,
            self.configuration,
            FakeDirectory(self.servers),
        )
        self.task = asyncio.ensure_future(self.service.run())

    def pause(self) -> None:
        self.clock.running.clear()
        self.network.paused.add(self.node_id)

    def resume(self) -> None:
        self.network.paused.discard(self.node_id)
        self.clock.running.set()

    async def call(
        self,
        attempt_id: str,
        duration_s: float,
        wait_s: float = 4.0,
        max_call_s: float = 3.0,
        replica_id: str = "p-0",
    ) -> bool:
        """Run one call of `duration_s`; return whether the server accepted it.

        Returns False if no slot is free within `wait_s` or the server rejects the call.
        """
        borrower = self.service.borrower
        await borrower.wait_for_slot([replica_id], wait_s)
        await self.clock.running.wait()
        slot = borrower.take(replica_id, attempt_id, max_call_s)
        if slot is None:
            return False
        server = self.servers[replica_id]
        try:
            server.start(attempt_id)
        except BackendRejected:
            borrower.release(slot, CallObservation(completed=False, seems_cold=True))
            return False
        await self.network.clock.sleep(duration_s)
        server.end(attempt_id)
        await self.clock.running.wait()
        borrower.release(slot, CallObservation(completed=True, first_token_s=0.1))
        return True
