"""Fleet of nodes in one process, with an in-memory network and a manual clock."""

import asyncio
import contextlib
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.membership.service import MembershipService
from egretshed.platform.interface import ListedVm
from standins.clock import (
    ManualClock,
    OffsetClock,
)
from standins.environments import make_environment
from standins.memory_platform import MemoryPlatform
from standins.peers import (
    InMemoryNetwork,
    InMemoryPeer,
)


class Node(NamedTuple):
    env: Environment
    peer: InMemoryPeer
    membership: MembershipService
    task: asyncio.Task
    old_process: "Node | None" = None


class Fleet:
    """Nodes `entry-1` and up; `domains` holds the failure domain of each node.

    A domain is given as ``region:domain``.
    """

    def __init__(self, domains: list[str], seed: int = 1):
        self.clock = ManualClock()
        self.network = InMemoryNetwork(self.clock)
        self.memory = MemoryPlatform(self.clock)
        self.seed = seed
        self.places = {
            f"entry-{number}": place.split(":")
            for number, place in enumerate(domains, 1)
        }
        self.nodes: dict[str, Node] = {}
        self.incarnations = dict.fromkeys(self.places, 0)
        self.list_nodes(*self.places)

    def list_nodes(self, *node_ids: str, leaving: tuple[str, ...] = ()) -> None:
        self.memory.vms = [
            ListedVm(n, "entry", "127.0.0.1", 0, 0, domain, region, n in leaving)
            for n in node_ids
            for region, domain in [self.places[n]]
        ]

    async def start_node(self, node_id: str) -> Node:
        """Start a process with the next incarnation.

        A process that runs already loses its network connection and stays available as
        `old_process` of the new one.
        """
        self.incarnations[node_id] += 1
        region, domain = self.places[node_id]
        env = make_environment(
            OffsetClock(self.clock, 0.0),
            node_id,
            self.incarnations[node_id],
            domain,
            region,
            self.seed,
        )
        peer = self.network.attach(env)
        membership = MembershipService(env, self.memory.platform, peer)
        task = asyncio.create_task(self._run(membership))
        old = self.nodes.get(node_id)
        self.nodes[node_id] = Node(env, peer, membership, task, old)
        await self.clock.run_ready_tasks()
        return self.nodes[node_id]

    async def start_all(self) -> None:
        for node_id in self.places:
            await self.start_node(node_id)

    async def crash(self, node_id: str) -> None:
        node = self.nodes.pop(node_id)
        self.network.detach(node_id)
        await end_task(node.task)

    async def stop(self) -> None:
        for node in list(self.nodes.values()):
            await end_task(node.task)
            if node.old_process is not None:
                await end_task(node.old_process.task)

    def pause(self, node_id: str, seconds: float) -> None:
        """Advance the clock of one node only, as if its process had been paused."""
        self.nodes[node_id].env.clock.offset_s += seconds

    def reachable_by(self, node_id: str) -> set[str]:
        return {m.node_id for m in self.nodes[node_id].membership.reachable()}

    async def _run(self, membership: MembershipService) -> None:
        await membership.start()
        await membership.run()


async def end_task(task: asyncio.Task) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
