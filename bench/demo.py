"""Demonstrates one deployment under load, in less than a minute.

`python -m bench.demo` starts stand-ins for the platform and the backend servers, and
seven entry nodes. It sends a steady load with a burst of rota requests, takes a failure
domain out of service and back in under this load, prints the outcomes and checks every
promise. The exit status is 0 only if no promise was broken.
"""

import argparse
import asyncio
import sys
from pathlib import Path

from bench.records import RequestRecord
from bench.run import (
    Run,
    change_domain,
    print_breaches,
    print_outcomes,
    running_cluster,
    stop_and_check,
)
from bench.schedule import (
    Burst,
    Load,
    PlannedRequest,
    plan_requests,
    read_deployment,
)

NODES = 7
LOAD_S = 24.0
RATE_PER_S = 8.0
BURST_KIND = "rota_rebuild"
BURST_AT_S = 1.0
BURST_REQUESTS = 24
REPORT_PERIOD_S = 3.0


def plan_load(deployment: Path, seed: int) -> list[PlannedRequest]:
    """Return a steady mix of all kinds of request and a burst of rota requests."""
    callers = read_deployment(deployment)
    steady = plan_requests(callers, Load(RATE_PER_S, LOAD_S, seed=seed, run="steady"))
    burst_kind = callers._replace(kinds={BURST_KIND: callers.kinds[BURST_KIND]})
    bursts = (Burst(BURST_AT_S, BURST_REQUESTS),)
    burst = plan_requests(burst_kind, Load(0.0, LOAD_S, bursts, seed, "storm"))
    return sorted([*steady, *burst], key=lambda planned: planned.at_s)


async def report_nodes(run: Run) -> None:
    """Print the state of the nodes periodically, until cancelled."""
    while True:
        await run.cluster.clock.sleep(REPORT_PERIOD_S)
        status_samples = run.watcher.latest.values()
        versions = sorted({sample.version for sample in status_samples})
        reachable = min(sample.reachable for sample in status_samples)
        run.log(
            f"nodes: configuration versions {versions}, at least {reachable} reachable"
        )


async def run_load(run: Run, deployment: Path, seed: int) -> list[RequestRecord]:
    """Send the load while a failure domain is taken out and back in.

    Returns the callers' records of all requests.
    """
    domain = run.cluster.domains[0]
    plan = plan_load(deployment, seed)
    run.log(f"load: {RATE_PER_S:g} requests/s of all kinds for {LOAD_S:g} s")
    run.log(f"burst: {BURST_REQUESTS} {BURST_KIND} requests within one second")
    load = run.start_load(plan)
    reporting = asyncio.create_task(report_nodes(run))
    try:
        await run.cluster.clock.sleep(BURST_AT_S + 2.0)
        await change_domain(run, domain, out=True)
        await run.cluster.clock.sleep(3.0)
        await change_domain(run, domain, out=False)
        run.log("waiting for the remaining answers")
        return await load
    finally:
        reporting.cancel()


async def demo(deployment: Path, seed: int) -> int:
    async with running_cluster(deployment, NODES, seed) as run:
        records = await run_load(run, deployment, seed)
        breaches = await stop_and_check(run, records, {})
        print_outcomes(records)
        print_breaches(breaches)
        return 1 if breaches else 0


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, default=Path("examples/laurentien"))
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(asyncio.run(demo(options.deployment, options.seed)))


if __name__ == "__main__":
    main()
