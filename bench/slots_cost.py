"""Measures what lending costs a node, by number of nodes, and prints the slopes.

All nodes run in one process on virtual time, so that a large fleet needs no real time.
Every message is encoded as the frame that TCP would carry, with its MAC; the cost of
sockets is not in the figures. Loans follow the calls of a settled fleet, so they are
measured after a warm-up of more than one take-over wait. With 0 calls/s only owners'
refreshes and load polls remain.

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

SIZES = [7, 14, 28, 56, 112]
REPLICAS_PER_NODE = 2
CALL_S = 0.1
WARM_UP_S = 9.0


class VirtualSelector(selectors.DefaultSelector):
    """Turns the time that the loop would wait into virtual time."""

    now_s = 1000.0

    def select(self, timeout=None):
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualClock:
    def __init__(self, loop):
        self.loop = loop

    def monotonic_s(self) -> float:
        return self.loop.time()

    def wall_s(self) -> float:
        return self.loop.time() + 1.7e9

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class CountingPeer(InMemoryPeer):
    """Frames requests and replies, and counts both."""

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
    frames = 0
    frame_bytes = 0

    def attach(self, env):
        peer = CountingPeer(self, env)
        self.peers[env.identity.node_id] = peer
        return peer


class Cost(NamedTuple):
    """Per node and second."""

    nodes: int
    cpu_us: float
    sent_bytes: float
    messages: float
    calls: float


def measure(nodes: int, used: int, options: argparse.Namespace) -> Cost:
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
    everyone = [f"n{index}" for index in range(nodes)]
    chosen = random.Random(seed)
    done = itertools.count()
    tasks = []
    owners = {}
    for name in everyone:
        node = SlotNode(name, everyone, network, configuration, servers)
        node.membership._owners = owners  # One view, as membership caches it.
        mine = chosen.sample(
            replica_ids, min(used or len(replica_ids), len(replica_ids))
        )
        seeded = random.Random(f"{seed}/{name}")
        if rate:
            work = _offer(node, mine, rate, seeded, done)
            tasks.append(asyncio.ensure_future(work))
    await clock.sleep(WARM_UP_S)
    started = (time.process_time(), network.frame_bytes, network.frames, next(done))
    await clock.sleep(seconds)
    ended = (time.process_time(), network.frame_bytes, network.frames, next(done))
    cpu_s, sent, frames, calls = (b - a for a, b in zip(started, ended))
    per = nodes * seconds
    return Cost(nodes, 1e6 * cpu_s / per, sent / per, frames / per, calls / per)


async def _offer(node, replica_ids, rate, chosen, done) -> None:
    for number in itertools.count():
        await node.clock.sleep(chosen.expovariate(rate))
        attempt_id = f"{node.node_id}/{number}"
        replica_id = chosen.choice(replica_ids)
        asyncio.ensure_future(_call(node, replica_id, attempt_id, done))


async def _call(node, replica_id, attempt_id, done) -> None:
    borrower = node.service.borrower
    if not await borrower.wait_for_slot([replica_id], 1.0):
        return
    slot = borrower.take(replica_id, attempt_id, 3.0)
    if slot is None:
        return
    await node.clock.sleep(CALL_S)
    borrower.release(slot, CallObservation(True, 0.05, CALL_S))
    next(done)


def slope(costs: list[Cost], field: str) -> float:
    """Return the least-squares growth of `field` per node added."""
    mean_x = sum(cost.nodes for cost in costs) / len(costs)
    mean_y = sum(getattr(cost, field) for cost in costs) / len(costs)
    spread = sum((cost.nodes - mean_x) ** 2 for cost in costs)
    joint = sum(
        (cost.nodes - mean_x) * (getattr(cost, field) - mean_y) for cost in costs
    )
    return joint / spread


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--calls-per-s", type=float, default=20.0, help="of each node")
    parser.add_argument(
        "--used", type=int, nargs="+", default=[8, 0], help="replicas of a node; 0: all"
    )
    options = parser.parse_args()
    fields = Cost._fields[1:]
    for used in options.used:
        print(f"\nreplicas used by a node: {used or 'all'}; per node and second")
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
