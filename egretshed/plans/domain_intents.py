"""Intents for failure domains, configuration objects and entry nodes."""

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
from egretshed.plans.capacity import remaining_slots
from egretshed.plans.intents import (
    CONCURRENT_CHANGE,
    WAIT_LIMIT_EXCEEDED,
    PlanDraft,
    PlanningContext,
    StepBuilder,
    capacity_without,
    longest_deadline_s,
    register_intent,
    require_object,
)


class DomainArguments(NamedTuple):
    failure_domain: str


class ChangeArguments(NamedTuple):
    changes: dict[str, dict[str, Any] | None]


class NodeArguments(NamedTuple):
    node_id: str


@register_intent("domain_out", DomainArguments)
async def domain_out(context: PlanningContext, arguments: DomainArguments) -> PlanDraft:
    name = arguments.failure_domain
    object_id = f"failure_domains/{name}"
    body = require_object(context, object_id)
    if body.get("out"):
        raise InvalidRequest(f"failure domain {name} is out of service already")
    replica_ids = {
        replica.replica_id
        for pool in context.configuration.pools.values()
        for replica in pool.replicas
        if replica.failure_domain == name
    }
    least_capacity = capacity_without(context, replica_ids)
    builder = StepBuilder(context.objects)
    builder.change_objects(
        f"Take failure domain {name} out", {object_id: {**body, "out": True}}
    )
    if replica_ids:
        builder.wait_idle(sorted(replica_ids))
    reserved_ids = {object_id, *(f"pools/{pool}" for pool in least_capacity)}
    expected_s = (
        longest_deadline_s(context) + context.env.settings.configuration.poll_period_s
    )
    return PlanDraft(
        builder.steps,
        reserved_ids,
        least_capacity,
        expected_s,
        (CONCURRENT_CHANGE, WAIT_LIMIT_EXCEEDED),
    )


@register_intent("domain_in", DomainArguments)
async def domain_in(context: PlanningContext, arguments: DomainArguments) -> PlanDraft:
    name = arguments.failure_domain
    object_id = f"failure_domains/{name}"
    body = require_object(context, object_id)
    if not body.get("out"):
        raise InvalidRequest(f"failure domain {name} is in service already")
    builder = StepBuilder(context.objects)
    builder.change_objects(
        f"Return failure domain {name}; its replicas start at their cold slots",
        {object_id: {**body, "out": False}},
    )
    return PlanDraft(builder.steps, {object_id}, {}, 1.0, (CONCURRENT_CHANGE,))


@register_intent("configuration", ChangeArguments)
async def change_configuration(
    context: PlanningContext, arguments: ChangeArguments
) -> PlanDraft:
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
    builder = StepBuilder(context.objects)
    builder.change_objects(f"Change {', '.join(sorted(changes))}", changes)
    least_capacity = _capacity_after_change(context.configuration, configuration)
    reserved_ids = {*changes, *(f"pools/{name}" for name in least_capacity)}
    return PlanDraft(
        builder.steps, reserved_ids, least_capacity, 1.0, (CONCURRENT_CHANGE,)
    )


def _capacity_after_change(
    before: Configuration, after: Configuration
) -> dict[str, int]:
    """Return the new number of slots of each pool whose number of slots changes."""
    slots = {}
    for name, pool in before.pools.items():
        slots_before = remaining_slots(before, pool, lambda replica: False)
        pool_after = after.pools.get(name)
        slots_after = (
            remaining_slots(after, pool_after, lambda replica: False)
            if pool_after
            else 0
        )
        if slots_after != slots_before:
            slots[name] = slots_after
    return slots


@register_intent("drain_node", NodeArguments)
async def drain_node(context: PlanningContext, arguments: NodeArguments) -> PlanDraft:
    node_id = arguments.node_id
    if node_id not in context.node_ids:
        raise NotFound(f"node {node_id!r} is not reachable")
    builder = StepBuilder(context.objects)
    builder.add(
        "leave_node",
        f"Node {node_id} leaves: its address is no longer given to callers",
        "the node is reachable by the executor",
        node_id=node_id,
    )
    keep_s = context.env.settings.membership.address_keep_s
    return PlanDraft(
        builder.steps, {f"nodes/{node_id}"}, {}, keep_s, (WAIT_LIMIT_EXCEEDED,)
    )


def _raise(error: Exception) -> Any:
    raise error
