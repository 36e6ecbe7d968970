"""Plans as stored in the table, and the digest that a confirmation is bound to."""

import hashlib
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from egretshed.errors import EgretshedError
from egretshed.records import (
    read_record,
    to_object,
)

DIGEST_BYTES = 16
ENDED_STATES = frozenset({"done", "aborted", "stopped"})


class Step(NamedTuple):
    """One step; `state` is pending, running or done.

    `arguments` are those of the action, `precondition` says what holds before it runs.
    """

    step_id: str
    action: str
    description: str
    arguments: dict[str, Any] = {}
    precondition: str = ""
    state: str = "pending"
    detail: str = ""


class Plan(NamedTuple):
    """What an operator confirms and the executor carries out.

    `objects` maps the ids that the plan reserves to the digests of their bodies at
    `base_version`. `least_capacity` and `present_load` count slots and calls by pool.
    `state` is proposed, confirmed, paused, done, aborted or stopped; `control` is what
    an operator asked for since: pause, abort or nothing. `write_id` tells whose write
    the row holds after a lost reply.
    """

    plan_id: str
    intent: str
    arguments: dict[str, Any]
    operator: str
    base_version: int
    objects: dict[str, str]
    steps: tuple[Step, ...]
    least_capacity: dict[str, int]
    present_load: dict[str, int]
    expected_s: float
    stop_conditions: tuple[str, ...]
    domains_out: tuple[str, ...] = ()
    digest: str = ""
    state: str = "proposed"
    control: str = ""
    reason: str = ""
    confirmed_by: str = ""
    accepts_low_capacity: bool = False
    configuration_version: int = 0
    write_id: str = ""

    def next_step(self) -> Step | None:
        return next((step for step in self.steps if step.state != "done"), None)

    def with_step(self, changed: Step) -> "Plan":
        steps = tuple(
            changed if step.step_id == changed.step_id else step for step in self.steps
        )
        return self._replace(steps=steps)

    def low_pools(self, load: dict[str, int]) -> list[str]:
        """Return the pools whose least capacity is below `load`."""
        return [
            pool
            for pool, slots in sorted(self.least_capacity.items())
            if slots < load.get(pool, 0)
        ]


BOUND_FIELDS = (
    "plan_id",
    "intent",
    "arguments",
    "operator",
    "base_version",
    "objects",
    "least_capacity",
    "present_load",
    "expected_s",
    "stop_conditions",
    "domains_out",
)


def digest_of(value: Any) -> str:
    """Return the blake2b digest (hex) of the canonical JSON of `value`."""
    body = msgspec.json.encode(to_object(value), order="deterministic")
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def plan_digest(plan: Plan) -> str:
    """Return the digest of everything but the plan's progress."""
    bound = {name: getattr(plan, name) for name in BOUND_FIELDS}
    bound["steps"] = [step._replace(state="", detail="") for step in plan.steps]
    return digest_of(bound)


def read_plan(raw: Any) -> Plan:
    """Return the plan stored as `raw`; a row that is no plan raises."""
    faults: list = []
    plan = read_record(raw, Plan, "plan", faults)
    if plan is None:
        raise EgretshedError(
            "stored plan is malformed", faults=[str(f) for f in faults]
        )
    return plan
