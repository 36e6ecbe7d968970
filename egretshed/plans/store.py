"""Rows of plans in the platform's table.

`plans/active` lists the confirmed plans that have not ended, with what they reserve,
and the failure domains that plans took out. Confirmation is conditional on its version,
so that two operators at two nodes cannot both reserve the same object.
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

ACTIVE_KEY = "plans/active"
PLAN_PREFIX = "plans/"
SCAN_ROWS = 500
WRITE_ATTEMPTS = 4
WRITE_ID_BITS = 64


class StoredPlan(NamedTuple):
    plan: Plan
    version: int

    def condition(self) -> Condition:
        return Condition(plan_key(self.plan.plan_id), self.version)


class Active(NamedTuple):
    """Confirmed plans that have not ended, and the failure domains out of service.

    `plans` maps plan ids to {intent, operator, objects}; `domains_out` maps a failure
    domain to {plan_id, version}: the plan that takes it out, and the configuration
    version from which on a snapshot shows it.
    """

    plans: dict[str, dict[str, Any]]
    domains_out: dict[str, dict[str, Any]]
    version: int

    def condition(self) -> Condition:
        return Condition(ACTIVE_KEY, self.version)

    def write(self) -> Write:
        return Write(ACTIVE_KEY, {"plans": self.plans, "domains_out": self.domains_out})


def plan_key(plan_id: str) -> str:
    return f"{PLAN_PREFIX}{plan_id}"


def read_active(row: Row | None) -> Active:
    if row is None:
        return Active({}, {}, ABSENT_VERSION)
    return Active(row.value["plans"], row.value["domains_out"], row.version)


class PlanStore:
    def __init__(self, env: Environment, table: TableService):
        self.env = env
        self.table = table

    async def read(self, plan_id: str) -> tuple[StoredPlan, Active]:
        """Return the plan and the active list as of one read."""
        rows = await self.table.read([plan_key(plan_id), ACTIVE_KEY])
        row = rows.get(plan_key(plan_id))
        if row is None or plan_id == "active":
            raise NotFound(f"plan {plan_id!r} does not exist", plan_id=plan_id)
        return StoredPlan(read_plan(row.value), row.version), read_active(
            rows.get(ACTIVE_KEY)
        )

    async def all_plans(self) -> list[Plan]:
        plans: list[Plan] = []
        after = ""
        while True:
            rows = await self.table.scan(PLAN_PREFIX, after, SCAN_ROWS)
            plans += [read_plan(row.value) for row in rows if row.key != ACTIVE_KEY]
            if len(rows) < SCAN_ROWS:
                return plans
            after = rows[-1].key

    async def write(
        self,
        plan: Plan,
        conditions: list[Condition],
        writes: tuple[Write, ...] = (),
    ) -> Plan:
        """Write `plan` and `writes` all or nothing and return the plan as written.

        A lost reply is resolved by reading the plan's row back. Repeating the
        transaction is safe, since its conditions fail if the first one took effect.
        Raises `TableConflict`, `TableUnavailable`, or `TableOutcomeUnknown` if the
        table cannot be read back.
        """
        write_id = f"{self.env.random.getrandbits(WRITE_ID_BITS):016x}"
        plan = plan._replace(write_id=write_id)
        row = Write(plan_key(plan.plan_id), to_object(plan))
        in_doubt = False
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self.table.transact(conditions, [row, *writes])
                return plan
            except TableConflict:
                if in_doubt and await self._holds(plan):
                    return plan
                raise
            except TableOutcomeUnknown:
                in_doubt = True
                if await self._holds(plan):
                    return plan
        raise TableOutcomeUnknown(
            f"whether plan {plan.plan_id} was written is unknown", plan_id=plan.plan_id
        )

    async def _holds(self, plan: Plan) -> bool:
        key = plan_key(plan.plan_id)
        try:
            row = (await self.table.read([key])).get(key)
        except TableUnavailable as cause:
            raise TableOutcomeUnknown("the table cannot be read back") from cause
        return row is not None and row.value["write_id"] == plan.write_id
