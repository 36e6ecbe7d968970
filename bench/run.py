"""One run: a cluster under load whose records are checked at the end."""

import asyncio
import tempfile
from collections.abc import (
    AsyncIterator,
    Callable,
)
from contextlib import asynccontextmanager
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from bench.check import (
    Breach,
    Observed,
    find_breaches,
)
from bench.cluster import Cluster
from bench.driver import LoadDriver
from bench.operator_cli import OperatorCli
from bench.records import (
    RequestRecord,
    summarise,
)
from bench.schedule import (
    PlannedRequest,
    read_deployment,
)
from bench.watch import (
    Watcher,
    find_version_regressions,
)
from egretshed.settings.schema import SlotSettings

JOIN_LIMIT_S = 30.0
# New nodes lend no slots during the take-over wait; loans follow in the next renew
# period.
LENDING_DELAY_S = SlotSettings().take_over_wait_s + 2 * SlotSettings().renew_period_s
# Cancelled calls and the last cache events end shortly after the last answer.
RECORD_WAIT_S = 1.0
PLAN_LIMIT_S = 60.0
MAX_LINE_CHARACTERS = 90
CONFIRM_ATTEMPTS = 8
CONFIRM_RETRY_DELAY_S = 1.0
OUTCOME_ROW = "{:<18}{:>9}{:>10}{:>9}{:>8}{:>9}{:>11}{:>10}"


class Run(NamedTuple):
    """Shared state of one run; `started_s` is monotonic.

    `deaths` has the ids of nodes that were killed, `replaced` of those that were
    stopped as planned and started again.
    """

    cluster: Cluster
    driver: LoadDriver
    watcher: Watcher
    cli: OperatorCli
    started_s: float
    deaths: set[str]
    replaced: set[str]

    def log(self, text: str) -> None:
        """Print a line with the time since the start."""
        elapsed_s = self.cluster.clock.monotonic_s() - self.started_s
        print(f"{elapsed_s:6.1f} s  {text}", flush=True)

    def start_load(
        self, plan: list[PlannedRequest]
    ) -> asyncio.Task[list[RequestRecord]]:
        """Start to send the planned requests in the background."""
        return asyncio.create_task(self.driver.run(plan))


@asynccontextmanager
async def running_cluster(
    deployment: Path, nodes: int, seed: int
) -> AsyncIterator[Run]:
    """Start a cluster and wait until its nodes lend slots; stop it on exit.

    The folder with the logs and the records is kept.
    """
    folder = Path(tempfile.mkdtemp(prefix="egretshed-"))
    cluster = Cluster(deployment, nodes, folder, seed)
    keys = msgspec.json.decode((deployment / "sample_keys.json").read_bytes())
    key = next(iter(keys["operators"].values()))
    run = Run(
        cluster,
        LoadDriver(
            cluster.clock, read_deployment(deployment), cluster.entry_addresses()
        ),
        Watcher(cluster, key),
        OperatorCli(cluster.entry_addresses(), key),
        cluster.clock.monotonic_s(),
        set(),
        set(),
    )
    run.log(f"starting stand-ins and {nodes} nodes; logs are in {folder}")
    await cluster.start()
    watching = asyncio.create_task(run.watcher.run())
    try:
        await run.watcher.wait_until_joined(JOIN_LIMIT_S)
        run.log(
            f"{nodes} nodes are connected; slot loans start in {LENDING_DELAY_S:g} s"
        )
        await cluster.clock.sleep(LENDING_DELAY_S)
        yield run
    finally:
        watching.cancel()
        await cluster.stop(limit_s=0.0)


async def stop_and_check(
    run: Run, records: list[RequestRecord], exits: dict[str, int]
) -> list[Breach]:
    """Stop the nodes gracefully and return all breaches of guarantees.

    `exits` has the exit codes of earlier planned stops.
    """
    cluster = run.cluster
    await cluster.clock.sleep(RECORD_WAIT_S)
    servers = await cluster.backend_records()
    metrics = await cluster.metrics()
    run.log("stopping all nodes gracefully")
    exits = {**exits, **await cluster.stop()}
    observed = Observed(
        callers=[record.to_body() for record in records],
        servers=servers,
        metrics=metrics,
        exits=exits,
        non_repeatable_kinds=non_repeatable_kinds(cluster.objects),
        process_deaths=bool(run.deaths),
        metrics_incomplete=bool(run.replaced),
    )
    write_observed(cluster.folder / "observed.json", observed)
    return find_breaches(observed) + find_version_regressions(
        run.watcher.status_samples
    )


def non_repeatable_kinds(objects: dict[str, Any]) -> frozenset[str]:
    return frozenset(
        object_id.removeprefix("kinds/")
        for object_id, body in objects.items()
        if object_id.startswith("kinds/") and not body.get("repeatable", True)
    )


def write_observed(file: Path, observed: Observed) -> None:
    """Write the records to `file` for inspection after the run."""
    kinds = sorted(observed.non_repeatable_kinds)
    body = {**observed._asdict(), "non_repeatable_kinds": kinds}
    file.write_bytes(msgspec.json.encode(body))


def print_outcomes(records: list[RequestRecord]) -> None:
    """Print a table with a row for each kind of request."""
    summary = summarise(records)
    headings = ("kind", "offered", "complete", "not_run", "failed", "unknown")
    print(OUTCOME_ROW.format(*headings, "no answer", "attained"))
    for kind, figures in {**summary["kinds"], "all": summary["all"]}.items():
        outcomes = figures["outcomes"]
        counts = [
            outcomes.get(name, 0)
            for name in ("complete", "not_run", "failed", "unknown", "no_answer")
        ]
        attained = f"{figures['attainment']:.2%}"
        print(OUTCOME_ROW.format(kind, figures["offered"], *counts, attained))


def print_breaches(breaches: list[Breach], out: Callable[[str], None] = print) -> None:
    for breach in breaches:
        out(f"BROKEN {breach.promise}: {breach.detail}")
    if not breaches:
        out("guarantees P1 to P9: no breach in the records")


class PlanCommandFailed(Exception):
    """A plan was refused or did not complete; the text has the response."""


async def change_domain(run: Run, name: str, out: bool) -> float:
    """Take a failure domain out of service, or back in, with a confirmed plan.

    Returns the monotonic time at which the change was first active at a node. Backend
    servers measure the delay of later call starts from then on.
    """
    verb = "out" if out else "in"
    if not out:
        await run.cluster.set_backends_out(name, False)
    plan = await propose_and_confirm(run, "domain", verb, name)
    active_s = await run.watcher.wait_for_domain(name, out, PLAN_LIMIT_S)
    if out:
        await run.cluster.set_backends_out(name, True)
    run.log(f"configuration active: {name} is {verb}")
    status = await run.cli.follow(
        lambda line: run.log(f"  plan {line[:MAX_LINE_CHARACTERS]}"),
        PLAN_LIMIT_S,
        "plan",
        "watch",
        plan,
    )
    if status != 0:
        raise PlanCommandFailed(f"`egretshed plan watch {plan}` exited with {status}")
    return active_s


async def propose_and_confirm(run: Run, *intent: str) -> str:
    """Propose and confirm a plan; return its id.

    A plan that is refused as `low_capacity` is proposed again, since its capacity is
    also checked against the load at the time of the proposal.
    """
    for _ in range(CONFIRM_ATTEMPTS):
        plan = await _propose(run, intent)
        run.log(f"egretshed plan confirm {plan['plan_id']} {plan['digest']}")
        confirmed = await run.cli.run(
            "plan", "confirm", plan["plan_id"], plan["digest"]
        )
        if confirmed.status == 0:
            return plan["plan_id"]
        run.log(f"  refused: {confirmed.body}")
        if confirmed.body.get("reason") != "low_capacity":
            break
        await run.cluster.clock.sleep(CONFIRM_RETRY_DELAY_S)
    raise PlanCommandFailed(str(confirmed.body))


async def _propose(run: Run, intent: tuple[str, ...]) -> dict[str, Any]:
    run.log(f"egretshed {' '.join(intent)}")
    proposed = await run.cli.run(*intent)
    if proposed.status != 0:
        raise PlanCommandFailed(str(proposed.body))
    for step in proposed.body["steps"]:
        run.log(
            f"  step {step['step_id']}: {step['description'][:MAX_LINE_CHARACTERS]}"
        )
    return proposed.body
