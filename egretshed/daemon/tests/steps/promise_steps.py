import asyncio
import shutil
import tempfile
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

from behave import (
    given,
    then,
    when,
)

from bench.check import (
    Breach,
    Observed,
    broken_promises,
)
from bench.cluster import Cluster
from bench.driver import LoadDriver
from bench.operators import (
    Operator,
    PlanFailed,
)
from bench.schedule import (
    Load,
    plan_requests,
    read_deployment,
)
from bench.watch import (
    Watcher,
    lower_versions,
)
from egretshed.clock import SystemClock

ROOT = Path(__file__).resolve().parents[4]
NODES = 4
RATE_PER_S = 10.0
LOAD_S = 3.0
FAILURE_AT_S = 0.4
FAILURE_S = 2.0
REST_S = 1.0
LIMIT_S = 120.0
OUT_DOMAIN = "qc-east-3"
LEAVING_SERVER = "contract-registry-1"
COLD_ENGINE = "rota-llm-4"
# Long enough to be in the queue, too short to end.
SHORT_DEADLINE_S = 0.004
NON_REPEATABLE = frozenset({"shift_assignment"})
QUICK_SETTINGS = {
    "membership": {
        "probe_period_s": 0.2,
        "probe_timeout_s": 0.1,
        "suspicion_s": 0.6,
        "vm_list_period_s": 0.3,
        "address_keep_s": 0.5,
    },
    "slots": {
        "loan_duration_s": 1.0,
        "renew_period_s": 0.25,
        "take_over_wait_s": 3.0,
        "load_report_period_s": 0.25,
    },
}


class QuickCluster(Cluster):
    """Settles in a few seconds, since every node is replaced several times."""

    def _settings(self, vm) -> dict[str, Any]:
        return {**super()._settings(vm), **QUICK_SETTINGS}


class Result(NamedTuple):
    """What one failure left behind."""

    breaches: list[Breach]
    evidence: dict[str, bool]


class PromiseRun:
    """The cluster of the feature, and the results by failure."""

    def __init__(self, folder: Path):
        deployment = ROOT / "examples" / "laurentien"
        self.folder = folder
        self.cluster = QuickCluster(deployment, NODES, folder)
        self.operator = Operator(self.cluster)
        self.watcher = Watcher(self.cluster, self.operator.key)
        self.deployment = read_deployment(deployment)
        self.callers: list[dict[str, Any]] = []
        self.results: dict[str, Result] = {}
        self.known: list[Breach] = []
        self.watching: asyncio.Task | None = None

    async def start(self) -> None:
        await self.cluster.start()
        self.watching = asyncio.create_task(self.watcher.run())
        await self.until_healthy()
        plan_id = await self.operator.confirm("domain_out", OUT_DOMAIN)
        await self.operator.until_step_done(plan_id)
        await self.cluster.mark_domain(OUT_DOMAIN, True)
        await self.mark_leaving()
        await self.load("warm-up")

    async def mark_leaving(self) -> None:
        self.cluster.leaving.add(LEAVING_SERVER)
        await self.cluster.publish_vms()
        await self.cluster.fault(LEAVING_SERVER, {"leaving": True})

    async def stop(self) -> None:
        if self.watching is not None:
            self.watching.cancel()
        await self.cluster.stop(limit_s=0.0)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def load(self, run: str) -> list[dict[str, Any]]:
        """Send the mix, with some requests whose deadline cannot be met."""
        driver = LoadDriver(SystemClock(), self.deployment, self.cluster.entries())
        plan = plan_requests(self.deployment, Load(RATE_PER_S, LOAD_S, (), 1, run))
        kinds = self.deployment.kinds
        records = await driver.run(plan)
        short = {
            name: rules._replace(deadline_s=SHORT_DEADLINE_S)
            for name, rules in kinds.items()
        }
        hasty = self.deployment._replace(kinds=short)
        hasty_plan = plan_requests(hasty, Load(RATE_PER_S, 1.0, (), 2, f"{run}-short"))
        hasty_driver = LoadDriver(SystemClock(), hasty, self.cluster.entries())
        records += await hasty_driver.run(hasty_plan)
        bodies = [record.to_body() for record in records]
        self.callers += bodies
        return bodies

    async def until_healthy(self) -> None:
        """Return once every node reaches all others and owners lend again."""
        await self.watcher.until_joined(LIMIT_S)
        await asyncio.sleep(QUICK_SETTINGS["slots"]["take_over_wait_s"] + 0.5)

    async def run(self, failure: str) -> Result:
        """Run load under the failure; a planned stop happens at the same time."""
        names = failure.split(" and ")
        loading = asyncio.create_task(self.load(failure.replace(" ", "-")))
        await asyncio.sleep(FAILURE_AT_S)
        await self.cluster.fault(COLD_ENGINE, {"cold": True})
        for name in names:
            await FAILURES[name][0](self)
        stopped = self.cluster.vms[-1]
        stopping = asyncio.create_task(self.cluster.stop_node(stopped))
        await asyncio.sleep(FAILURE_S)
        for name in names:
            await FAILURES[name][1](self)
        exits = {stopped.node_id: await stopping}
        self.cluster.start_node(stopped)
        records = await loading
        await self.until_healthy()
        version = await self.change_configuration()
        await asyncio.sleep(REST_S)
        return await self.judge(records, exits, version)

    async def change_configuration(self) -> int:
        """Change a share and return the version; the table works again by now."""
        name = "customers/val-david"
        answer = await self.operator.call("GET", "/configuration")
        body = answer["objects"][name]
        changes = {name: {**body, "share": body["share"] + 0.01}}
        proposal = {"intent": "configuration", "arguments": {"changes": changes}}
        plan = await self.operator.call("POST", "/plans", proposal)
        await self.operator.call(
            "POST", f"/plans/{plan['plan_id']}/confirm", {"digest": plan["digest"]}
        )
        await self.operator.until_done(plan["plan_id"])
        version = answer["version"] + 1

        async def everywhere():
            while any(s.version < version for s in self.watcher.latest.values()):
                await asyncio.sleep(0.05)

        await asyncio.wait_for(everywhere(), LIMIT_S)
        return version

    async def judge(self, records, exits: dict[str, int], version: int) -> Result:
        servers = await self.cluster.records()
        observed = Observed(
            callers=self.callers,
            servers=servers,
            metrics=await self.cluster.metrics(),
            exits=exits,
            non_repeatable_kinds=NON_REPEATABLE,
            process_deaths=True,
        )
        found = broken_promises(observed) + lower_versions(self.watcher.sights)
        # The records cover all failures so far; each breach counts for its own.
        breaches = [breach for breach in found if breach not in self.known]
        self.known += breaches
        calls = [call for server in servers for call in server["calls"]]
        outcomes = [answer["outcome"] for r in records for answer in r["answers"]]
        evidence = {
            "P1": bool(calls),
            "P2": any(s["cold_periods"] for s in servers),
            "P3": any(call["after_out_s"] is None for call in calls),
            "P4": any(r["tokens"] for r in records),
            "P5": "not_run" in outcomes,
            "P6": any(r["kind"] in NON_REPEATABLE for r in records),
            "P7": any(s["replica_id"] == LEAVING_SERVER for s in servers),
            "P8": len(exits) == 1,
            "P9": version > 1,
        }
        return Result(breaches, evidence)


async def set_faults(run: PromiseRun, fields: dict, *replica_ids: str) -> None:
    for replica_id in replica_ids:
        await run.cluster.fault(replica_id, fields)


async def kill(run: PromiseRun) -> None:
    await run.cluster.kill_node(run.cluster.vms[0])


async def restart(run: PromiseRun) -> None:
    run.cluster.start_node(run.cluster.vms[0])


async def pause(run: PromiseRun) -> None:
    run.cluster.pause_node(run.cluster.vms[1])


async def resume(run: PromiseRun) -> None:
    run.cluster.resume_node(run.cluster.vms[1])


async def platform(run: PromiseRun, **faults: dict) -> None:
    await run.cluster.control_platform({"faults": faults})


async def resubmit(run: PromiseRun) -> None:
    """Submit the same ids as the load a second time, at other nodes."""
    driver = LoadDriver(SystemClock(), run.deployment, run.cluster.entries()[::-1])
    load = Load(RATE_PER_S, LOAD_S, (), 1, "doubled-submissions")
    plan = plan_requests(run.deployment, load)
    run.resubmitted = asyncio.create_task(driver.run(plan))


async def collect_resubmitted(run: PromiseRun) -> None:
    run.callers += [record.to_body() for record in await run.resubmitted]


SLOW = ("rota-llm-1", "laurentien-encoder-1", "dispatch-api-1")
SILENT = ("rota-llm-2", "dispatch-api-2")
LATE = ("laurentien-retriever-1", "rota-llm-1", "dispatch-api-2")
FAILURES = {
    "process death": (kill, restart),
    "slow servers": (
        lambda run: set_faults(run, {"slow_factor": 5.0}, *SLOW),
        lambda run: set_faults(run, {}, *SLOW),
    ),
    "silent servers": (
        lambda run: set_faults(run, {"silent": True}, *SILENT),
        lambda run: set_faults(run, {}, *SILENT),
    ),
    "cold again": (
        lambda run: set_faults(run, {"cold": True}, "rota-llm-1", "rota-llm-2"),
        lambda run: set_faults(run, {}, "rota-llm-1"),
    ),
    "late replies": (
        lambda run: set_faults(run, {"slow_factor": 150.0}, *LATE),
        lambda run: set_faults(run, {}, *LATE),
    ),
    "doubled submissions": (resubmit, collect_resubmitted),
    "store outage": (
        lambda run: platform(run, all={"down": True}),
        lambda run: platform(run, all={}),
    ),
    "store reply lost": (
        lambda run: platform(run, transact={"drop_replies": 6}),
        lambda run: platform(run, transact={}),
    ),
    "paused node": (pause, resume),
}


@given("a cluster with a failure domain out and a backend server leaving")
def cluster_running(context):
    if "promises" in context.systems:
        return
    run = PromiseRun(Path(tempfile.mkdtemp(prefix="egretshed-promises-")))
    context.systems["promises"] = run
    context.loop.run_until_complete(asyncio.wait_for(run.start(), LIMIT_S))


@when("load runs under {failure}")
def load_under(context, failure):
    run = context.systems["promises"]
    if failure not in run.results:
        work = asyncio.wait_for(run.run(failure), LIMIT_S)
        try:
            run.results[failure] = context.loop.run_until_complete(work)
        except PlanFailed as failed:
            raise AssertionError(f"operators could not act: {failed}") from failed
    context.result = run.results[failure]


@then("{promise} is not broken")
def not_broken(context, promise):
    breaches = [b for b in context.result.breaches if b.promise == promise]
    assert not breaches, breaches[:5]


@then("the run put {promise} to the test")
def put_to_test(context, promise):
    assert context.result.evidence[promise]
