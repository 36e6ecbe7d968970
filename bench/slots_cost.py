"""Measures the cost of slot loans per node by fleet size, and its slope.

All nodes run in one process on virtual time, so that the time waited costs no real
time. Every message is encoded as a frame with a MAC, as it is for TCP; the cost of
socket calls is not included. Owners lend only after the take-over wait, and loans then
adapt to the calls, so the measurement starts after a warm-up that is longer than this
wait. With 0 calls/s, only the owners' refreshes and the load polls remain.

Example::

    PYTHONPATH=. python -m bench.slots_cost --sizes 7 28 100 360 --used 8
"""

import argparse
import asyncio
import itertools
import random
import selectors
import time
from typing import NamedTuple

from egretshed.gen.messages.ttypes import (
    Frame,
    FrameKind,
)
from egretshed.peers.codec import (
    MAC_BYTES,
    MESSAGE_TYPES,
    FrameAuthenticator,
    derive_key,
    encode,
)
from egretshed.peers.connection import LENGTH_BYTES
from egretshed.slots.records import CallObservation
from standins.fake_backends import FakeServer
from standins.fake_membership import make_configuration
from standins.peers import (
    InMemoryNetwork,
    InMemoryPeer,
)
from standins.slot_nodes import SlotNode

FLEET_SIZES = [7, 14, 28, 56, 112]
REPLICAS_PER_NODE = 2
CALL_S = 0.1
WARM_UP_S = 9.0


class VirtualSelector(selectors.DefaultSelector):
    """Advances virtual time by the timeout of `select` instead of waiting."""

    now_s = 1000.0

    def select(self, timeout=None):
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualClock:
    """The clock of an event loop that runs on virtual time."""

    def __init__(self, loop):
        self.loop = loop

    def monotonic_s(self) -> float:
        return self.loop.time()

    def wall_s(self) -> float:
        return self.loop.time() + 1.7e9

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class CountingPeer(InMemoryPeer):
    """Encodes requests and replies as frames, and counts these and their bytes."""

    channel = FrameAuthenticator(derive_key("bench"))

    async def _exchange(self, node_id, message):
        self.count_frame(message)
        return await super()._exchange(node_id, message)

    async def receive(self, sender, body):
        reply = await super().receive(sender, body)
        self.count_frame(reply)
        return reply

    def count_frame(self, message):
        kind = MESSAGE_TYPES[type(message)]
        frame = encode(Frame(1000, FrameKind.CALL, 1000, kind, encode(message)))
        self.channel.mac(True, frame)
        self.network.frames += 1
        self.network.frame_bytes += LENGTH_BYTES + MAC_BYTES + len(frame)


class CountingNetwork(InMemoryNetwork):
    """Adds up the frames and bytes of all peers."""

    frames = 0
    frame_bytes = 0

    def attach(self, env):
        peer = CountingPeer(self, env)
        self.peers[env.identity.node_id] = peer
        return peer


class Cost(NamedTuple):
    """Cost per node and second."""

    nodes: int
    cpu_us: float
    sent_bytes: float
    messages: float
    calls: float


def measure(nodes: int, used: int, options: argparse.Namespace) -> Cost:
    """Return the cost in a fleet whose nodes each call `used` replicas, 0 for all."""
    selector = VirtualSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s
    try:
        return loop.run_until_complete(_measure(loop, nodes, used, options))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


async def _measure(loop, nodes, used, options) -> Cost:
    seconds, seed, rate = options.seconds, options.seed, options.calls_per_s
    clock = VirtualClock(loop)
    network = CountingNetwork(clock)
    configuration = make_configuration(
        REPLICAS_PER_NODE * nodes, cold_slots=4, warm_slots=32
    )
    replica_ids = [r.replica_id for r in configuration.pools["p"].replicas]
    servers = {replica_id: FakeServer(clock) for replica_id in replica_ids}
    node_ids = [f"n{index}" for index in range(nodes)]
    random_source = random.Random(seed)
    completed = itertools.count()
    tasks = []
    owners = {}
    for name in node_ids:
        node = SlotNode(name, node_ids, network, configuration, servers)
        # The nodes share one cache of owners: all have the same view of the membership,
        # and the real membership service caches owners too.
        node.membership._owners = owners
        used_replicas = random_source.sample(
            replica_ids, min(used or len(replica_ids), len(replica_ids))
        )
        node_random = random.Random(f"{seed}/{name}")
        if rate:
            load = _generate_calls(node, used_replicas, rate, node_random, completed)
            tasks.append(asyncio.ensure_future(load))
    await clock.sleep(WARM_UP_S)
    before = (
        time.process_time(),
        network.frame_bytes,
        network.frames,
        next(completed),
    )
    await clock.sleep(seconds)
    after = (
        time.process_time(),
        network.frame_bytes,
        network.frames,
        next(completed),
    )
    cpu_s, sent, frames, calls = (b - a for a, b in zip(before, after))
    node_s = nodes * seconds
    return Cost(
        nodes, 1e6 * cpu_s / node_s, sent / node_s, frames / node_s, calls / node_s
    )


async def _generate_calls(node, replica_ids, rate, random_source, completed) -> None:
    """Start calls to random replicas at exponentially distributed intervals."""
    for number in itertools.count():
        await node.clock.sleep(random_source.expovariate(rate))
        attempt_id = f"{node.node_id}/{number}"
        replica_id = random_source.choice(replica_ids)
        asyncio.ensure_future(_call(node, replica_id, attempt_id, completed))


async def _call(node, replica_id, attempt_id, completed) -> None:
    """Hold a slot for CALL_S; a call that gets no slot is not counted."""
    borrower = node.service.borrower
    if not await borrower.wait_for_slot([replica_id], 1.0):
        return
    slot = borrower.take(replica_id, attempt_id, 3.0)
    if slot is None:
        return
    await node.clock.sleep(CALL_S)
    borrower.release(slot, CallObservation(True, 0.05, CALL_S))
    next(completed)


def slope(costs: list[Cost], field: str) -> float:
    """Return the least-squares slope of `field` over the number of nodes."""
    mean_x = sum(cost.nodes for cost in costs) / len(costs)
    mean_y = sum(getattr(cost, field) for cost in costs) / len(costs)
    sxx = sum((cost.nodes - mean_x) ** 2 for cost in costs)
    sxy = sum((cost.nodes - mean_x) * (getattr(cost, field) - mean_y) for cost in costs)
    return sxy / sxx


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=FLEET_SIZES)
    parser.add_argument(
        "--calls-per-s", type=float, default=20.0, help="calls per second of each node"
    )
    parser.add_argument(
        "--used",
        type=int,
        nargs="+",
        default=[8, 0],
        help="replicas that a node calls, 0 for all",
    )
    options = parser.parse_args()
    fields = Cost._fields[1:]
    for used in options.used:
        print(f"\nreplicas called by a node: {used or 'all'}; per node and second")
        print("nodes" + "".join(f"{field:>14}" for field in fields))
        costs = []
        for nodes in options.sizes:
            cost = measure(nodes, used, options)
            costs.append(cost)
            print(f"{nodes:5}" + "".join(f"{value:14.1f}" for value in cost[1:]))
        if len(costs) > 1:
            print("slope" + "".join(f"{slope(costs, field):14.3f}" for field in fields))


if __name__ == "__main__":
    main()
