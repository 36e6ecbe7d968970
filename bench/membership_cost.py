"""Measures what membership costs a node at several fleet sizes.

All nodes run in one process over the in-memory network and a manual clock, so a figure
has no delay of a real network in it. CPU is the process's, less what the manual clock
spends on letting tasks run, divided by nodes and simulated seconds. It includes
encoding and decoding but no sockets.

Example::

    PYTHONPATH=. python -m bench.membership_cost --sizes 7 14 28 100 360
"""

import argparse
import asyncio
import statistics
import time
from typing import NamedTuple

from egretshed.membership.tests.fleet import Fleet

DOMAINS = [f"r{number % 2 + 1}:d{number}" for number in range(8)]
SETTLE_S = 20.0
MEASURED_S = 10.0
IDLE_SETTLES = 2000


class Cost(NamedTuple):
    """Per node and second, but for the times from a crash to its notice."""

    nodes: int
    messages: float
    bytes_sent: float
    cpu_us: float
    first_noticed_s: float
    all_noticed_s: float


async def measure(nodes: int, seed: int) -> Cost:
    fleet = Fleet([DOMAINS[n % len(DOMAINS)] for n in range(nodes)], seed)
    await fleet.start_all()
    await fleet.clock.advance(SETTLE_S)
    settle_s = await idle_settle_s(fleet)
    settles = count_settles(fleet)
    network = fleet.network
    messages, sent_bytes = network.sent_messages, network.sent_bytes
    began_s = time.process_time()
    await fleet.clock.advance(MEASURED_S)
    cpu_s = time.process_time() - began_s - settles[0] * settle_s
    per_node_second = 1 / (nodes * MEASURED_S)
    # A call and its reply are two messages; the network counts the call's bytes.
    exchanged = (network.sent_messages - messages) * 2
    bytes_sent = (network.sent_bytes - sent_bytes) * 2
    first_s, all_s = await detection(fleet)
    await fleet.stop()
    return Cost(
        nodes,
        exchanged * per_node_second,
        bytes_sent * per_node_second,
        cpu_s * 1e6 * per_node_second,
        first_s,
        all_s,
    )


async def idle_settle_s(fleet: Fleet) -> float:
    """Return the CPU time of one pass of the manual clock with nothing to run."""
    began_s = time.process_time()
    for _ in range(IDLE_SETTLES):
        await fleet.clock.settle()
    return (time.process_time() - began_s) / IDLE_SETTLES


def count_settles(fleet: Fleet) -> list[int]:
    count = [0]
    settle = fleet.clock.settle

    async def counted() -> None:
        count[0] += 1
        await settle()

    fleet.clock.settle = counted
    return count


async def detection(fleet: Fleet) -> tuple[float, float]:
    """Crash one node; return when the first and the last other one knew."""
    victim = list(fleet.nodes)[-1]
    await fleet.crash(victim)
    crashed_s = fleet.clock.monotonic_s()
    first_s = None
    while True:
        await fleet.clock.advance(0.1)
        elapsed_s = fleet.clock.monotonic_s() - crashed_s
        known = [node.membership.member(victim) for node in fleet.nodes.values()]
        still = sum(member is None or member.is_heard for member in known)
        if first_s is None and still < len(fleet.nodes):
            first_s = elapsed_s
        if still == 0:
            return first_s, elapsed_s


def print_table(costs: list[Cost]) -> None:
    print("nodes  messages/s  bytes/s  cpu us/s  first knew s  all knew s")
    for cost in costs:
        print(
            f"{cost.nodes:5d}  {cost.messages:10.2f}  {cost.bytes_sent:7.0f}  "
            f"{cost.cpu_us:8.0f}  {cost.first_noticed_s:12.1f}  "
            f"{cost.all_noticed_s:10.1f}"
        )
    sizes = [cost.nodes for cost in costs]
    if len(set(sizes)) < 2:
        return
    for field in ("messages", "bytes_sent", "cpu_us", "all_noticed_s"):
        values = [getattr(cost, field) for cost in costs]
        slope = statistics.linear_regression(sizes, values).slope
        print(f"slope of {field} per added node: {slope:.4f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 14, 28, 100, 360])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print_table([asyncio.run(measure(n, options.seed)) for n in options.sizes])


if __name__ == "__main__":
    main()
