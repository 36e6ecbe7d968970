"""Measures how soon nodes notice crashes, a lost failure domain and a partition.

All nodes run in one process over the in-memory network and a manual clock. The times
are compared with `MembershipService.detection_bound_s`. `split` is the time from a cut
between two regions until no node counts one of the other region, `first dead`
the earliest time at which a node took another for dead in that cut, `rejoined` the time
from the end of the cut until every node reaches all.

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
BETWEEN_S = 15.0
STEP_S = 0.1
LIMIT_S = 120.0


class Detection(NamedTuple):
    """Times in seconds; `crash_s` is the longest of several single crashes."""

    nodes: int
    bound_s: float
    crash_s: float
    domain_s: float
    parted_s: float
    first_dead_s: float
    rejoined_s: float


def make_fleet(nodes: int, seed: int, kind: type[Fleet] = Fleet) -> Fleet:
    return kind([DOMAINS[n % len(DOMAINS)] for n in range(nodes)], seed)


async def restart(fleet: Fleet, victims: list[str]) -> None:
    for victim in victims:
        await fleet.start_node(victim)
    await fleet.clock.advance(BETWEEN_S)


async def crash_noticed_s(fleet: Fleet, victims: list[str]) -> float:
    """Crash nodes at once; return when the last other one knew of all."""
    for victim in victims:
        await fleet.crash(victim)
    return await until(fleet, lambda: not any_reachable(fleet, victims))


def any_reachable(fleet: Fleet, victims: list[str]) -> bool:
    return any(
        member is not None and member.is_reachable
        for node in fleet.nodes.values()
        for member in map(node.membership.member, victims)
    )


async def until(fleet: Fleet, holds) -> float:
    """Advance until `holds()`; return how long that took, infinite after LIMIT_S."""
    began_s = fleet.clock.monotonic_s()
    while not holds():
        await fleet.clock.advance(STEP_S)
        if fleet.clock.monotonic_s() - began_s > LIMIT_S:
            return math.inf
    return fleet.clock.monotonic_s() - began_s


async def part_regions(fleet: Fleet) -> tuple[float, float, float]:
    """Cut and heal; return `parted_s`, `first_dead_s` and `rejoined_s`."""
    left, right = (
        {n for n in fleet.nodes if fleet.places[n][0] == region} for region in REGIONS
    )
    everyone = len(fleet.nodes)
    began_s = fleet.clock.monotonic_s()
    first_dead_s = math.inf

    def is_parted() -> bool:
        nonlocal first_dead_s
        fewest = min(len(n.membership.reachable()) for n in fleet.nodes.values())
        if fewest < everyone:
            elapsed_s = fleet.clock.monotonic_s() - began_s
            first_dead_s = min(first_dead_s, elapsed_s)
        return not hears_other_region(fleet, left, right)

    fleet.network.partition(left, right)
    parted_s = await until(fleet, is_parted)
    await fleet.clock.advance(BETWEEN_S)
    fleet.network.heal()
    rejoined_s = await until(
        fleet,
        lambda: all(
            len(n.membership.reachable()) == everyone for n in fleet.nodes.values()
        ),
    )
    return parted_s, first_dead_s, rejoined_s


def hears_other_region(fleet: Fleet, left: set[str], right: set[str]) -> bool:
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
    single_s = []
    for victim in list(fleet.nodes)[:crashes]:
        single_s.append(await crash_noticed_s(fleet, [victim]))
        await restart(fleet, [victim])
    domain = [n for n in fleet.nodes if fleet.places[n][1] == "d0"]
    domain_s = await crash_noticed_s(fleet, domain)
    await restart(fleet, domain)
    times = await part_regions(fleet)
    await fleet.stop()
    return Detection(nodes, bound_s, max(single_s), domain_s, *times)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 14, 28, 100, 360])
    parser.add_argument("--crashes", type=int, default=5, help="one after another")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    options = parser.parse_args()
    print("nodes seed  bound  crash  domain  split   first dead  rejoined  (seconds)")
    for nodes in options.sizes:
        for seed in options.seeds:
            found = asyncio.run(measure(nodes, options.crashes, seed))
            print(
                f"{nodes:5d} {seed:4d}  {found.bound_s:5.1f}  {found.crash_s:5.1f}  "
                f"{found.domain_s:6.1f}  {found.parted_s:6.1f}  "
                f"{found.first_dead_s:10.1f}  {found.rejoined_s:8.1f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
