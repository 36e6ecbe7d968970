"""Measures the cost of membership per node at several fleet sizes.

All nodes run in one process over an in-memory network and a manual clock, so the
figures contain no network delay. The CPU time is that of the process, less the overhead
of the manual clock for scheduling tasks, divided by nodes and simulated seconds. It
includes encoding and decoding, but no socket calls.

In the first seconds after all nodes start at once, the record of every node is
propagated to all others; use `--settle-s 180` for the cost in steady state. Detection
times are measured by `bench.detection`.

Example::

    PYTHONPATH=. python -m bench.membership_cost --sizes 7 14 28 100 360 --settle-s 180
"""

import argparse
import asyncio
import statistics
import time
from typing import NamedTuple

from bench.detection import (
    crash_detection_s,
    make_fleet,
)
from egretshed.membership.tests.fleet import Fleet

SETTLE_S = 20.0
MEASURE_S = 10.0
IDLE_SETTLE_CALLS = 2000


class Cost(NamedTuple):
    """Cost per node and second.

    `all_noticed_s` is the time from a crash until no other node counts the crashed one
    as reachable, `bound_s` is `MembershipService.detection_bound_s` at that fleet size.
    """

    nodes: int
    messages: float
    bytes_sent: float
    cpu_us: float
    all_noticed_s: float
    bound_s: float


async def measure(nodes: int, seed: int, settle_s: float) -> Cost:
    fleet = make_fleet(nodes, seed)
    await fleet.start_all()
    await fleet.clock.advance(settle_s)
    idle_settle_cpu_s = await idle_settle_s(fleet)
    settle_count = count_settles(fleet)
    network = fleet.network
    messages, sent_bytes = network.sent_messages, network.sent_bytes
    started_cpu_s = time.process_time()
    await fleet.clock.advance(MEASURE_S)
    cpu_s = time.process_time() - started_cpu_s - settle_count[0] * idle_settle_cpu_s
    per_node_second = 1 / (nodes * MEASURE_S)
    # A call and its reply are two messages, but the network counts only the call. The
    # reply is assumed to have the size of the call.
    message_count = (network.sent_messages - messages) * 2
    bytes_sent = (network.sent_bytes - sent_bytes) * 2
    bound_s = fleet.nodes["entry-1"].membership.detection_bound_s()
    detection_s = await crash_detection_s(fleet, [list(fleet.nodes)[-1]])
    await fleet.stop()
    return Cost(
        nodes,
        message_count * per_node_second,
        bytes_sent * per_node_second,
        cpu_s * 1e6 * per_node_second,
        detection_s,
        bound_s,
    )


async def idle_settle_s(fleet: Fleet) -> float:
    """Return the CPU time of one `run_ready_tasks` call with no task to run."""
    started_cpu_s = time.process_time()
    for _ in range(IDLE_SETTLE_CALLS):
        await fleet.clock.run_ready_tasks()
    return (time.process_time() - started_cpu_s) / IDLE_SETTLE_CALLS


def count_settles(fleet: Fleet) -> list[int]:
    """Count further calls of `run_ready_tasks`; return a list that has the count."""
    count = [0]
    run_ready_tasks = fleet.clock.run_ready_tasks

    async def counted() -> None:
        count[0] += 1
        await run_ready_tasks()

    fleet.clock.run_ready_tasks = counted
    return count


def print_table(costs: list[Cost]) -> None:
    print("nodes  messages/s  bytes/s  cpu us/s  detected s  bound s")
    for cost in costs:
        print(
            f"{cost.nodes:5d}  {cost.messages:10.2f}  {cost.bytes_sent:7.0f}  "
            f"{cost.cpu_us:8.0f}  "
            f"{cost.all_noticed_s:10.1f}  {cost.bound_s:7.1f}"
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
    parser.add_argument("--settle-s", type=float, default=SETTLE_S)
    options = parser.parse_args()
    costs = [
        asyncio.run(measure(nodes, options.seed, options.settle_s))
        for nodes in options.sizes
    ]
    print_table(costs)


if __name__ == "__main__":
    main()
