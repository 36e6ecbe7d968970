"""Cases of executor failures: each fault at each failure point of each step."""

import asyncio
import json
from collections.abc import Iterator
from typing import NamedTuple

from egretshed.plans.model import Step
from egretshed.plans.tests.fakes import (
    Cluster,
    Node,
)

FAILURE_POINTS = (
    "before the effect",
    "before progress is written",
    "after progress is written",
)
# The short pause is longer than the lease; the long one lasts until another node has
# taken over and carried out the plan.
SHORT_PAUSE_S = 11.0
LONG_PAUSE_S = 60.0
PAUSE_S_BY_FAULT = {
    "dies": None,
    "pauses past its lease": SHORT_PAUSE_S,
    "pauses until another node is done": LONG_PAUSE_S,
}
END_LIMIT_S = 240.0
CLOCK_STEP_S = 1.0
# Maps an action to the call that has its effect. Other actions only read, or take
# effect on another node.
EFFECT_CALLS = {"order": "order", "configuration": "change"}


class FailureCase(NamedTuple):
    """The fault of the executor, and the step and failure point at which it occurs."""

    step_id: str
    action: str
    point: str
    fault: str


def failure_cases(steps: tuple[Step, ...]) -> Iterator[FailureCase]:
    for step in steps:
        for point in FAILURE_POINTS:
            for fault in PAUSE_S_BY_FAULT:
                yield FailureCase(step.step_id, step.action, point, fault)


class FailureTrigger:
    """Suspends the first node that reaches the failure point of a case.

    `node` is that node, or None until then.
    """

    def __init__(self, case: FailureCase):
        self.case = case
        self.node: Node | None = None

    def observe_call(self, node: Node, call: str, detail: object, after: bool) -> None:
        if self.node is None and self._is_reached(node, call, detail, after):
            self.node = node
            node.running.clear()

    def _is_reached(self, node: Node, call: str, detail: object, after: bool) -> bool:
        case = self.case
        if case.point == "before the effect" and case.action in EFFECT_CALLS:
            is_effect = call == EFFECT_CALLS[case.action] and not after
            return is_effect and self._step_state(node.cluster.rows()) == "running"
        if call != "transact":
            return False
        written = self._step_state({write.key: write.value for write in detail[1]})
        if case.point == "before the effect":
            return after and written == "running"
        return written == "done" and after == (
            case.point == "after progress is written"
        )

    def _step_state(self, rows: dict) -> str:
        for value in rows.values():
            for step in value.get("steps", ()):
                if step["step_id"] == self.case.step_id:
                    return step["state"]
        return ""


class CaseResult(NamedTuple):
    """`state` is that of the plan; `violations` is empty if it ended as confirmed."""

    case: FailureCase
    state: str
    violations: list[str]


async def propose(cluster: Cluster, intent: str, arguments: dict):
    call = cluster.nodes["n1"].plans.propose(intent, arguments, "ada")
    return await run_to_end(cluster, call)


async def run_to_end(cluster: Cluster, call):
    """Advance the clock until `call` is done and return its result."""
    task = asyncio.ensure_future(call)
    while not task.done():
        await cluster.clock.advance(CLOCK_STEP_S)
    return task.result()


async def run_case(
    cluster: Cluster, intent: str, arguments: str, case: FailureCase
) -> CaseResult:
    """Carry out one plan with the failure of `case` and check its end state."""
    plan = await propose(cluster, intent, json.loads(arguments))
    trigger = FailureTrigger(case)
    cluster.observe_call = trigger.observe_call
    confirm = cluster.nodes["n1"].plans.confirm(plan.plan_id, plan.digest, "ada", True)
    await run_to_end(cluster, confirm)
    await advance_until(cluster, lambda: trigger.node is not None)
    if trigger.node is None:
        return CaseResult(case, "", ["the failure point was never reached"])
    pause_s = PAUSE_S_BY_FAULT[case.fault]
    if pause_s is None:
        trigger.node.kill()
    else:
        await cluster.clock.advance(pause_s)
        trigger.node.resume()
    await advance_until(cluster, lambda: not active_plans(cluster))
    state = cluster.rows()[f"plans/{plan.plan_id}"]["state"]
    ended = state_in_force(cluster)
    await cluster.clock.advance(LONG_PAUSE_S)
    violations = find_violations(cluster, plan, state)
    if state_in_force(cluster) != ended:
        violations.append("something changed after the plan had ended")
    return CaseResult(case, state, violations)


async def advance_until(cluster: Cluster, condition) -> None:
    """Advance the clock until `condition` holds, at most by `END_LIMIT_S`."""
    end_s = cluster.clock.monotonic_s() + END_LIMIT_S
    while not condition() and cluster.clock.monotonic_s() < end_s:
        await cluster.clock.advance(CLOCK_STEP_S)


def active_plans(cluster: Cluster) -> dict:
    return cluster.rows()["plans/active"]["plans"]


def state_in_force(cluster: Cluster) -> tuple:
    """Return the declared objects and the state revision of each server."""
    servers = {name: server.revision for name, server in cluster.servers.items()}
    return cluster.store.objects, servers


def find_violations(cluster: Cluster, plan, state: str) -> list[str]:
    """Return the differences from the end state that `plan` should have reached."""
    violations = [] if state == "done" else [f"the plan is {state}"]
    expected: dict = {}
    for step in plan.steps:
        expected |= step.arguments.get("changes", {})
    objects = cluster.store.objects
    violations += [
        f"{id_} differs" for id_, body in expected.items() if objects.get(id_) != body
    ]
    for name, server in cluster.servers.items():
        numbers = [number for number, _ in server.applied]
        # Also holds for servers that ignore the fencing number, since each order names
        # the expected revision.
        if numbers != sorted(numbers):
            violations.append(f"{name} applied an old order: {server.applied}")
        violations += server_violations(plan, name, server)
    return violations


def server_violations(plan, name: str, server) -> list[str]:
    """Return the differences from the orders that `plan` has for the server."""
    orders = [
        step.arguments
        for step in plan.steps
        if step.action == "order" and step.arguments["replica_id"] == name
    ]
    if not orders and server.applied:
        return [f"{name} applied an order that is not in the plan"]
    for order in orders:
        expected = order["arguments"]
        has_adapter = expected.get("adapter") in {None, *server.adapters}
        version = expected.get("version")
        has_model = version in (None, server.models.get(expected.get("model")))
        if not (has_adapter and has_model and server.applied):
            return [f"{name} is not in the state that was confirmed"]
    return []
