"""Plans as stored in the table, and the digest that a confirmation has to match."""

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
FINAL_STATES = frozenset({"done", "aborted", "stopped"})


class Step(NamedTuple):
    """One step of a plan; `state` is pending, running or done.

    `arguments` are passed to the action. `precondition` tells operators what has to
    hold before the step runs, `detail` the result of its latest attempt.
    """

    step_id: str
    action: str
    description: str
    arguments: dict[str, Any] = {}
    precondition: str = ""
    state: str = "pending"
    detail: str = ""


class Plan(NamedTuple):
    """A sequence of steps that an operator confirms and the executor carries out.

    `objects` maps the ids that the plan reserves to the digests of their bodies at
    `base_version`. `least_capacity` is the lowest number of slots of each pool while
    the plan runs, `present_load` the calls of each pool when it was computed.
    `state` is proposed, confirmed, running, paused, done, aborted or stopped; `control`
    is the latest request of an operator: pause, abort or empty. `write_id` identifies
    the latest write of the row, so that a writer whose reply was lost can tell whether
    its write took effect.
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
        """Return the first step that is not done, or None."""
        return next((step for step in self.steps if step.state != "done"), None)

    def with_step(self, changed: Step) -> "Plan":
        steps = tuple(
            changed if step.step_id == changed.step_id else step for step in self.steps
        )
        return self._replace(steps=steps)

    def pools_below(self, load: dict[str, int]) -> list[str]:
        """Return the pools whose lowest capacity is below their `load`."""
        return [
            pool
            for pool, slots in sorted(self.least_capacity.items())
            if slots < load.get(pool, 0)
        ]


DIGEST_FIELDS = (
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
    """Return the digest of what an operator confirms: all but the plan's progress."""
    confirmed = {name: getattr(plan, name) for name in DIGEST_FIELDS}
    confirmed["steps"] = [step._replace(state="", detail="") for step in plan.steps]
    return digest_of(confirmed)


def read_plan(raw: Any) -> Plan:
    """Return the plan stored as `raw`; raise `EgretshedError` if it is malformed."""
    faults: list = []
    plan = read_record(raw, Plan, "plan", faults)
    if plan is None:
        raise EgretshedError(
            "stored plan is malformed", faults=[str(f) for f in faults]
        )
    return plan
