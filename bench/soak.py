"""Soak test of a whole deployment under load and random failures.

`python -m bench.soak --seconds 120 --seed 1` prints each disturbance, the outcomes of
the requests and each broken promise with the ids concerned. The exit status is 0 only
if no promise was broken. The seed determines the load and the disturbances, but not the
scheduling of the processes.
"""

import argparse
import asyncio
import random
import sys
from pathlib import Path

import msgspec

from bench.check import Breach
from bench.disturbances import (
    Soak,
    choose_disturbance,
    run_disturbance,
)
from bench.operator_cli import OperatorCli
from bench.records import RequestRecord
from bench.run import (
    Run,
    print_breaches,
    print_outcomes,
    running_cluster,
    stop_and_check,
)
from bench.schedule import (
    Burst,
    Load,
    plan_requests,
    read_deployment,
)
from bench.traces import (
    logged_faults,
    refusals_without_retry_after,
    requests_without_answer,
    unexplained_connection_losses,
)

NODES = 7
RATE_PER_S = 8.0
BURST_PERIOD_S = 20.0
BURST_REQUESTS = 20
MIN_GAP_S = 0.5
MAX_GAP_S = 3.0
MAX_CONCURRENT_DISTURBANCES = 5
# No disturbance starts in this time before the end, so that every disturbance is undone
# and every node has rejoined when the checks start.
QUIET_S = 10.0
OPERATOR_COUNT = 2


def plan_load(deployment: Path, seconds: float, seed: int):
    """Return a steady load of all kinds of request with periodic bursts."""
    bursts = []
    at_s = BURST_PERIOD_S / 2
    while at_s < seconds:
        bursts.append(Burst(at_s, BURST_REQUESTS))
        at_s += BURST_PERIOD_S
    load = Load(RATE_PER_S, seconds, tuple(bursts), seed, "soak")
    return plan_requests(read_deployment(deployment), load)


def operators(run: Run, deployment: Path) -> list[OperatorCli]:
    """Return CLI clients for the first operators with the right to confirm plans."""
    keys = msgspec.json.decode((deployment / "sample_keys.json").read_bytes())
    names = [
        name
        for name in keys["operators"]
        if "confirm" in run.cluster.objects[f"operators/{name}"]["rights"]
    ]
    entries = run.cluster.entry_addresses()
    return [
        OperatorCli(entries, keys["operators"][name]) for name in names[:OPERATOR_COUNT]
    ]


async def disturb(soak: Soak, seconds: float) -> None:
    """Start disturbances at random times, and return when all are undone.

    A drawn disturbance is skipped while MAX_CONCURRENT_DISTURBANCES are running.
    """
    clock = soak.run.cluster.clock
    end_s = clock.monotonic_s() + seconds
    tasks: set[asyncio.Task] = set()
    while clock.monotonic_s() < end_s:
        name = choose_disturbance(soak.random)
        if len(tasks) < MAX_CONCURRENT_DISTURBANCES:
            task = asyncio.create_task(run_disturbance(soak, name))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await soak.sleep_between(MIN_GAP_S, MAX_GAP_S)
    await asyncio.gather(*tasks)


async def soak_test(deployment: Path, seconds: float, seed: int) -> int:
    print(f"seed {seed}")
    async with running_cluster(deployment, NODES, seed) as run:
        soak = Soak(run, operators(run, deployment), random.Random(seed))
        load = run.start_load(plan_load(deployment, seconds, seed))
        await disturb(soak, seconds - QUIET_S)
        run.log("all disturbances are over")
        records = await load
        await run.cluster.clock.sleep(QUIET_S / 2)
        breaches = version_breaches(run)
        breaches += await stop_and_check(run, records, soak.exits)
        breaches += log_and_trace_breaches(soak, records)
        print_outcomes(records)
        print_breaches(breaches)
        print(f"seed {seed}: {len(breaches)} breaches")
        return 1 if breaches else 0


def version_breaches(run: Run) -> list[Breach]:
    """Return a breach if the nodes do not all have the same configuration version."""
    versions = {node: sample.version for node, sample in run.watcher.latest.items()}
    if len(set(versions.values())) == 1:
        return []
    return [Breach("P9", f"configuration versions differ at the end: {versions}")]


def log_and_trace_breaches(soak: Soak, records: list[RequestRecord]) -> list[Breach]:
    """Return breaches found in node logs, callers' records and the disturbances."""
    callers = [record.to_body() for record in records]
    return [
        *logged_faults(soak.run.cluster.folder),
        *unexplained_connection_losses(callers, soak.history),
        *requests_without_answer(callers),
        *refusals_without_retry_after(callers),
        *(Breach("run", text) for text in soak.breaches),
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, default=Path("examples/laurentien"))
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(asyncio.run(soak_test(options.deployment, options.seconds, options.seed)))


if __name__ == "__main__":
    main()
