"""Shows one deployment at work, in less than a minute.

`python -m bench.demo` starts stand-ins and seven entry nodes, sends a storm of rota
requests, takes a failure domain out and back under load, prints the outcomes and checks
every promise. The exit status is 0 only if all were kept.
"""

import argparse
import asyncio
import sys
from pathlib import Path

from bench.records import RequestRecord
from bench.run import (
    Run,
    change_domain,
    check,
    print_breaches,
    print_outcomes,
    running,
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
RATE = 8.0
STORM_KIND = "rota_rebuild"
STORM_AT_S = 1.0
STORM_REQUESTS = 24
REPORT_PERIOD_S = 3.0


def plan_load(deployment: Path, seed: int) -> list[PlannedRequest]:
    """Return a steady mix of all kinds and a storm of rota requests."""
    known = read_deployment(deployment)
    steady = plan_requests(known, Load(RATE, LOAD_S, seed=seed, run="steady"))
    rotas = known._replace(kinds={STORM_KIND: known.kinds[STORM_KIND]})
    bursts = (Burst(STORM_AT_S, STORM_REQUESTS),)
    storm = plan_requests(rotas, Load(0.0, LOAD_S, bursts, seed, "storm"))
    return sorted([*steady, *storm], key=lambda planned: planned.at_s)


async def report(run: Run) -> None:
    """Print now and then what the nodes say, until cancelled."""
    while True:
        await run.cluster.clock.sleep(REPORT_PERIOD_S)
        sights = run.watcher.latest.values()
        versions = sorted({sight.version for sight in sights})
        reachable = min(sight.reachable for sight in sights)
        run.say(
            f"nodes: configuration versions {versions}, at least {reachable} reachable"
        )


async def show(run: Run, deployment: Path, seed: int) -> list[RequestRecord]:
    """Return the callers' records of the whole load."""
    domain = run.cluster.domains[0]
    plan = plan_load(deployment, seed)
    run.say(f"load: {RATE:g} requests/s of all kinds for {LOAD_S:g} s")
    run.say(f"storm: {STORM_REQUESTS} requests {STORM_KIND} within a second")
    load = run.load(plan)
    reports = asyncio.create_task(report(run))
    try:
        await run.cluster.clock.sleep(STORM_AT_S + 2.0)
        await change_domain(run, domain, out=True)
        await run.cluster.clock.sleep(3.0)
        await change_domain(run, domain, out=False)
        run.say("waiting for the last answers")
        return await load
    finally:
        reports.cancel()


async def demo(deployment: Path, seed: int) -> int:
    async with running(deployment, NODES, seed) as run:
        records = await show(run, deployment, seed)
        breaches = await check(run, records, {})
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
