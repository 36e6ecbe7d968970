"""Inputs that crash servers, beside ordinary crashes and faults of nodes and links.

The real `InputGuard` and `CrashReporter` of 3, 20 or 195 nodes run in virtual time. The
model knows which inputs crash servers.

Checks: after the third crash by one input was seen anywhere, at most `MAX_MORE` more
servers crash by it, besides those that it had been sent to, and `MAX_MORE` after each
further fault by which nodes forget or cannot be told; `settle_s` after the last fault
of nodes, links and store none does. No request of an input that crashes no server is
refused, unless it was in three crashes with no run to its end in between.

    python egretshed/quarantine/tests/fuzz_quarantine.py --nodes 20 --seconds 600
"""

import argparse
import asyncio
import sys
import time
from bisect import bisect
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from egretshed.quarantine.crash_evidence import (
    COMMON_CAUSE_S,
    CRASHES_TO_BLAME,
)
from standins.crash_nodes import NodeFleet
from standins.crash_servers import (
    Crash,
    InputSpec,
    ServerFleet,
)
from standins.virtual_time import VirtualTimeLoop

DURATION_S = 90.0
QUIET_S = 20.0
# Requests that are sent in this time after the third crash was seen are in flight: the
# crash is reported, judged by a successor of the owner, and told to all nodes.
IN_FLIGHT_S = 0.25
# So are those that are sent in this time after a further crash, before it is reported.
RESEND_S = 0.1
MAX_MORE = 3
DOMAINS = ("a", "b", "c")


class Size(NamedTuple):
    """Size of a deployment; `rate` multiplies the requests of sound inputs."""

    nodes: int
    servers: int
    rate: float
    settle_s: float


SIZES = {
    size.nodes: size
    for size in (
        Size(3, 12, 1.0, 8.0),
        Size(20, 60, 3.0, 8.0),
        Size(195, 240, 6.0, 10.0),
    )
}
# Sizes and numbers of seeds of a run in CI.
CI_SEEDS = {3: 16, 20: 2, 195: 1}

SOUND_INPUTS = (
    InputSpec("often", 0.12, 0.15),
    InputSpec("lookup", 0.4, 0.1, sends=2),
    InputSpec("prompt-1", 0.3, 0.2, part="tenant-1"),
    InputSpec("prompt-2", 2.0, 0.2, part="tenant-2"),
    InputSpec("rare-1", 3.0, 0.2),
    InputSpec("rare-2", 5.0, 0.3),
    InputSpec("rare-3", 9.0, 0.1, sends=2),
)
CRASHING_INPUTS = (
    InputSpec("plain-crash", 0.25, 0.0, crash_after_s=0.06),
    InputSpec("lookup-crash", 0.4, 0.0, sends=2, crash_after_s=0.06),
    InputSpec("part-crash", 0.3, 0.0, part="tenant-9", crash_after_s=0.06),
    InputSpec("slow-crash", 1.5, 0.0, crash_after_s=0.4),
    InputSpec("new-crash", 0.4, 0.0, crash_after_s=0.06, is_new=True),
)

Disturbance = Callable[["Simulation"], None]
DISTURBANCES: dict[str, Disturbance] = {}


def disturbance(name: str) -> Callable[[Disturbance], Disturbance]:
    """Register a coroutine function that disturbs a simulation until its quiet end."""

    def register(function: Disturbance) -> Disturbance:
        DISTURBANCES[name] = function
        return function

    return register


class Simulation:
    """One seeded run."""

    def __init__(self, seed: int, size: Size, only: frozenset[str] | None = None):
        self.size = size
        self.random = Random(f"{seed}/{size.nodes}")
        self.servers = ServerFleet(Random(f"{seed}/servers"), size.servers, DOMAINS)
        self.fleet = NodeFleet(seed, size.nodes, self.servers, DOMAINS)
        self.start_s = asyncio.get_running_loop().time()
        self.kinds = [name for name in DISTURBANCES if self.random.random() < 0.5]
        if only is not None:
            self.kinds = [name for name in DISTURBANCES if name in only]
        count = self.random.choice((0, 1, 1, 2))
        self.crashing = self.random.sample(CRASHING_INPUTS, count)

    def is_quiet(self) -> bool:
        """Return whether the last part of the run has come, without faults."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self.start_s > DURATION_S - QUIET_S

    async def run(self) -> None:
        spawn = self.servers.spawn
        spawn(self.fleet.update_views())
        for spec in SOUND_INPUTS:
            rate = self.size.rate if spec.period_s < 1 else 1.0
            spawn(self._send(spec, 0.0, rate))
        for spec in self.crashing:
            spawn(self._send(spec, self.random.uniform(3.0, 50.0), 1.0))
        for name in self.kinds:
            spawn(DISTURBANCES[name](self))
        await asyncio.sleep(DURATION_S)

    async def _send(self, spec: InputSpec, after_s: float, rate: float) -> None:
        await asyncio.sleep(after_s)
        number = 0
        while True:
            await asyncio.sleep(spec.period_s / rate * self.random.uniform(0.5, 1.5))
            live = self.fleet.live()
            if live:
                number += 1
                node = self.random.choice(live)
                node.spawn(node.relay(spec, spec.input_ids(number)))

    def failures(self) -> list[str]:
        """Return what broke the checks."""
        found = [f"error: {error!r}" for error in self.fleet.errors]
        for spec in self.crashing:
            if not spec.is_new:
                found += self._late_crashes(spec)
        for refusal in self.fleet.refusals:
            if not refusal.is_by_chance:
                found.append(
                    f"sound input refused: {refusal.input_id} at {refusal.node_id},"
                    f" {refusal.at_s - self.start_s:.3f} s"
                )
        return found

    def third_seen_s(self, spec: InputSpec) -> float | None:
        """Return when the third crash by an input was seen, None before that."""
        seen_s = self.fleet.seen_s
        crashes = [
            crash
            for crash in self.servers.crashes
            if crash.culprit == spec.name and crash.server_id in seen_s
        ]
        counted: list[Crash] = []
        for crash in crashes:
            last_s = counted[-1].at_s if counted else float("-inf")
            if crash.at_s - last_s >= COMMON_CAUSE_S or crash.sent_s >= last_s:
                counted.append(crash)
        if len(counted) < CRASHES_TO_BLAME:
            return None
        times_s = sorted(seen_s[crash.server_id] for crash in counted)
        return times_s[CRASHES_TO_BLAME - 1]

    def _late_crashes(self, spec: InputSpec) -> list[str]:
        third_s = self.third_seen_s(spec)
        if third_s is None:
            return []
        more: list[Crash] = []
        last_s = third_s + IN_FLIGHT_S - RESEND_S
        for crash in self.servers.crashes:
            if crash.culprit == spec.name and crash.sent_s > last_s + RESEND_S:
                more.append(crash)
                last_s = crash.at_s
        STATISTICS[f"{len(more)} more"] += 1
        fault_times_s = self.fleet.fault_times_s
        by_fault = Counter(bisect(fault_times_s, crash.sent_s) for crash in more)
        found = []
        if any(count > MAX_MORE for count in by_fault.values()):
            after_s = [round(crash.sent_s - third_s, 2) for crash in more]
            found.append(f"{spec.name}: crashes {after_s} s after the third one")
        for crash in more:
            calm_s = crash.sent_s - max(third_s, self._last_fault_s(crash.sent_s))
            if calm_s > self.size.settle_s:
                found.append(f"{spec.name}: a crash {calm_s:.1f} s after all faults")
        return found

    def _last_fault_s(self, now_s: float) -> float:
        """Return when there was a fault of nodes, links or store last."""
        faulty_at_s = self.fleet.faulty_at_s
        index = bisect(faulty_at_s, now_s)
        return faulty_at_s[index - 1] if index else 0.0


# Sums over all runs.
STATISTICS: Counter[str] = Counter()


@disturbance("ordinary_crashes")
async def crash_tenths(simulation: Simulation) -> None:
    """A tenth of the servers crashes every few seconds."""
    random, servers = simulation.random, simulation.servers
    while not simulation.is_quiet():
        await asyncio.sleep(random.uniform(2.0, 5.0))
        count = max(1, len(servers.servers) // 10)
        for server in random.sample(servers.servers, count):
            servers.crash(server)
            if random.random() < 0.5:
                await asyncio.sleep(random.uniform(0.0, 0.4))


@disturbance("release")
async def release(simulation: Simulation) -> None:
    """All servers are killed one after another, a sixth of them at once."""
    random, servers = simulation.random, simulation.servers
    while not simulation.is_quiet():
        await asyncio.sleep(random.uniform(5.0, 30.0))
        for index in range(6):
            for server in servers.servers[index::6]:
                servers.crash(server)
            await asyncio.sleep(random.uniform(3.0, 5.0))


@disturbance("domain_loss")
async def lose_domain(simulation: Simulation) -> None:
    """A failure domain loses its servers and nodes at once."""
    random, servers, fleet = simulation.random, simulation.servers, simulation.fleet
    while not simulation.is_quiet():
        await asyncio.sleep(random.uniform(8.0, 30.0))
        domain = random.choice(DOMAINS)
        is_host_lost = random.random() < 0.5
        lost = [n for n in fleet.node_ids if fleet.domain_of[n] == domain]
        for server in servers.servers:
            if server.domain == domain:
                servers.crash(server, is_host_lost=is_host_lost)
        for node_id in lost:
            fleet.kill(node_id)
        await asyncio.sleep(random.uniform(1.0, 8.0))
        for node_id in lost:
            if node_id not in fleet.nodes:
                fleet.start(node_id)


@disturbance("frozen_nodes")
async def freeze_nodes(simulation: Simulation) -> None:
    random, fleet = simulation.random, simulation.fleet
    while not simulation.is_quiet():
        await asyncio.sleep(random.uniform(2.0, 15.0))
        node_id = random.choice(fleet.node_ids)
        fleet.freeze(node_id)
        await asyncio.sleep(random.uniform(0.3, 8.0))
        fleet.thaw(node_id)


@disturbance("killed_nodes")
async def kill_nodes(simulation: Simulation) -> None:
    random, fleet = simulation.random, simulation.fleet
    while not simulation.is_quiet():
        await asyncio.sleep(random.uniform(2.0, 15.0))
        node_id = random.choice(fleet.node_ids)
        fleet.kill(node_id)
        await asyncio.sleep(random.uniform(0.5, 6.0))
        if node_id not in fleet.nodes:
            fleet.start(node_id)


@disturbance("lost_and_late_messages")
async def lose_messages(simulation: Simulation) -> None:
    random, network = simulation.random, simulation.fleet.network
    while not simulation.is_quiet():
        await asyncio.sleep(random.uniform(1.0, 10.0))
        network.loss = random.choice((0.0, 0.02, 0.2))
        network.late = random.choice((0.0, 0.05, 0.3))
        await asyncio.sleep(random.uniform(1.0, 10.0))
        network.loss = network.late = 0.0


@disturbance("partition")
async def cut_nodes_off(simulation: Simulation) -> None:
    """Nodes are cut off from the others, and some of them from the store."""
    random, fleet = simulation.random, simulation.fleet
    while not simulation.is_quiet():
        await asyncio.sleep(random.uniform(3.0, 20.0))
        count = random.randint(1, max(1, len(fleet.node_ids) // 2))
        side = set(random.sample(fleet.node_ids, count))
        fleet.cut_off(side, also_from_store=random.random() < 0.5)
        await asyncio.sleep(random.uniform(1.0, 15.0))
        fleet.heal()


@disturbance("store_away")
async def cut_store_off(simulation: Simulation) -> None:
    random, fleet = simulation.random, simulation.fleet
    while not simulation.is_quiet():
        await asyncio.sleep(random.uniform(3.0, 20.0))
        fleet.cut_store_off()
        await asyncio.sleep(random.uniform(1.0, 15.0))
        fleet.heal()


def run_seed(seed: int, size: Size, only: frozenset[str] | None = None) -> list[str]:
    """Return what broke the checks in the run of one seed."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_run_simulation(seed, size, only))
    finally:
        loop.close()


async def _run_simulation(seed: int, size: Size, only) -> list[str]:
    simulation = Simulation(seed, size, only)
    await simulation.run()
    failures = simulation.failures()
    for counter in (simulation.servers.counts, simulation.fleet.counts):
        STATISTICS.update(counter)
    STATISTICS["refused by chance"] += sum(
        refusal.is_by_chance for refusal in simulation.fleet.refusals
    )
    await _end_other_tasks()
    if failures:
        crashing = [spec.name for spec in simulation.crashing]
        failures.insert(0, f"with {simulation.kinds}, {crashing}")
    return failures


async def _end_other_tasks() -> None:
    while others := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, choices=SIZES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument(
        "--seconds", type=float, default=0.0, help="start no seed after this time"
    )
    parser.add_argument("--only", nargs="*", choices=DISTURBANCES)
    return parser.parse_args()


def main() -> None:
    options = _parse_options()
    only = None if options.only is None else frozenset(options.only)
    plan = CI_SEEDS if options.nodes is None else {options.nodes: options.seeds}
    failed, began_s = Counter(), time.monotonic()
    for nodes, seeds in plan.items():
        for seed in range(options.seed, options.seed + seeds):
            if options.seconds and time.monotonic() - began_s > options.seconds:
                break
            failures = run_seed(seed, SIZES[nodes], only)
            STATISTICS[f"seeds at {nodes} nodes"] += 1
            failed[nodes] += bool(failures)
            for failure in failures[:6]:
                print(f"nodes {nodes} seed {seed}: {failure}", flush=True)
    print(dict(STATISTICS))
    print(f"failed seeds: {dict(failed)}, {time.monotonic() - began_s:.1f} s")
    sys.exit(1 if failed.total() else 0)


if __name__ == "__main__":
    main()
