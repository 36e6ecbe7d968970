"""Runs the benchmark: one row per deployment, scenario and routing policy.

`python -m bench.measure --seed 1 --deployment all --scenario all` writes the rows to
`build/bench.json` and a plot of the domain scenario to `build/bench.png`. `--policy`
selects routing policies and `--without` disables mechanisms (both repeatable),
`--quick` shortens the runs, and `--parallel` limits how many run concurrently. The
records and logs of each run are kept below `build/bench/`.
"""

import argparse
import asyncio
import shutil
import sys
from pathlib import Path
from typing import Any

import msgspec

from bench.experiment import Spec
from bench.plot import plot_domain
from bench.processes import ManagedProcess
from bench.scenarios import SCENARIOS
from bench.switches import DISABLING_SETTINGS
from bench.table import (
    format_table,
    progress_line,
)
from egretshed.clock import SystemClock
from egretshed.routing.policies import POLICIES

BUILD = Path("build")
EXAMPLES = Path("examples")
DEFAULT_POLICY = "predictive"
# The scenarios in which the choice of the replica affects the result most.
POLICY_SCENARIOS = frozenset({"storm", "cold", "domain"})
RUN_LIMIT_S = 240.0
STOP_LIMIT_S = 20.0


def make_specs(options: argparse.Namespace) -> list[Spec]:
    """Return the selected runs.

    Unless policies are given, policies other than the default run only in
    `POLICY_SCENARIOS`.
    """
    return [
        Spec(
            str(deployment),
            scenario,
            policy,
            tuple(options.without),
            options.seed,
            options.nodes,
            options.quick,
        )
        for deployment in _deployments(options.deployment)
        for scenario in _all_or(options.scenario, SCENARIOS.names())
        for policy in _policies(options.policy, scenario)
    ]


def _deployments(name: str) -> list[Path]:
    names = _all_or(name, sorted(folder.name for folder in EXAMPLES.iterdir()))
    return [EXAMPLES / Path(each).name for each in names]


def _all_or(name: str, every: list[str]) -> list[str]:
    return every if name == "all" else [name]


def _policies(chosen: list[str], scenario: str) -> list[str]:
    if chosen:
        return chosen
    if scenario not in POLICY_SCENARIOS:
        return [DEFAULT_POLICY]
    return sorted(POLICIES.names(), key=lambda name: name != DEFAULT_POLICY)


async def run_all(specs: list[Spec], folder: Path, parallel: int) -> list[dict]:
    """Run all specs, at most `parallel` at a time; return a row for each."""
    slots = asyncio.Semaphore(parallel)
    ended = []

    async def run_one(spec: Spec) -> dict[str, Any]:
        async with slots:
            row = await run_process(spec, folder / spec.name)
        ended.append(row)
        print(progress_line(len(ended), len(specs), row), flush=True)
        return row

    return list(await asyncio.gather(*(run_one(spec) for spec in specs)))


async def run_process(spec: Spec, folder: Path) -> dict[str, Any]:
    """Run one spec in a subprocess and return its row.

    If the process writes no row, the row has only the spec and `failure`.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    text = msgspec.json.encode(spec._asdict()).decode()
    command = [sys.executable, "-m", "bench.experiment"]
    command += ["--spec", text, "--folder", str(folder)]
    process = ManagedProcess(SystemClock(), spec.name, command, folder / "run.log")
    status = await process.wait(RUN_LIMIT_S)
    if status is None:
        process.interrupt()
        status = await process.wait_or_kill(STOP_LIMIT_S)
    file = folder / "row.json"
    if status == 0 and file.exists():
        return msgspec.json.decode(file.read_bytes())
    failure = f"exited with {status}: {process.log_tail(1)}"
    deployment = Path(spec.deployment).name
    return {**spec._asdict(), "deployment": deployment, "failure": failure}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deployment", default="all")
    parser.add_argument("--scenario", default="all")
    parser.add_argument(
        "--policy", action="append", default=[], choices=POLICIES.names()
    )
    parser.add_argument(
        "--without", action="append", default=[], choices=DISABLING_SETTINGS
    )
    parser.add_argument("--nodes", type=int, default=7)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args()
    specs = make_specs(options)
    rows = asyncio.run(run_all(specs, BUILD / "bench", options.parallel))
    (BUILD / "bench.json").write_bytes(
        msgspec.json.format(msgspec.json.encode(rows), indent=1)
    )
    plot_domain(rows, BUILD / "bench.png")
    print(format_table(rows))
    sys.exit(1 if any(row.get("failure") for row in rows) else 0)


if __name__ == "__main__":
    main()
