"""Intents that send orders to backend servers or drain them, one replica at a time."""

from typing import NamedTuple

from egretshed.configuration.schema import Replica
from egretshed.errors import (
    InvalidRequest,
    NotFound,
)
from egretshed.plans.intents import (
    CONCURRENT_CHANGE,
    ORDER_FAILED,
    WAIT_LIMIT_EXCEEDED,
    WEIGHT_STORE_ID,
    PlanDraft,
    PlanningContext,
    StepBuilder,
    capacity_without,
    find_replica,
    longest_deadline_s,
    register_intent,
    require_object,
)
from egretshed.platform.interface import WeightVersion
from egretshed.records import to_object


class ModelArguments(NamedTuple):
    model: str
    version: str
    pool: str


class AdapterArguments(NamedTuple):
    adapter: str
    pool: str


class RoleArguments(NamedTuple):
    replica_id: str
    pool: str


class ReplicaArguments(NamedTuple):
    replica_id: str


@register_intent("load_model", ModelArguments)
async def load_model(context: PlanningContext, arguments: ModelArguments) -> PlanDraft:
    pool_id = f"pools/{arguments.pool}"
    require_object(context, pool_id)
    model_id = f"models/{arguments.model}"
    model = require_object(context, model_id)
    weights = await _find_weight_version(context, arguments.model, arguments.version)
    rate = await context.weights.rate_bytes_per_s()
    if rate <= 0:
        raise InvalidRequest("the weight store currently allows no downloads")
    pool = context.configuration.pools[arguments.pool]
    builder = StepBuilder(context.objects)
    for replica in pool.replicas:
        _add_load_steps(builder, arguments, replica, weights)
    changed = {**model, "version": arguments.version}
    builder.change_objects(
        f"Declare {arguments.model} {arguments.version}", {model_id: changed}
    )
    # At most one replica is removed at a time. That replicas loaded before it may still
    # be cold is left to the capacity check before each removal.
    in_service = filter(context.configuration.is_in_service, pool.replicas)
    remaining = max(0, len(list(in_service)) - 1)
    least_capacity = {arguments.pool: remaining * pool.warm_slots}
    per_replica_s = weights.size_bytes / rate + longest_deadline_s(context)
    return PlanDraft(
        builder.steps,
        {pool_id, model_id, WEIGHT_STORE_ID},
        least_capacity,
        per_replica_s * len(pool.replicas),
        (CONCURRENT_CHANGE, ORDER_FAILED, WAIT_LIMIT_EXCEEDED),
    )


def _add_load_steps(
    builder: StepBuilder,
    arguments: ModelArguments,
    replica: Replica,
    weights: WeightVersion,
) -> None:
    """Add the steps that load the weights on one replica.

    A replica that was draining before the plan stays so.
    """
    if not replica.draining:
        builder.take_out_of_service(arguments.pool, replica.replica_id)
    model_version = {"model": arguments.model, "version": arguments.version}
    builder.add(
        "order",
        f"Load {arguments.model} {arguments.version} on {replica.replica_id}",
        "the replica has no running calls",
        replica_id=replica.replica_id,
        order="load_model",
        arguments=model_version,
    )
    builder.add(
        "wait_model",
        f"Wait until {replica.replica_id} reports {arguments.version}",
        replica_id=replica.replica_id,
        size_bytes=weights.size_bytes,
        **model_version,
    )
    if not replica.draining:
        builder.set_draining(arguments.pool, replica.replica_id, False)


async def _find_weight_version(
    context: PlanningContext, model: str, version: str
) -> WeightVersion:
    versions = await context.weights.versions(model)
    for candidate in versions:
        if candidate.version == version:
            return candidate
    known = ", ".join(candidate.version for candidate in versions)
    raise NotFound(f"model {model} has no version {version!r}; known: {known}")


@register_intent("load_adapter", AdapterArguments)
async def load_adapter(
    context: PlanningContext, arguments: AdapterArguments
) -> PlanDraft:
    pool_id = f"pools/{arguments.pool}"
    require_object(context, pool_id)
    pool = context.configuration.pools[arguments.pool]
    model_id = f"models/{pool.model}"
    model = require_object(context, model_id)
    builder = StepBuilder(context.objects)
    for replica in pool.replicas:
        builder.add(
            "order",
            f"Load adapter {arguments.adapter} on {replica.replica_id}",
            replica_id=replica.replica_id,
            order="load_adapter",
            arguments={"model": pool.model, "adapter": arguments.adapter},
        )
    adapters = sorted({*model.get("adapters", ()), arguments.adapter})
    changed = {**model, "adapters": adapters}
    builder.change_objects(f"Declare adapter {arguments.adapter}", {model_id: changed})
    expected_s = context.env.settings.plans.order_timeout_s * len(pool.replicas)
    reserved_ids = {pool_id, model_id, WEIGHT_STORE_ID}
    return PlanDraft(
        builder.steps, reserved_ids, {}, expected_s, (CONCURRENT_CHANGE, ORDER_FAILED)
    )


@register_intent("change_role", RoleArguments)
async def change_role(context: PlanningContext, arguments: RoleArguments) -> PlanDraft:
    source, replica = find_replica(context.configuration, arguments.replica_id)
    target = arguments.pool
    target_body = require_object(context, f"pools/{target}")
    if source == target:
        raise InvalidRequest(f"{replica.replica_id} is in pool {target} already")
    builder = StepBuilder(context.objects)
    builder.take_out_of_service(source, replica.replica_id)
    builder.add(
        "order",
        f"Give {replica.replica_id} the role of pool {target}",
        "the replica has no running calls",
        replica_id=replica.replica_id,
        order="change_role",
        arguments={"role": context.configuration.pools[target].role},
    )
    source_body = builder.objects[f"pools/{source}"]
    kept = [r for r in source_body["replicas"] if r["replica_id"] != replica.replica_id]
    moved = to_object(replica._replace(draining=False))
    builder.change_objects(
        f"Move {replica.replica_id} from {source} to {target}",
        {
            f"pools/{source}": {**source_body, "replicas": kept},
            f"pools/{target}": {
                **target_body,
                "replicas": [*target_body["replicas"], moved],
            },
        },
    )
    return PlanDraft(
        builder.steps,
        {f"pools/{source}", f"pools/{target}"},
        capacity_without(context, {replica.replica_id}),
        longest_deadline_s(context) + context.env.settings.plans.order_timeout_s,
        (CONCURRENT_CHANGE, ORDER_FAILED, WAIT_LIMIT_EXCEEDED),
    )


@register_intent("drain_replica", ReplicaArguments)
async def drain_replica(
    context: PlanningContext, arguments: ReplicaArguments
) -> PlanDraft:
    pool, replica = find_replica(context.configuration, arguments.replica_id)
    if replica.draining:
        raise InvalidRequest(f"{replica.replica_id} is already draining")
    builder = StepBuilder(context.objects)
    builder.set_draining(pool, replica.replica_id, True)
    builder.wait_idle([replica.replica_id])
    return PlanDraft(
        builder.steps,
        {f"pools/{pool}"},
        capacity_without(context, {replica.replica_id}),
        longest_deadline_s(context),
        (CONCURRENT_CHANGE, WAIT_LIMIT_EXCEEDED),
    )


@register_intent("undrain_replica", ReplicaArguments)
async def undrain_replica(
    context: PlanningContext, arguments: ReplicaArguments
) -> PlanDraft:
    pool, replica = find_replica(context.configuration, arguments.replica_id)
    if not replica.draining:
        raise InvalidRequest(f"{replica.replica_id} is not draining")
    builder = StepBuilder(context.objects)
    builder.set_draining(pool, replica.replica_id, False)
    return PlanDraft(builder.steps, {f"pools/{pool}"}, {}, 1.0, (CONCURRENT_CHANGE,))
