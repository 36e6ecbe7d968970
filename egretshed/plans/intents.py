"""What operators can intend; each intent computes the steps of a plan.

An intent is a function of a `PlanningContext` and its arguments that returns a `Draft`.
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
from egretshed.plans.capacity import slots_without
from egretshed.plans.model import Step
from egretshed.platform.interface import (
    WeightStore,
)
from egretshed.registry import Registry

WEIGHT_STORE = "weight_store"


class PlanningContext(NamedTuple):
    env: Environment
    configuration: Configuration
    objects: dict[ObjectId, ObjectBody]
    weights: WeightStore
    node_ids: tuple[str, ...]


class Draft(NamedTuple):
    """Steps and what they reserve; `least_slots` has the worst moment by pool."""

    steps: list[Step]
    reserves: set[str]
    least_slots: dict[str, int]
    expected_s: float
    stop_conditions: tuple[str, ...]


Intent = Callable[[PlanningContext, Any], Awaitable[Draft]]


class IntentEntry(NamedTuple):
    """An intent and the `NamedTuple` that its JSON arguments are checked against."""

    arguments: type
    draft: Intent


INTENTS: Registry[IntentEntry] = Registry("intent")

CHANGED_MEANWHILE = "an object of the plan was changed by someone else"
ORDER_FAILED = "an order fails or is refused repeatedly"
WAIT_EXCEEDED = "a wait takes longer than plans.wait_limit_s"


def intent(name: str, arguments: type) -> Callable[[Intent], Intent]:
    def add(draft: Intent) -> Intent:
        INTENTS.register(name)(IntentEntry(arguments, draft))
        return draft

    return add


def load_intents() -> None:
    """Import the modules that register intents."""
    from egretshed.plans import (  # noqa: F401
        domain_intents,
        server_intents,
    )


class StepList:
    """Collects steps with ids; configuration steps see the changes before them."""

    def __init__(self, objects: dict[ObjectId, ObjectBody]):
        self.steps: list[Step] = []
        self.objects = dict(objects)

    def add(
        self, action: str, description: str, precondition: str = "", **arguments: Any
    ) -> None:
        step_id = f"{len(self.steps) + 1:03d}"
        self.steps.append(Step(step_id, action, description, arguments, precondition))

    def change(
        self, description: str, changes: dict[ObjectId, ObjectBody | None]
    ) -> None:
        """Add a configuration step that holds each object before and after it."""
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
        self.change(f"{verb} new work on {replica_id}", {f"pools/{pool}": body})

    def take_out(self, pool: str, replica_id: str) -> None:
        """Add the steps after which the replica has no work."""
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
    body = context.objects.get(object_id)
    if body is None:
        raise NotFound(f"{object_id} is not declared", object=object_id)
    return body


def least_without(context: PlanningContext, replica_ids: set[str]) -> dict[str, int]:
    """Return the slots of the pools concerned while all of `replica_ids` are out."""
    configuration = context.configuration
    return {
        name: slots_without(
            configuration, pool, lambda replica: replica.replica_id in replica_ids
        )
        for name, pool in configuration.pools.items()
        if any(replica.replica_id in replica_ids for replica in pool.replicas)
    }


def longest_call_s(context: PlanningContext) -> float:
    """Return the longest time that a call running now may take."""
    kinds = context.configuration.kinds.values()
    return max((kind.deadline_s for kind in kinds), default=0.0)
