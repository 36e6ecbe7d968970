"""Runs one experiment of the benchmark; separate processes let runs be parallel.

`python -m bench.experiment --spec '{"deployment": "examples/laurentien", "scenario":
"steady"}' --folder build/bench/one` writes `row.json`, `records.json` and the logs of
all processes into the folder.
"""

import argparse
import asyncio
import os
import shutil
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from bench.capacity import Capacity
from bench.check import (
    Observed,
    find_breaches,
)
from bench.cluster import Cluster
from bench.driver import LoadDriver
from bench.http_stream import ConnectionLost
from bench.node_cost import (
    cost_between,
    cpu_s,
    take_sample,
)
from bench.operator_client import (
    OperatorClient,
    PlanFailed,
)
from bench.processes import ProcessNotReady
from bench.rows import (
    RunMeasurements,
    make_row,
)
from bench.scenarios import (
    SCENARIOS,
    Scenario,
    ScenarioRun,
    pools,
)
from bench.schedule import (
    plan_requests,
    read_deployment,
)
from bench.switches import (
    apply_sections,
    settings_sections,
)

# Owners lend slots after a take-over wait of 6 s; the rest is for membership and load
# reports.
SETTLE_S = 7.5
# With clock ticks of 10 ms the CPU share is accurate to 0.33 % over this time.
IDLE_WINDOW_S = 3.0
# Backend servers see the cancellation of calls at the end of a run within this time.
RECORD_WAIT_S = 1.0


class Spec(NamedTuple):
    """Parameters of a run; `without` has keys of `switches.DISABLING_SETTINGS`."""

    deployment: str
    scenario: str
    policy: str = "predictive"
    without: tuple[str, ...] = ()
    seed: int = 1
    nodes: int = 7
    quick: bool = False

    @property
    def name(self) -> str:
        parts = (Path(self.deployment).name, self.scenario, self.policy, *self.without)
        return "-".join((*parts, str(self.seed)))


def prepare_deployment(spec: Spec, scenario: Scenario, folder: Path) -> Path:
    """Copy the deployment into `folder` and apply the settings of the run."""
    copy = folder / "deployment"
    shutil.copytree(spec.deployment, copy, dirs_exist_ok=True)
    sections = settings_sections(spec.policy, list(spec.without))
    settings = apply_sections(_read(copy / "settings.json"), sections)
    _write(copy / "settings.json", settings)
    if not scenario.starts_warm:
        standins = _read(copy / "standins.json")
        for pool in _read(copy / "pools.json"):
            standins.setdefault(pool, {})["starts_warm"] = False
        _write(copy / "standins.json", standins)
    return copy


async def run_spec(spec: Spec, folder: Path) -> dict[str, Any]:
    """Run an experiment and return its row; all processes are stopped."""
    scenario = SCENARIOS.get(spec.scenario)(spec.quick)
    deployment = prepare_deployment(spec, scenario, folder)
    callers = read_deployment(deployment)
    capacity = Capacity(deployment, callers)
    load = scenario.load(capacity, spec.seed)._replace(run=spec.scenario)
    plan = plan_requests(callers, load)
    cluster = Cluster(deployment, spec.nodes, folder, spec.seed)
    await cluster.start()
    try:
        measured = await _measure(cluster, scenario, plan, callers)
    finally:
        exits = await cluster.stop()
    observed = measured.observed._replace(exits=exits)
    breaches = find_breaches(observed)
    _write(
        folder / "records.json",
        {
            "requests": observed.callers,
            "servers": observed.servers,
            "breaches": [breach._asdict() for breach in breaches],
        },
    )
    row = make_row(
        measured, capacity.max_requests_in_time(plan), breaches, cost_rates(cluster)
    )
    row["engine_slowdown"] = round(capacity.engine_slowdown(observed.servers), 3)
    return {**spec._asdict(), "deployment": Path(spec.deployment).name, **row}


def cost_rates(cluster: Cluster) -> dict[str, float]:
    return {name: pool.get("cost_per_busy_s", 0.0) for name, pool in pools(cluster)}


async def _measure(cluster: Cluster, scenario, plan, callers) -> RunMeasurements:
    clock = cluster.clock
    bootstrap_addresses = cluster.entry_addresses()
    driver = LoadDriver(clock, callers, bootstrap_addresses)
    await clock.sleep(SETTLE_S)
    idle_before = await take_sample(clock, cluster)
    await clock.sleep(IDLE_WINDOW_S)
    idle_after = await take_sample(clock, cluster)
    harness_before = _harness_cpu_s(cluster)
    run = ScenarioRun(cluster, bootstrap_addresses, OperatorClient(cluster))
    disturbing = asyncio.create_task(_disturb(scenario, cluster, run))
    records = await driver.run(plan)
    failure = await disturbing
    await clock.sleep(RECORD_WAIT_S)
    loaded_after = await take_sample(clock, cluster)
    seconds = loaded_after.at_s - idle_after.at_s
    return RunMeasurements(
        observed=Observed(
            callers=[record.to_body() for record in records],
            servers=await cluster.backend_records(),
            metrics=await cluster.metrics(),
            exits={},
            non_repeatable_kinds=_non_repeatable(cluster),
            process_deaths=scenario.process_deaths,
        ),
        records=records,
        start_s=run.start_s,
        events=run.events,
        failure=failure,
        idle=cost_between(idle_before, idle_after),
        loaded=cost_between(idle_after, loaded_after),
        harness_cpu_share={
            name: round((value - harness_before[name]) / seconds, 3)
            for name, value in _harness_cpu_s(cluster).items()
        },
    )


async def _disturb(scenario: Scenario, cluster: Cluster, run: ScenarioRun) -> str:
    """Run the scenario's events.

    Returns the error that kept an event from being carried out, or an empty string.
    """
    try:
        await scenario.disturb(cluster, run)
    except (PlanFailed, ProcessNotReady, ConnectionLost) as error:
        run.record_event(f"failed: {error}")
        return str(error)
    return ""


def _non_repeatable(cluster: Cluster) -> frozenset[str]:
    return frozenset(
        object_id.removeprefix("kinds/")
        for object_id, body in cluster.objects.items()
        if object_id.startswith("kinds/") and not body.get("repeatable", True)
    )


def _harness_cpu_s(cluster: Cluster) -> dict[str, float]:
    """Return the CPU seconds of this process and of the stand-ins."""
    standins = cluster.standins.process.pid
    return {"driver": cpu_s(os.getpid()), "standins": cpu_s(standins)}


def _read(file: Path) -> Any:
    return msgspec.json.decode(file.read_bytes())


def _write(file: Path, body: Any) -> None:
    file.write_bytes(msgspec.json.encode(body))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--spec", type=str, required=True, help="a Spec as JSON")
    parser.add_argument("--folder", type=Path, required=True)
    options = parser.parse_args()
    spec = Spec(**msgspec.json.decode(options.spec))
    options.folder.mkdir(parents=True, exist_ok=True)
    row = asyncio.run(run_spec(spec, options.folder))
    _write(options.folder / "row.json", row)


if __name__ == "__main__":
    main()
