"""Replaces every node in turn under load, as a rolling upgrade does.

A node is replaced by a graceful stop and a new start. `python -m bench.rolling` prints
the figures before, during and after the replacement. The exit status is 0 only if every
planned stop ended with exit status 0, no connection was lost, no request was left
without an answer, and no promise was broken.
"""

import argparse
import asyncio
import sys
from pathlib import Path

from bench.check import Breach
from bench.cluster import EntryVm
from bench.records import RequestRecord
from bench.run import (
    Run,
    print_breaches,
    print_outcomes,
    running_cluster,
    stop_and_check,
)
from bench.schedule import (
    Load,
    plan_requests,
    read_deployment,
)
from bench.traces import (
    logged_faults,
    unexplained_connection_losses,
)
from bench.windows import (
    Window,
    lost_connections,
    print_windows,
)

NODES = 7
RATE_PER_S = 8.0
# Longer than all replacements take; sending stops when the last one is done.
MAX_LOAD_S = 300.0
BEFORE_S = 20.0
AFTER_S = 10.0
JOIN_LIMIT_S = 30.0


async def replace(run: Run, vm: EntryVm, between_s: float) -> int:
    """Stop one node gracefully and start it again; return its exit status.

    Returns `between_s` after the node is ready again.
    """
    cluster = run.cluster
    started_s = cluster.clock.monotonic_s()
    cluster.leaving.add(vm.node_id)
    await cluster.publish_vms()
    run.replaced.add(vm.node_id)
    status = await cluster.stop_node(vm)
    stopped_s = cluster.clock.monotonic_s()
    cluster.leaving.discard(vm.node_id)
    await cluster.publish_vms()
    cluster.start_node(vm)
    await cluster.wait_until_ready(vm)
    ready_s = cluster.clock.monotonic_s()
    run.log(
        f"{vm.node_id} stopped with {status} after {stopped_s - started_s:.1f} s, "
        f"ready again after {ready_s - stopped_s:.1f} s"
    )
    await cluster.clock.sleep(between_s)
    return status


async def replace_all(
    run: Run, between_s: float
) -> tuple[dict[str, int], list[Window]]:
    """Replace all nodes in turn; return their exit statuses and the run's windows."""
    clock = run.cluster.clock
    start_s = clock.monotonic_s()
    await clock.sleep(BEFORE_S)
    replacement_start_s = clock.monotonic_s()
    exits = {
        f"{vm.node_id} replaced": await replace(run, vm, between_s)
        for vm in run.cluster.vms
    }
    replacement_end_s = clock.monotonic_s()
    await clock.sleep(AFTER_S)
    windows = [
        Window("before", start_s, replacement_start_s),
        Window("replacement", replacement_start_s, replacement_end_s),
        Window("after", replacement_end_s, clock.monotonic_s()),
    ]
    return exits, windows


async def rolling(deployment: Path, seed: int, between_s: float, rate: float) -> int:
    async with running_cluster(deployment, NODES, seed) as run:
        load = Load(rate, MAX_LOAD_S, seed=seed, run="rolling")
        plan = plan_requests(read_deployment(deployment), load)
        sending = run.start_load(plan)
        exits, windows = await replace_all(run, between_s)
        run.driver.stop()
        records = await sending
        breaches = await stop_and_check(run, records, exits)
        breaches += logged_faults(run.cluster.folder)
        breaches += unexplained_connection_losses([r.to_body() for r in records], [])
        report(windows, records, breaches)
        return 1 if breaches else 0


def report(
    windows: list[Window], records: list[RequestRecord], breaches: list[Breach]
) -> None:
    print_outcomes(records)
    print_windows(windows, records)
    unanswered = sum(record.outcome == "no_answer" for record in records)
    lost_or_duplicated = sum(breach.promise in ("P1", "P6") for breach in breaches)
    print(f"connections cut off: {lost_connections(records)}")
    print(f"requests lost: {unanswered}")
    print(f"results lost or duplicated: {lost_or_duplicated}")
    print_breaches(breaches)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, default=Path("examples/laurentien"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--rate", type=float, default=RATE_PER_S, help="requests per second"
    )
    parser.add_argument(
        "--between", type=float, default=0.0, help="seconds between two replacements"
    )
    options = parser.parse_args()
    arguments = (options.deployment, options.seed, options.between, options.rate)
    sys.exit(asyncio.run(rolling(*arguments)))


if __name__ == "__main__":
    main()
