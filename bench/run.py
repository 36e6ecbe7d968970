"""One run: a cluster under load, watched, and checked at its end."""

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
# New nodes lend nothing for the take-over wait, and borrow in the next renew period.
LENDING_S = SlotSettings().take_over_wait_s + 2 * SlotSettings().renew_period_s
# Cancelled calls and last cache events end shortly after the answers.
REST_S = 1.0
PLAN_LIMIT_S = 60.0
LINE_CHARACTERS = 90
CONFIRM_TRIES = 8
CONFIRM_WAIT_S = 1.0
TABLE = "{:<18}{:>9}{:>10}{:>9}{:>8}{:>9}{:>11}{:>10}"


class Run(NamedTuple):
    """What the parts of one run share; `started_s` is monotonic.

    `deaths` are nodes that were killed, `replaced` those that a planned stop ended.
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

    def load(self, plan: list[PlannedRequest]) -> asyncio.Task[list[RequestRecord]]:
        """Begin to send the planned requests."""
        return asyncio.create_task(self.driver.run(plan))


@asynccontextmanager
async def running_cluster(
    deployment: Path, nodes: int, seed: int
) -> AsyncIterator[Run]:
    """Start a cluster that lends slots; end all its processes afterwards.

    The folder with the logs and the records stays.
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
    run.log(f"starting stand-ins and {nodes} nodes, logs in {folder}")
    await cluster.start()
    watching = asyncio.create_task(run.watcher.run())
    try:
        await run.watcher.wait_until_joined(JOIN_LIMIT_S)
        run.log(f"{nodes} nodes reach one another; they lend in {LENDING_S:g} s")
        await cluster.clock.sleep(LENDING_S)
        yield run
    finally:
        watching.cancel()
        await cluster.stop(limit_s=0.0)


async def stop_and_check(
    run: Run, records: list[RequestRecord], exits: dict[str, int]
) -> list[Breach]:
    """Stop the nodes gracefully and return every broken promise.

    `exits` are those of earlier planned stops.
    """
    cluster = run.cluster
    await cluster.clock.sleep(REST_S)
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
    """Write the records beside the logs, for a look after the run."""
    kinds = sorted(observed.non_repeatable_kinds)
    body = {**observed._asdict(), "non_repeatable_kinds": kinds}
    file.write_bytes(msgspec.json.encode(body))


def print_outcomes(records: list[RequestRecord]) -> None:
    """Print a table with a row for each kind of request."""
    summary = summarise(records)
    heads = ("kind", "offered", "complete", "not_run", "failed", "unknown")
    print(TABLE.format(*heads, "no answer", "attained"))
    for kind, figures in {**summary["kinds"], "all": summary["all"]}.items():
        outcomes = figures["outcomes"]
        counts = [
            outcomes.get(name, 0)
            for name in ("complete", "not_run", "failed", "unknown", "no_answer")
        ]
        attained = f"{figures['attainment']:.2%}"
        print(TABLE.format(kind, figures["offered"], *counts, attained))


def print_breaches(breaches: list[Breach], out: Callable[[str], None] = print) -> None:
    for breach in breaches:
        out(f"BROKEN {breach.promise}: {breach.detail}")
    if not breaches:
        out("promises P1 to P9: no breach in the records")


class PlanCommandFailed(Exception):
    """A plan was refused or did not end as done; the text has the answer."""


async def change_domain(run: Run, name: str, out: bool) -> float:
    """Take a failure domain out, or in, by a confirmed plan.

    Returns the monotonic time at which the first node had the order in force. The
    servers' records count calls from then on as late.
    """
    verb = "out" if out else "in"
    if not out:
        await run.cluster.set_backends_out(name, False)
    plan = await propose_and_confirm(run, "domain", verb, name)
    in_force_s = await run.watcher.wait_for_domain(name, out, PLAN_LIMIT_S)
    if out:
        await run.cluster.set_backends_out(name, True)
    run.log(f"order in force: {name} is {verb}")
    status = await run.cli.follow(
        lambda line: run.log(f"  plan {line[:LINE_CHARACTERS]}"),
        PLAN_LIMIT_S,
        "plan",
        "watch",
        plan,
    )
    if status != 0:
        raise PlanCommandFailed(f"plan {plan} ended with status {status}")
    return in_force_s


async def propose_and_confirm(run: Run, *intent: str) -> str:
    """Return the id of the confirmed plan.

    A plan refused for its capacity is proposed again, since a plan is held to the load
    that it was proposed under.
    """
    for _ in range(CONFIRM_TRIES):
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
        await run.cluster.clock.sleep(CONFIRM_WAIT_S)
    raise PlanCommandFailed(str(confirmed.body))


async def _propose(run: Run, intent: tuple[str, ...]) -> dict[str, Any]:
    run.log(f"egretshed {' '.join(intent)}")
    proposed = await run.cli.run(*intent)
    if proposed.status != 0:
        raise PlanCommandFailed(str(proposed.body))
    for step in proposed.body["steps"]:
        run.log(f"  step {step['step_id']}: {step['description'][:LINE_CHARACTERS]}")
    return proposed.body
