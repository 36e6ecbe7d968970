"""Intents that send orders to backend servers, one replica at a time."""

from typing import NamedTuple

from egretshed.configuration.schema import Replica
from egretshed.errors import (
    InvalidRequest,
    NotFound,
)
from egretshed.plans.intents import (
    CHANGED_MEANWHILE,
    ORDER_FAILED,
    WAIT_EXCEEDED,
    WEIGHT_STORE,
    Draft,
    PlanningContext,
    StepList,
    find_replica,
    intent,
    least_without,
    longest_call_s,
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


@intent("load_model", ModelArguments)
async def load_model(context: PlanningContext, arguments: ModelArguments) -> Draft:
    pool_id = f"pools/{arguments.pool}"
    require_object(context, pool_id)
    model_id = f"models/{arguments.model}"
    model = require_object(context, model_id)
    weights = await _weights(context, arguments.model, arguments.version)
    rate = await context.weights.rate_bytes_per_s()
    if rate <= 0:
        raise InvalidRequest("the weight store allows no downloads now")
    pool = context.configuration.pools[arguments.pool]
    steps = StepList(context.objects)
    for replica in pool.replicas:
        _load_on(steps, arguments, replica, weights)
    changed = {**model, "version": arguments.version}
    steps.change(f"Declare {arguments.model} {arguments.version}", {model_id: changed})
    # One replica is out at a time; the check before each keeps the load carried even
    # while the replicas loaded before it are cold.
    in_service = filter(context.configuration.is_in_service, pool.replicas)
    others = max(0, len(list(in_service)) - 1)
    least = {arguments.pool: others * pool.warm_slots}
    load_s = weights.size_bytes / rate + longest_call_s(context)
    return Draft(
        steps.steps,
        {pool_id, model_id, WEIGHT_STORE},
        least,
        load_s * len(pool.replicas),
        (CHANGED_MEANWHILE, ORDER_FAILED, WAIT_EXCEEDED),
    )


def _load_on(
    steps: StepList, arguments: ModelArguments, replica: Replica, weights: WeightVersion
) -> None:
    if not replica.draining:
        steps.take_out(arguments.pool, replica.replica_id)
    what = {"model": arguments.model, "version": arguments.version}
    steps.add(
        "order",
        f"Load {arguments.model} {arguments.version} on {replica.replica_id}",
        "the replica has no running calls",
        replica_id=replica.replica_id,
        order="load_model",
        arguments=what,
    )
    steps.add(
        "wait_model",
        f"Wait until {replica.replica_id} reports {arguments.version}",
        replica_id=replica.replica_id,
        size_bytes=weights.size_bytes,
        **what,
    )
    if not replica.draining:
        steps.set_draining(arguments.pool, replica.replica_id, False)


async def _weights(context: PlanningContext, model: str, version: str) -> WeightVersion:
    versions = await context.weights.versions(model)
    for candidate in versions:
        if candidate.version == version:
            return candidate
    known = ", ".join(candidate.version for candidate in versions)
    raise NotFound(f"model {model} has no version {version!r}; known: {known}")


@intent("load_adapter", AdapterArguments)
async def load_adapter(context: PlanningContext, arguments: AdapterArguments) -> Draft:
    pool_id = f"pools/{arguments.pool}"
    require_object(context, pool_id)
    pool = context.configuration.pools[arguments.pool]
    model_id = f"models/{pool.model}"
    model = require_object(context, model_id)
    steps = StepList(context.objects)
    for replica in pool.replicas:
        steps.add(
            "order",
            f"Load adapter {arguments.adapter} on {replica.replica_id}",
            replica_id=replica.replica_id,
            order="load_adapter",
            arguments={"model": pool.model, "adapter": arguments.adapter},
        )
    adapters = sorted({*model.get("adapters", ()), arguments.adapter})
    changed = {**model, "adapters": adapters}
    steps.change(f"Declare adapter {arguments.adapter}", {model_id: changed})
    seconds = context.env.settings.plans.order_timeout_s * len(pool.replicas)
    reserves = {pool_id, model_id, WEIGHT_STORE}
    return Draft(steps.steps, reserves, {}, seconds, (CHANGED_MEANWHILE, ORDER_FAILED))


@intent("change_role", RoleArguments)
async def change_role(context: PlanningContext, arguments: RoleArguments) -> Draft:
    source, replica = find_replica(context.configuration, arguments.replica_id)
    target = arguments.pool
    target_body = require_object(context, f"pools/{target}")
    if source == target:
        raise InvalidRequest(f"{replica.replica_id} is in pool {target} already")
    steps = StepList(context.objects)
    steps.take_out(source, replica.replica_id)
    steps.add(
        "order",
        f"Give {replica.replica_id} the role of pool {target}",
        "the replica has no running calls",
        replica_id=replica.replica_id,
        order="change_role",
        arguments={"role": context.configuration.pools[target].role},
    )
    source_body = steps.objects[f"pools/{source}"]
    kept = [r for r in source_body["replicas"] if r["replica_id"] != replica.replica_id]
    moved = to_object(replica._replace(draining=False))
    steps.change(
        f"Move {replica.replica_id} from {source} to {target}",
        {
            f"pools/{source}": {**source_body, "replicas": kept},
            f"pools/{target}": {
                **target_body,
                "replicas": [*target_body["replicas"], moved],
            },
        },
    )
    return Draft(
        steps.steps,
        {f"pools/{source}", f"pools/{target}"},
        least_without(context, {replica.replica_id}),
        longest_call_s(context) + context.env.settings.plans.order_timeout_s,
        (CHANGED_MEANWHILE, ORDER_FAILED, WAIT_EXCEEDED),
    )


@intent("drain_replica", ReplicaArguments)
async def drain_replica(context: PlanningContext, arguments: ReplicaArguments) -> Draft:
    pool, replica = find_replica(context.configuration, arguments.replica_id)
    if replica.draining:
        raise InvalidRequest(f"{replica.replica_id} is draining already")
    steps = StepList(context.objects)
    steps.set_draining(pool, replica.replica_id, True)
    steps.wait_idle([replica.replica_id])
    return Draft(
        steps.steps,
        {f"pools/{pool}"},
        least_without(context, {replica.replica_id}),
        longest_call_s(context),
        (CHANGED_MEANWHILE, WAIT_EXCEEDED),
    )


@intent("undrain_replica", ReplicaArguments)
async def undrain_replica(
    context: PlanningContext, arguments: ReplicaArguments
) -> Draft:
    pool, replica = find_replica(context.configuration, arguments.replica_id)
    if not replica.draining:
        raise InvalidRequest(f"{replica.replica_id} is not draining")
    steps = StepList(context.objects)
    steps.set_draining(pool, replica.replica_id, False)
    return Draft(steps.steps, {f"pools/{pool}"}, {}, 1.0, (CHANGED_MEANWHILE,))
