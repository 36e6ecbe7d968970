"""Runs a deployment under load, with disturbances at set times, and prints a summary.

Example::

    python -m bench.flow --deployment examples/laurentien --rate 30 --seconds 15 \\
        --burst 5:150 --seed 1 --folder FOLDER --event 5:slow:rota-llm-1:40

Events are `at_s:slow:replica:factor`, `at_s:cold:replica`, `at_s:leave:node` and
`at_s:kill:node`, where `at_s` counts from the start of the load. Load starts `--settle`
seconds after the nodes are ready. The full result is written to `result.json` in the
folder.
"""

import argparse
import asyncio
from collections import Counter
from pathlib import Path

import msgspec

from bench.check import (
    Observed,
    find_breaches,
)
from bench.cluster import Cluster
from bench.driver import (
    LoadDriver,
    parse_burst,
)
from bench.records import summarise
from bench.schedule import (
    Load,
    plan_requests,
    read_deployment,
)


async def apply_event(cluster: Cluster, event: str, exits: dict[str, int]) -> None:
    """Wait until an event is due and apply it.

    The exit code of a node that leaves is added to `exits`.
    """
    at_s, action, name, *rest = event.split(":")
    await cluster.clock.sleep(float(at_s))
    if action == "slow":
        await cluster.set_fault(name, {"slow_factor": float(rest[0])})
    elif action == "cold":
        await cluster.set_fault(name, {"cold": True})
    else:
        vm = next(vm for vm in cluster.vms if vm.node_id == name)
        if action == "leave":
            cluster.leaving.add(name)
            await cluster.publish_vms()
            exits[name] = await cluster.stop_node(vm)
        else:
            await cluster.kill_node(vm)


def over_limit_starts(servers: list[dict]) -> dict[str, list]:
    """Return the call starts above the cold limit, by server and cold period.

    Each start is a pair of its time in seconds and the number of calls in flight.
    """
    return {
        f"{server['replica_id']}/{index}": period["over_limit_starts"]
        for server in servers
        for index, period in enumerate(server["cold_periods"])
    }


async def measure(options: argparse.Namespace) -> dict:
    cluster = Cluster(options.deployment, options.nodes, options.folder, options.seed)
    deployment = read_deployment(options.deployment)
    bursts = tuple(options.burst)
    load = Load(options.rate, options.seconds, bursts, options.seed, "flow")
    exits: dict[str, int] = {}
    await cluster.start()
    try:
        await cluster.clock.sleep(options.settle)
        driver = LoadDriver(cluster.clock, deployment, cluster.entry_addresses())
        event_tasks = [
            asyncio.create_task(apply_event(cluster, event, exits))
            for event in options.event
        ]
        records = await driver.run(plan_requests(deployment, load))
        await asyncio.gather(*event_tasks)
        servers = await cluster.backend_records()
        metrics = await cluster.metrics()
    finally:
        exits.update(await cluster.stop())
    # The metrics of a node that has ended are lost.
    nodes_ended = any(
        f":{name}:" in e for e in options.event for name in ("kill", "leave")
    )
    bodies = [record.to_body() for record in records]
    non_repeatable_kinds = frozenset({"shift_assignment"})
    observed = Observed(
        bodies, servers, metrics, exits, non_repeatable_kinds, nodes_ended
    )
    breaches = find_breaches(observed)
    summary = summarise(records)
    answers = [answer for record in records for answer in record.answers]
    return {
        "summary": summary,
        "reasons": Counter(f"{a.outcome}/{a.reason}" for a in answers),
        "not_run_after_s": sorted(
            round(a.received_s - a.sent_s, 2) for a in answers if a.outcome == "not_run"
        )[-5:],
        "over_limit_starts": over_limit_starts(servers),
        "breaches": Counter(breach.promise for breach in breaches),
        "breach_details": [breach.detail for breach in breaches][:10],
        "requests": bodies,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, required=True)
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--settle", type=float, default=14.0)
    parser.add_argument("--burst", type=parse_burst, action="append", default=[])
    parser.add_argument("--event", action="append", default=[])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    result = asyncio.run(measure(options))
    file = options.folder / "result.json"
    file.write_bytes(msgspec.json.encode(result))
    print_result(result)


def print_result(result: dict) -> None:
    summary = result["summary"]
    for name, figures in {"all": summary["all"], **summary["kinds"]}.items():
        first = figures["first_token"]
        print(
            f"{name}: offered {figures['offered']}, attainment "
            f"{figures['attainment']:.3f}, first token p50 {first.get('p50_s')} "
            f"p95 {first.get('p95_s')}, resets {figures['resets']}"
        )
    for name, value in result.items():
        if name not in ("summary", "requests"):
            print(f"{name}: {msgspec.json.encode(value).decode()}")


if __name__ == "__main__":
    main()
