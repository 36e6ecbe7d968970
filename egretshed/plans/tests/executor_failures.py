"""Rows of executor failures: each step of a plan, each moment of it, each fault."""

import asyncio
import json
from collections.abc import Iterator
from typing import NamedTuple

from egretshed.plans.model import Step
from egretshed.plans.tests.fakes import (
    Cluster,
    Node,
)

MOMENTS = ("before the effect", "before progress is written", "after it is written")
SHORT_PAUSE_S = 11.0
LONG_PAUSE_S = 60.0
FAULTS = {
    "dies": None,
    "pauses past its lease": SHORT_PAUSE_S,
    "pauses until another is done": LONG_PAUSE_S,
}
END_S = 240.0
STEP_S = 1.0
# The call that has a step's effect; the others read only, or are acted on elsewhere.
EFFECTS = {"order": "order", "configuration": "change"}


class FailureRow(NamedTuple):
    """What happens to the executor, in which step and at which moment of it."""

    step_id: str
    action: str
    moment: str
    fault: str


def rows_of(steps: tuple[Step, ...]) -> Iterator[FailureRow]:
    for step in steps:
        for moment in MOMENTS:
            for fault in FAULTS:
                yield FailureRow(step.step_id, step.action, moment, fault)


class StopPoint:
    """Stops the node that reaches the row's moment; `node` is that node."""

    def __init__(self, row: FailureRow):
        self.row = row
        self.node: Node | None = None

    def watch(self, node: Node, call: str, detail: object, after: bool) -> None:
        if self.node is None and self._is_reached(node, call, detail, after):
            self.node = node
            node.running.clear()

    def _is_reached(self, node: Node, call: str, detail: object, after: bool) -> bool:
        row = self.row
        if row.moment == "before the effect" and row.action in EFFECTS:
            is_effect = call == EFFECTS[row.action] and not after
            return is_effect and self._state_in(node.cluster.rows()) == "running"
        if call != "transact":
            return False
        written = self._state_in({write.key: write.value for write in detail[1]})
        if row.moment == "before the effect":
            return after and written == "running"
        return written == "done" and after == (row.moment == "after it is written")

    def _state_in(self, rows: dict) -> str:
        for value in rows.values():
            for step in value.get("steps", ()):
                if step["step_id"] == self.row.step_id:
                    return step["state"]
        return ""


class RowResult(NamedTuple):
    """`faults` are sentences; empty if the row's end state is as it has to be."""

    row: FailureRow
    state: str
    faults: list[str]


async def propose(cluster: Cluster, intent: str, arguments: dict):
    call = cluster.nodes["n1"].plans.propose(intent, arguments, "ada")
    return await finish(cluster, call)


async def finish(cluster: Cluster, call):
    task = asyncio.ensure_future(call)
    while not task.done():
        await cluster.clock.advance(STEP_S)
    return task.result()


async def run_row(
    cluster: Cluster, intent: str, arguments: str, row: FailureRow
) -> RowResult:
    """Carry out one plan with the row's failure and judge how it ends."""
    plan = await propose(cluster, intent, json.loads(arguments))
    stop = StopPoint(row)
    cluster.watch = stop.watch
    confirm = cluster.nodes["n1"].plans.confirm(plan.plan_id, plan.digest, "ada", True)
    await finish(cluster, confirm)
    await until(cluster, lambda: stop.node is not None)
    if stop.node is None:
        return RowResult(row, "", ["the moment was never reached"])
    pause_s = FAULTS[row.fault]
    if pause_s is None:
        stop.node.kill()
    else:
        await cluster.clock.advance(pause_s)
        stop.node.resume()
    await until(cluster, lambda: not active_plans(cluster))
    state = cluster.rows()[f"plans/{plan.plan_id}"]["state"]
    ended = visible_state(cluster)
    await cluster.clock.advance(LONG_PAUSE_S)
    faults = judge(cluster, plan, state)
    if visible_state(cluster) != ended:
        faults.append("something changed after the plan had ended")
    return RowResult(row, state, faults)


async def until(cluster: Cluster, condition) -> None:
    end_s = cluster.clock.monotonic_s() + END_S
    while not condition() and cluster.clock.monotonic_s() < end_s:
        await cluster.clock.advance(STEP_S)


def active_plans(cluster: Cluster) -> dict:
    return cluster.rows()["plans/active"]["plans"]


def visible_state(cluster: Cluster) -> tuple:
    servers = {name: server.revision for name, server in cluster.servers.items()}
    return cluster.store.objects, servers


def judge(cluster: Cluster, plan, state: str) -> list[str]:
    """Return what is wrong with the end of `plan`."""
    faults = [] if state == "done" else [f"the plan is {state}"]
    expected: dict = {}
    for step in plan.steps:
        expected |= step.arguments.get("changes", {})
    objects = cluster.store.objects
    faults += [f"{id_} differs" for id_, b in expected.items() if objects.get(id_) != b]
    for name, server in cluster.servers.items():
        numbers = [number for number, _ in server.applied]
        # Holds for servers that ignore the number because orders name a revision.
        if numbers != sorted(numbers):
            faults.append(f"{name} applied an old order: {server.applied}")
        faults += wrong_server(plan, name, server)
    return faults


def wrong_server(plan, name: str, server) -> list[str]:
    orders = [
        step.arguments
        for step in plan.steps
        if step.action == "order" and step.arguments["replica_id"] == name
    ]
    if not orders and server.applied:
        return [f"{name} applied an order that is not in the plan"]
    for order in orders:
        wanted = order["arguments"]
        has_adapter = wanted.get("adapter") in {None, *server.adapters}
        version = wanted.get("version")
        has_model = version in (None, server.models.get(wanted.get("model")))
        if not (has_adapter and has_model and server.applied):
            return [f"{name} is not in the state that was confirmed"]
    return []
