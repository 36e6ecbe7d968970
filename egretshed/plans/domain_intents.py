"""Intents that change the configuration, failure domains and entry nodes."""

from typing import (
    Any,
    NamedTuple,
)

from egretshed.configuration.schema import Configuration
from egretshed.configuration.validation import build_configuration
from egretshed.errors import (
    InvalidRequest,
    NotFound,
)
from egretshed.plans.capacity import slots_without
from egretshed.plans.intents import (
    CHANGED_MEANWHILE,
    WAIT_EXCEEDED,
    Draft,
    PlanningContext,
    StepList,
    intent,
    least_without,
    longest_call_s,
    require_object,
)


class DomainArguments(NamedTuple):
    failure_domain: str


class ChangeArguments(NamedTuple):
    changes: dict[str, dict[str, Any] | None]


class NodeArguments(NamedTuple):
    node_id: str


@intent("domain_out", DomainArguments)
async def domain_out(context: PlanningContext, arguments: DomainArguments) -> Draft:
    name = arguments.failure_domain
    object_id = f"failure_domains/{name}"
    body = require_object(context, object_id)
    if body.get("out"):
        raise InvalidRequest(f"failure domain {name} is out already")
    replicas = {
        replica.replica_id
        for pool in context.configuration.pools.values()
        for replica in pool.replicas
        if replica.failure_domain == name
    }
    least = least_without(context, replicas)
    steps = StepList(context.objects)
    steps.change(f"Take failure domain {name} out", {object_id: {**body, "out": True}})
    if replicas:
        steps.wait_idle(sorted(replicas))
    reserves = {object_id, *(f"pools/{pool}" for pool in least)}
    seconds = longest_call_s(context) + context.env.settings.configuration.poll_period_s
    return Draft(
        steps.steps, reserves, least, seconds, (CHANGED_MEANWHILE, WAIT_EXCEEDED)
    )


@intent("domain_in", DomainArguments)
async def domain_in(context: PlanningContext, arguments: DomainArguments) -> Draft:
    name = arguments.failure_domain
    object_id = f"failure_domains/{name}"
    body = require_object(context, object_id)
    if not body.get("out"):
        raise InvalidRequest(f"failure domain {name} is in service already")
    steps = StepList(context.objects)
    steps.change(
        f"Return failure domain {name}; its replicas start at their cold slots",
        {object_id: {**body, "out": False}},
    )
    return Draft(steps.steps, {object_id}, {}, 1.0, (CHANGED_MEANWHILE,))


@intent("configuration", ChangeArguments)
async def change_configuration(
    context: PlanningContext, arguments: ChangeArguments
) -> Draft:
    changes = {
        object_id: body
        for object_id, body in arguments.changes.items()
        if context.objects.get(object_id) != body
    }
    if not changes:
        raise InvalidRequest("nothing to change", reason="nothing_to_change")
    after = {**context.objects, **changes}
    after = {object_id: body for object_id, body in after.items() if body is not None}
    configuration = build_configuration(0, after).default_with(_raise)
    steps = StepList(context.objects)
    steps.change(f"Change {', '.join(sorted(changes))}", changes)
    least = _changed_slots(context.configuration, configuration)
    reserves = {*changes, *(f"pools/{name}" for name in least)}
    return Draft(steps.steps, reserves, least, 1.0, (CHANGED_MEANWHILE,))


def _changed_slots(before: Configuration, after: Configuration) -> dict[str, int]:
    """Return the later slots of the pools whose slots change."""
    slots = {}
    for name, pool in before.pools.items():
        now = slots_without(before, pool, lambda replica: False)
        later_pool = after.pools.get(name)
        later = (
            slots_without(after, later_pool, lambda replica: False) if later_pool else 0
        )
        if later != now:
            slots[name] = later
    return slots


@intent("drain_node", NodeArguments)
async def drain_node(context: PlanningContext, arguments: NodeArguments) -> Draft:
    node_id = arguments.node_id
    if node_id not in context.node_ids:
        raise NotFound(f"node {node_id!r} is not reachable")
    steps = StepList(context.objects)
    steps.add(
        "leave_node",
        f"Node {node_id} leaves: its address is no longer given to callers",
        "the node is reachable by the executor",
        node_id=node_id,
    )
    keep_s = context.env.settings.membership.address_keep_s
    return Draft(steps.steps, {f"nodes/{node_id}"}, {}, keep_s, (WAIT_EXCEEDED,))


def _raise(error: Exception) -> Any:
    raise error
