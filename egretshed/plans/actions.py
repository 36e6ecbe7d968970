"""Actions of plan steps, as the executor runs them.

Each action is idempotent: the executor repeats it after a lost reply or a failover.
"""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)
from typing import (
    Any,
    NamedTuple,
)

from egretshed.backends.interface import (
    BackendOrder,
    LoadReport,
)
from egretshed.environment import Environment
from egretshed.errors import (
    ConfigurationInvalid,
    EgretshedError,
    StaleFencingNumber,
    VersionConflict,
)
from egretshed.logs import log_event
from egretshed.plans.capacity import (
    pool_load,
    read_load_report,
)
from egretshed.plans.lease import (
    ExecutorLease,
    LeaseLost,
)
from egretshed.plans.model import (
    Plan,
    Step,
)
from egretshed.plans.timeouts import call_with_timeout
from egretshed.platform.interface import Platform
from egretshed.registry import Registry

DEPARTED_STATUSES = frozenset({"LEAVING", "DEAD"})
# The wait for a download may last this multiple of its size divided by the rate.
DOWNLOAD_TIME_FACTOR = 3.0


class StepResult(NamedTuple):
    """Result of one run of a step's action.

    `outcome` is done, wait (try again later), failed (try again, up to a number of
    attempts) or stop (end the plan). `configuration_version` is the version that a
    configuration step put in force. `min_wait_limit_s` raises the time limit of waits.
    """

    outcome: str
    detail: str = ""
    configuration_version: int = 0
    min_wait_limit_s: float = 0.0


class StepContext(NamedTuple):
    """Services of the executing node that actions use."""

    env: Environment
    platform: Platform
    configuration: Any
    membership: Any
    backends: Any
    lease: ExecutorLease


Action = Callable[[StepContext, Plan, Step], Awaitable[StepResult]]
ACTIONS: Registry[Action] = Registry("plan action")


@ACTIONS.register("configuration")
async def change_configuration(
    context: StepContext, plan: Plan, step: Step
) -> StepResult:
    """Put the objects in force; stop if one was changed since the plan was computed."""
    service = context.configuration
    base_version = service.current.version
    # A configuration older than that of an earlier step still has the objects from
    # before that step.
    if base_version < plan.configuration_version:
        return StepResult("wait", "this node has not received the last version")
    objects = service.objects()
    changes = step.arguments["changes"]
    if all(objects.get(id_) == body for id_, body in changes.items()):
        return StepResult("done", f"in force in version {base_version}", base_version)
    before = step.arguments["before"]
    differing = [id_ for id_ in changes if objects.get(id_) != before[id_]]
    if differing:
        return StepResult("stop", f"changed by someone else: {', '.join(differing)}")
    context.lease.require_time_for_order()
    try:
        version = await service.change(
            base_version, changes, plan.confirmed_by, f"plan {plan.plan_id}"
        )
    except VersionConflict:
        return StepResult("wait", "another change came first")
    except ConfigurationInvalid as error:
        return StepResult("stop", f"refused: {error}")
    return StepResult("done", f"accepted as version {version}", version)


@ACTIONS.register("order")
async def send_order(context: StepContext, plan: Plan, step: Step) -> StepResult:
    """Send the order, unless the backend server already reports the model version."""
    replica_id = step.arguments["replica_id"]
    report = await read_load_report(context.env, context.backends, replica_id)
    if report is None:
        return StepResult("failed", f"{replica_id} gives no load report")
    if _reports_model_version(report, step.arguments["arguments"]):
        return StepResult("done", f"{replica_id} is in the state asked for")
    order = BackendOrder(
        order_id=f"{plan.plan_id}/{step.step_id}",
        action=step.arguments["order"],
        arguments=step.arguments["arguments"],
        fencing_number=context.lease.fencing_number,
        expected_revision=report.state_revision,
    )
    # Backend servers that ignore the fencing number depend on these two checks.
    await context.lease.verify()
    context.lease.require_time_for_order()
    return await _deliver_order(context, replica_id, order)


async def _deliver_order(
    context: StepContext, replica_id: str, order: BackendOrder
) -> StepResult:
    """Send the order and log it; raise `LeaseLost` if its fencing number is stale."""
    timeout_s = context.env.settings.plans.order_timeout_s
    backend = context.backends.get(replica_id)
    order_outcome = "sent"
    try:
        result = await call_with_timeout(
            context.env.clock, backend.order(order), timeout_s
        )
        order_outcome = "applied" if result.applied else f"not applied: {result.detail}"
    except StaleFencingNumber as error:
        order_outcome = error.code
        context.lease.drop()
        raise LeaseLost(f"{replica_id} has seen a higher fencing number") from error
    except (EgretshedError, TimeoutError) as error:
        order_outcome = str(error)
        return StepResult("failed", f"{replica_id}: {order_outcome}")
    finally:
        _log_order(context, replica_id, order, order_outcome)
    outcome = "done" if result.applied else "failed"
    return StepResult(outcome, f"{replica_id}: {order_outcome}")


def _log_order(
    context: StepContext, replica_id: str, order: BackendOrder, outcome: str
) -> None:
    log_event(
        context.env.logger,
        "placement_decision",
        replica_id=replica_id,
        order_id=order.order_id,
        action=order.action,
        arguments=order.arguments,
        fencing_number=order.fencing_number,
        expected_revision=order.expected_revision,
        outcome=outcome,
    )


def _reports_model_version(report: LoadReport, arguments: dict[str, Any]) -> bool:
    version = arguments.get("version")
    model = arguments.get("model")
    return version is not None and report.model_versions.get(model) == version


@ACTIONS.register("check_capacity")
async def check_capacity(context: StepContext, plan: Plan, step: Step) -> StepResult:
    """Wait until the pool can carry its load without the replica.

    If low capacity was accepted, the lowest capacity of the plan is sufficient.
    """
    name = step.arguments["pool"]
    configuration = context.configuration.current
    if configuration.version < plan.configuration_version:
        return StepResult("wait", "this node has not received the last version")
    pool = configuration.pools.get(name)
    if pool is None:
        return StepResult("stop", f"pool {name} no longer exists")
    load = await pool_load(context.env, context.backends, pool)
    slots = sum(
        pool.warm_slots if replica.replica_id in load.warm else pool.cold_slots
        for replica in pool.replicas
        if configuration.is_in_service(replica)
        and replica.replica_id != step.arguments["replica_id"]
        and replica.replica_id not in load.not_reporting
    )
    detail = f"{load.calls} calls, {slots} slots without the replica"
    is_accepted = plan.accepts_low_capacity and slots >= plan.least_capacity[name]
    outcome = "done" if load.calls <= slots or is_accepted else "wait"
    return StepResult(outcome, detail)


@ACTIONS.register("wait_idle")
async def wait_idle(context: StepContext, plan: Plan, step: Step) -> StepResult:
    """Wait until all replicas report no running or queued calls."""
    replica_ids = step.arguments["replicas"]
    reports = await asyncio.gather(
        *(read_load_report(context.env, context.backends, id_) for id_ in replica_ids)
    )
    busy = [
        f"{replica_id}: {'running calls' if report else 'no load report'}"
        for replica_id, report in zip(replica_ids, reports)
        if report is None or report.in_flight + report.queued
    ]
    if busy:
        return StepResult("wait", ", ".join(busy))
    return StepResult("done", "no running calls")


@ACTIONS.register("wait_model")
async def wait_model(context: StepContext, plan: Plan, step: Step) -> StepResult:
    """Wait until the replica reports the model version."""
    replica_id = step.arguments["replica_id"]
    report = await read_load_report(context.env, context.backends, replica_id)
    if report is not None and _reports_model_version(report, step.arguments):
        return StepResult("done", "loaded")
    rate = await context.platform.weights.rate_bytes_per_s()
    download_s = step.arguments["size_bytes"] / rate if rate > 0 else 0.0
    return StepResult(
        "wait", "loading", min_wait_limit_s=download_s * DOWNLOAD_TIME_FACTOR
    )


@ACTIONS.register("leave_node")
async def leave_node(context: StepContext, plan: Plan, step: Step) -> StepResult:
    """Wait until the node has left; it finds its order in the table by itself."""
    node_id = step.arguments["node_id"]
    for member in context.membership.reachable():
        if member.node_id == node_id and not has_left(member):
            return StepResult("wait", f"{node_id} is still in service")
    return StepResult("done", f"{node_id} has left")


def has_left(member: Any) -> bool:
    """Whether the member is leaving or dead; accepts different member records."""
    if getattr(member, "leaving", False):
        return True
    status = getattr(member, "status", None)
    return getattr(status, "name", str(status)) in DEPARTED_STATUSES
