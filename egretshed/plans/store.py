"""Plans as rows of the platform's table.

The row `plans/active` lists the confirmed plans that have not ended, with the objects
that they reserve, and the failure domains that plans have taken out. A confirmation is
conditional on the version of this row, so that two operators at two nodes cannot both
reserve the same object.
"""

from typing import (
    Any,
    NamedTuple,
)

from egretshed.environment import Environment
from egretshed.errors import (
    NotFound,
    TableConflict,
    TableOutcomeUnknown,
    TableUnavailable,
)
from egretshed.plans.model import (
    Plan,
    read_plan,
)
from egretshed.platform.interface import (
    ABSENT_VERSION,
    Condition,
    Row,
    TableService,
    Write,
)
from egretshed.records import to_object

ACTIVE_PLANS_KEY = "plans/active"
PLAN_PREFIX = "plans/"
SCAN_PAGE_ROWS = 500
WRITE_ATTEMPTS = 4
WRITE_ID_BITS = 64


class StoredPlan(NamedTuple):
    """A plan and the version of its row."""

    plan: Plan
    version: int

    def condition(self) -> Condition:
        return Condition(plan_key(self.plan.plan_id), self.version)


class ActivePlans(NamedTuple):
    """Confirmed plans that have not ended, and the failure domains out of service.

    `plans` maps plan ids to {intent, operator, objects}. `domains_out` maps a failure
    domain to {plan_id, version}: the plan that takes it out, and the first
    configuration version that can show it as out. `version` is that of the row.
    """

    plans: dict[str, dict[str, Any]]
    domains_out: dict[str, dict[str, Any]]
    version: int

    def condition(self) -> Condition:
        return Condition(ACTIVE_PLANS_KEY, self.version)

    def write(self) -> Write:
        return Write(
            ACTIVE_PLANS_KEY, {"plans": self.plans, "domains_out": self.domains_out}
        )


def plan_key(plan_id: str) -> str:
    return f"{PLAN_PREFIX}{plan_id}"


def read_active_plans(row: Row | None) -> ActivePlans:
    """Return the content of the row `plans/active`, which may not exist yet."""
    if row is None:
        return ActivePlans({}, {}, ABSENT_VERSION)
    return ActivePlans(row.value["plans"], row.value["domains_out"], row.version)


class PlanStore:
    """Reads and writes plans; writes are conditional on row versions."""

    def __init__(self, env: Environment, table: TableService):
        self.env = env
        self.table = table

    async def read(self, plan_id: str) -> tuple[StoredPlan, ActivePlans]:
        """Return the plan and the active plans from one read; raise `NotFound`."""
        rows = await self.table.read([plan_key(plan_id), ACTIVE_PLANS_KEY])
        row = rows.get(plan_key(plan_id))
        if row is None or plan_id == "active":
            raise NotFound(f"plan {plan_id!r} does not exist", plan_id=plan_id)
        return StoredPlan(read_plan(row.value), row.version), read_active_plans(
            rows.get(ACTIVE_PLANS_KEY)
        )

    async def all_plans(self) -> list[Plan]:
        """Return all stored plans, also those that have ended."""
        plans: list[Plan] = []
        after = ""
        while True:
            rows = await self.table.scan(PLAN_PREFIX, after, SCAN_PAGE_ROWS)
            plans += [
                read_plan(row.value) for row in rows if row.key != ACTIVE_PLANS_KEY
            ]
            if len(rows) < SCAN_PAGE_ROWS:
                return plans
            after = rows[-1].key

    async def write(
        self,
        plan: Plan,
        conditions: list[Condition],
        writes: tuple[Write, ...] = (),
    ) -> Plan:
        """Write `plan` and `writes` in one transaction; return the plan as written.

        A lost reply is resolved by reading the plan's row back. The transaction can be
        retried, since its conditions fail if the first attempt took effect. Raises
        `TableConflict`, `TableUnavailable`, or `TableOutcomeUnknown` if the table
        cannot be read back or each attempt loses its reply.
        """
        write_id = f"{self.env.random.getrandbits(WRITE_ID_BITS):016x}"
        plan = plan._replace(write_id=write_id)
        row = Write(plan_key(plan.plan_id), to_object(plan))
        outcome_unknown = False
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self.table.transact(conditions, [row, *writes])
                return plan
            except TableConflict:
                if outcome_unknown and await self._is_stored(plan):
                    return plan
                raise
            except TableOutcomeUnknown:
                outcome_unknown = True
                if await self._is_stored(plan):
                    return plan
        raise TableOutcomeUnknown(
            f"unknown whether plan {plan.plan_id} was written", plan_id=plan.plan_id
        )

    async def _is_stored(self, plan: Plan) -> bool:
        """Whether the row of `plan` has the id of this write."""
        key = plan_key(plan.plan_id)
        try:
            row = (await self.table.read([key])).get(key)
        except TableUnavailable as cause:
            raise TableOutcomeUnknown(
                "the table cannot be read to check a write"
            ) from cause
        return row is not None and row.value["write_id"] == plan.write_id
