"""Measures the detection time of crashes, a failed failure domain and a partition.

All nodes run in one process over an in-memory network and a manual clock. The report
compares the times with `MembershipService.detection_bound_s`. Its columns for a network
partition between two regions are:

- `split`: time from the start of the partition until no node counts a node of the other
  region as reachable,
- `first dead`: time from the start of the partition until a node first considers
  another one unreachable,
- `rejoined`: time from the end of the partition until every node reaches all others.

Example::

    PYTHONPATH=. python -m bench.detection --sizes 7 28 100 360 --crashes 5
"""

import argparse
import asyncio
import math
from typing import NamedTuple

from egretshed.membership.tests.fleet import Fleet

REGIONS = ("r1", "r2")
DOMAINS = [f"{REGIONS[number % 2]}:d{number}" for number in range(8)]
SETTLE_S = 20.0
RECOVERY_S = 15.0
STEP_S = 0.1
WAIT_LIMIT_S = 120.0


class Detection(NamedTuple):
    """Detection times in seconds.

    `crash_s` is the longest of several single crashes, `domain_s` the time for a
    simultaneous crash of all nodes of a failure domain.
    """

    nodes: int
    bound_s: float
    crash_s: float
    domain_s: float
    partitioned_s: float
    first_dead_s: float
    rejoined_s: float


def make_fleet(nodes: int, seed: int, fleet_type: type[Fleet] = Fleet) -> Fleet:
    """Return a fleet whose nodes are spread evenly over the failure domains."""
    return fleet_type([DOMAINS[n % len(DOMAINS)] for n in range(nodes)], seed)


async def restart(fleet: Fleet, victims: list[str]) -> None:
    for victim in victims:
        await fleet.start_node(victim)
    await fleet.clock.advance(RECOVERY_S)


async def crash_detection_s(fleet: Fleet, victims: list[str]) -> float:
    """Crash nodes at once; return the time until no other node reaches any of them."""
    for victim in victims:
        await fleet.crash(victim)
    return await time_until_s(fleet, lambda: not any_reachable(fleet, victims))


def any_reachable(fleet: Fleet, victims: list[str]) -> bool:
    return any(
        member is not None and member.is_reachable
        for node in fleet.nodes.values()
        for member in map(node.membership.member, victims)
    )


async def time_until_s(fleet: Fleet, condition) -> float:
    """Advance the clock until `condition()` is true.

    Returns the elapsed time in seconds, or infinity after WAIT_LIMIT_S.
    """
    started_s = fleet.clock.monotonic_s()
    while not condition():
        await fleet.clock.advance(STEP_S)
        if fleet.clock.monotonic_s() - started_s > WAIT_LIMIT_S:
            return math.inf
    return fleet.clock.monotonic_s() - started_s


async def partition_regions(fleet: Fleet) -> tuple[float, float, float]:
    """Partition the regions, then heal the network.

    Returns `partitioned_s`, `first_dead_s` and `rejoined_s` as in `Detection`.
    """
    left, right = (
        {n for n in fleet.nodes if fleet.places[n][0] == region} for region in REGIONS
    )
    node_count = len(fleet.nodes)
    started_s = fleet.clock.monotonic_s()
    first_dead_s = math.inf

    def is_partitioned() -> bool:
        nonlocal first_dead_s
        min_reachable = min(len(n.membership.reachable()) for n in fleet.nodes.values())
        if min_reachable < node_count:
            elapsed_s = fleet.clock.monotonic_s() - started_s
            first_dead_s = min(first_dead_s, elapsed_s)
        return not any_reaches_other_region(fleet, left, right)

    fleet.network.partition(left, right)
    partitioned_s = await time_until_s(fleet, is_partitioned)
    await fleet.clock.advance(RECOVERY_S)
    fleet.network.heal()
    rejoined_s = await time_until_s(
        fleet,
        lambda: all(
            len(n.membership.reachable()) == node_count for n in fleet.nodes.values()
        ),
    )
    return partitioned_s, first_dead_s, rejoined_s


def any_reaches_other_region(fleet: Fleet, left: set[str], right: set[str]) -> bool:
    return any(
        fleet.nodes[name].membership.lending_share(other).reachable
        for names, other in ((left, REGIONS[1]), (right, REGIONS[0]))
        for name in names
    )


async def measure(nodes: int, crashes: int, seed: int) -> Detection:
    fleet = make_fleet(nodes, seed)
    await fleet.start_all()
    await fleet.clock.advance(SETTLE_S)
    bound_s = fleet.nodes["entry-1"].membership.detection_bound_s()
    crash_times_s = []
    for victim in list(fleet.nodes)[:crashes]:
        crash_times_s.append(await crash_detection_s(fleet, [victim]))
        await restart(fleet, [victim])
    domain = [n for n in fleet.nodes if fleet.places[n][1] == "d0"]
    domain_s = await crash_detection_s(fleet, domain)
    await restart(fleet, domain)
    times = await partition_regions(fleet)
    await fleet.stop()
    return Detection(nodes, bound_s, max(crash_times_s), domain_s, *times)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 14, 28, 100, 360])
    parser.add_argument(
        "--crashes", type=int, default=5, help="single crashes per fleet size"
    )
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    options = parser.parse_args()
    print("nodes seed  bound  crash  domain  split   first dead  rejoined  (seconds)")
    for nodes in options.sizes:
        for seed in options.seeds:
            result = asyncio.run(measure(nodes, options.crashes, seed))
            print(
                f"{nodes:5d} {seed:4d}  {result.bound_s:5.1f}  {result.crash_s:5.1f}  "
                f"{result.domain_s:6.1f}  {result.partitioned_s:6.1f}  "
                f"{result.first_dead_s:10.1f}  {result.rejoined_s:8.1f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
