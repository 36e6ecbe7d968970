"""Intents: the operations that an operator can propose as a plan.

An intent is registered under a name as a function that takes a `PlanningContext` and
its arguments and returns a `PlanDraft`.
"""

from collections.abc import (
    Awaitable,
    Callable,
)
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from egretshed.configuration.schema import (
    Configuration,
    ObjectBody,
    ObjectId,
    Replica,
)
from egretshed.environment import Environment
from egretshed.errors import NotFound
from egretshed.plans.capacity import remaining_slots
from egretshed.plans.model import Step
from egretshed.platform.interface import (
    WeightStore,
)
from egretshed.registry import Registry

# Reserved by plans that download weights, so that only one of them runs at a time.
WEIGHT_STORE_ID = "weight_store"


class PlanningContext(NamedTuple):
    """State of the system that plans are computed from, as seen by one node."""

    env: Environment
    configuration: Configuration
    objects: dict[ObjectId, ObjectBody]
    weights: WeightStore
    node_ids: tuple[str, ...]


class PlanDraft(NamedTuple):
    """Steps of a plan and the ids of the objects that it reserves.

    `least_capacity` is the lowest number of slots of each pool while the plan runs.
    """

    steps: list[Step]
    reserved_ids: set[str]
    least_capacity: dict[str, int]
    expected_s: float
    stop_conditions: tuple[str, ...]


PlanningFunction = Callable[[PlanningContext, Any], Awaitable[PlanDraft]]


class IntentEntry(NamedTuple):
    """An intent's function and the `NamedTuple` type of its JSON arguments."""

    arguments_type: type
    compute_draft: PlanningFunction


INTENTS: Registry[IntentEntry] = Registry("intent")

CONCURRENT_CHANGE = "an object of the plan was changed by someone else"
ORDER_FAILED = "an order fails or is refused repeatedly"
WAIT_LIMIT_EXCEEDED = "a wait takes longer than plans.wait_limit_s"


def register_intent(
    name: str, arguments_type: type
) -> Callable[[PlanningFunction], PlanningFunction]:
    """Return a decorator that registers the function of an intent."""

    def add(compute_draft: PlanningFunction) -> PlanningFunction:
        INTENTS.register(name)(IntentEntry(arguments_type, compute_draft))
        return compute_draft

    return add


def load_intents() -> None:
    """Import the modules that register intents."""
    from egretshed.plans import (  # noqa: F401
        domain_intents,
        server_intents,
    )


class StepBuilder:
    """Builds the steps of a plan and numbers them.

    `objects` are those after the steps added so far, so that a configuration step can
    build on the changes of earlier ones.
    """

    def __init__(self, objects: dict[ObjectId, ObjectBody]):
        self.steps: list[Step] = []
        self.objects = dict(objects)

    def add(
        self, action: str, description: str, precondition: str = "", **arguments: Any
    ) -> None:
        step_id = f"{len(self.steps) + 1:03d}"
        self.steps.append(Step(step_id, action, description, arguments, precondition))

    def change_objects(
        self, description: str, changes: dict[ObjectId, ObjectBody | None]
    ) -> None:
        """Add a configuration step with each object's body before and after it.

        A body of None stands for an object that does not exist.
        """
        before = {object_id: self.objects.get(object_id) for object_id in changes}
        for object_id, body in changes.items():
            self.objects[object_id] = body
        self.add(
            "configuration",
            description,
            "objects are as planned",
            before=before,
            changes=changes,
        )

    def set_draining(self, pool: str, replica_id: str, draining: bool) -> None:
        body = msgspec.json.decode(msgspec.json.encode(self.objects[f"pools/{pool}"]))
        for replica in body["replicas"]:
            if replica["replica_id"] == replica_id:
                replica["draining"] = draining
        verb = "Stop" if draining else "Allow"
        self.change_objects(f"{verb} new work on {replica_id}", {f"pools/{pool}": body})

    def take_out_of_service(self, pool: str, replica_id: str) -> None:
        """Add steps that check capacity, drain the replica and wait until idle."""
        self.add(
            "check_capacity",
            f"Check that {pool} carries its load without {replica_id}",
            "calls in the pool fit the slots of its other replicas",
            pool=pool,
            replica_id=replica_id,
        )
        self.set_draining(pool, replica_id, True)
        self.wait_idle([replica_id])

    def wait_idle(self, replica_ids: list[str]) -> None:
        """Add a step that waits until the replicas have no running or queued calls."""
        names = ", ".join(replica_ids)
        self.add(
            "wait_idle", f"Wait for running calls on {names}", replicas=replica_ids
        )


def find_replica(configuration: Configuration, replica_id: str) -> tuple[str, Replica]:
    """Return the pool's name and the replica; raise `NotFound`."""
    for name, pool in configuration.pools.items():
        for replica in pool.replicas:
            if replica.replica_id == replica_id:
                return name, replica
    raise NotFound(f"replica {replica_id!r} is not declared")


def require_object(context: PlanningContext, object_id: ObjectId) -> ObjectBody:
    """Return the object's body; raise `NotFound`."""
    body = context.objects.get(object_id)
    if body is None:
        raise NotFound(f"{object_id} is not declared", object=object_id)
    return body


def capacity_without(context: PlanningContext, replica_ids: set[str]) -> dict[str, int]:
    """Return the slots of each pool of `replica_ids` while all of them are removed."""
    configuration = context.configuration
    return {
        name: remaining_slots(
            configuration, pool, lambda replica: replica.replica_id in replica_ids
        )
        for name, pool in configuration.pools.items()
        if any(replica.replica_id in replica_ids for replica in pool.replicas)
    }


def longest_deadline_s(context: PlanningContext) -> float:
    """Return the longest deadline of a request kind, which bounds any running call."""
    kinds = context.configuration.kinds.values()
    return max((kind.deadline_s for kind in kinds), default=0.0)
