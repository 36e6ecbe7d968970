"""The executor's lease and its rising fencing number.

The holder counts its lease from when it sent the renewal; another node counts it from
when it read the row, and waits one order timeout more. Both use durations only, so
clocks need not agree, and the holder always stops first.
"""

from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.errors import (
    EgretshedError,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.platform.interface import (
    ABSENT_VERSION,
    Condition,
    Row,
    TableService,
    Write,
)

LEASE_KEY = "leases/executor"


class LeaseLost(EgretshedError):
    """This node may not act as executor any more."""

    code = "lease_lost"
    http_status = 409


class _Held(NamedTuple):
    fencing_number: int
    beat: int
    version: int
    until_s: float


class ExecutorLease:
    """This node's view of the lease row."""

    def __init__(self, env: Environment, table: TableService):
        self.env = env
        self.table = table
        self._held: _Held | None = None
        self._seen_version = -1
        self._seen_s = 0.0

    @property
    def is_held(self) -> bool:
        return self._held is not None

    @property
    def fencing_number(self) -> int:
        return self._require_held().fencing_number

    def condition(self) -> Condition:
        """Hold only while no other node has taken the lease."""
        return Condition(LEASE_KEY, self._require_held().version)

    def left_s(self) -> float:
        if self._held is None:
            return 0.0
        return self._held.until_s - self.env.clock.monotonic_s()

    def drop(self) -> None:
        self._held = None

    def require_time_for_order(self) -> None:
        """Raise `LeaseLost` unless the lease outlasts one order."""
        if self.left_s() < self.env.settings.plans.order_timeout_s:
            raise LeaseLost("the lease ends before an order could")

    async def acquire(self) -> bool:
        """Take the lease if it is free; repeated calls observe when it ends."""
        row = (await self.table.read([LEASE_KEY])).get(LEASE_KEY)
        if not self._is_free(row):
            return False
        number = row.value["fencing_number"] + 1 if row else 1
        version = row.version if row else ABSENT_VERSION
        return await self._write(number, 1, version)

    async def renew(self) -> None:
        """Extend the lease; raise `LeaseLost` if another node has taken it."""
        held = self._require_held()
        if not await self._write(held.fencing_number, held.beat + 1, held.version):
            self.drop()
            raise LeaseLost("another node holds the executor lease")

    async def verify(self) -> None:
        """Read the lease row; raise `LeaseLost` unless it is this node's."""
        row = (await self.table.read([LEASE_KEY])).get(LEASE_KEY)
        if row is None or row.version != self._require_held().version:
            self.drop()
            raise LeaseLost("another node holds the executor lease")

    async def release(self) -> None:
        """Let the next executor start without waiting."""
        held = self._require_held()
        self.drop()
        value = self._value(held.fencing_number, held.beat + 1, released=True)
        condition = Condition(LEASE_KEY, held.version)
        await self.table.transact([condition], [Write(LEASE_KEY, value)])

    def _is_free(self, row: Row | None) -> bool:
        if row is None or row.value["released"]:
            return True
        now_s = self.env.clock.monotonic_s()
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_s = now_s
        plans = self.env.settings.plans
        return now_s - self._seen_s >= plans.lease_s + plans.order_timeout_s

    async def _write(self, number: int, beat: int, version: int) -> bool:
        sent_s = self.env.clock.monotonic_s()
        value = self._value(number, beat, released=False)
        row_version = version + 1
        try:
            await self.table.transact(
                [Condition(LEASE_KEY, version)], [Write(LEASE_KEY, value)]
            )
        except TableConflict:
            return False
        except TableOutcomeUnknown:
            row = (await self.table.read([LEASE_KEY])).get(LEASE_KEY)
            if row is None or row.value != value:
                return row is not None and self._is_own(row, number, version)
        until_s = sent_s + self.env.settings.plans.lease_s
        self._held = _Held(number, beat, row_version, until_s)
        return True

    def _is_own(self, row: Row, number: int, version: int) -> bool:
        """Whether the renewal was not written and the lease is still this node's."""
        held = self._held
        return (
            held is not None
            and held.fencing_number == number
            and row.version == version
        )

    def _value(self, number: int, beat: int, released: bool) -> dict:
        identity = self.env.identity
        return {
            "node_id": identity.node_id,
            "incarnation": identity.incarnation,
            "fencing_number": number,
            "beat": beat,
            "lease_s": self.env.settings.plans.lease_s,
            "released": released,
        }

    def _require_held(self) -> _Held:
        if self._held is None:
            raise LeaseLost("this node does not hold the executor lease")
        return self._held
