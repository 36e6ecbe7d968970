"""Lease of the plan executor, with a fencing number that rises with each holder.

The holder measures the lease from the time it sent the renewal. Other nodes measure it
from the time they first read the renewed row, and wait one order timeout longer. Only
durations are compared, so clocks need not be synchronised, and the lease always ends
at its holder before another node takes it.
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
    """This node does not hold the executor lease, or not for long enough."""

    code = "lease_lost"
    http_status = 409


class _HeldLease(NamedTuple):
    """The lease as last written by this node; `beat` numbers its writes."""

    fencing_number: int
    beat: int
    version: int
    expires_at_s: float


class ExecutorLease:
    """Acquires, renews and releases the lease row for this node."""

    def __init__(self, env: Environment, table: TableService):
        self.env = env
        self.table = table
        self._held: _HeldLease | None = None
        self._observed_version = -1
        self._observed_at_s = 0.0

    @property
    def is_held(self) -> bool:
        return self._held is not None

    @property
    def fencing_number(self) -> int:
        return self._require_held().fencing_number

    def condition(self) -> Condition:
        """Return a condition that fails once another node has taken the lease."""
        return Condition(LEASE_KEY, self._require_held().version)

    def remaining_s(self) -> float:
        """Return the time until expiry, or 0 if this node does not hold the lease."""
        if self._held is None:
            return 0.0
        return self._held.expires_at_s - self.env.clock.monotonic_s()

    def drop(self) -> None:
        """Stop treating the lease as held, without writing to the table."""
        self._held = None

    def require_time_for_order(self) -> None:
        """Raise `LeaseLost` if the lease may expire before an order has timed out."""
        if self.remaining_s() < self.env.settings.plans.order_timeout_s:
            raise LeaseLost("the executor lease expires before the order timeout")

    async def acquire(self) -> bool:
        """Take the lease if it is free and return whether this node holds it.

        A lease whose holder stopped without releasing it is found to be expired only
        by repeated calls, which see that its row no longer changes.
        """
        row = (await self.table.read([LEASE_KEY])).get(LEASE_KEY)
        if not self._is_free(row):
            return False
        fencing_number = row.value["fencing_number"] + 1 if row else 1
        version = row.version if row else ABSENT_VERSION
        return await self._write(fencing_number, 1, version)

    async def renew(self) -> None:
        """Extend the lease; raise `LeaseLost` if another node has taken it."""
        held = self._require_held()
        if not await self._write(held.fencing_number, held.beat + 1, held.version):
            self.drop()
            raise LeaseLost("another node holds the executor lease")

    async def verify(self) -> None:
        """Read the lease row; raise `LeaseLost` if another node has written it."""
        row = (await self.table.read([LEASE_KEY])).get(LEASE_KEY)
        if row is None or row.version != self._require_held().version:
            self.drop()
            raise LeaseLost("another node holds the executor lease")

    async def release(self) -> None:
        """Mark the lease as released, so that another node need not wait for expiry."""
        held = self._require_held()
        self.drop()
        value = self._value(held.fencing_number, held.beat + 1, released=True)
        condition = Condition(LEASE_KEY, held.version)
        await self.table.transact([condition], [Write(LEASE_KEY, value)])

    def _is_free(self, row: Row | None) -> bool:
        if row is None or row.value["released"]:
            return True
        now_s = self.env.clock.monotonic_s()
        if row.version != self._observed_version:
            self._observed_version = row.version
            self._observed_at_s = now_s
        plans = self.env.settings.plans
        return now_s - self._observed_at_s >= plans.lease_s + plans.order_timeout_s

    async def _write(self, fencing_number: int, beat: int, version: int) -> bool:
        """Write the lease over row `version` and return whether this node holds it.

        After a lost reply the row is read back, since each write has a distinct value.
        """
        sent_s = self.env.clock.monotonic_s()
        value = self._value(fencing_number, beat, released=False)
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
                return row is not None and self._still_holds(
                    row, fencing_number, version
                )
        expires_at_s = sent_s + self.env.settings.plans.lease_s
        self._held = _HeldLease(fencing_number, beat, row_version, expires_at_s)
        return True

    def _still_holds(self, row: Row, fencing_number: int, version: int) -> bool:
        """Whether the row is unchanged after a renewal that was not written.

        The lease then still belongs to this node, with its previous expiry.
        """
        held = self._held
        return (
            held is not None
            and held.fencing_number == fencing_number
            and row.version == version
        )

    def _value(self, fencing_number: int, beat: int, released: bool) -> dict:
        identity = self.env.identity
        return {
            "node_id": identity.node_id,
            "incarnation": identity.incarnation,
            "fencing_number": fencing_number,
            "beat": beat,
            "lease_s": self.env.settings.plans.lease_s,
            "released": released,
        }

    def _require_held(self) -> _HeldLease:
        if self._held is None:
            raise LeaseLost("this node does not hold the executor lease")
        return self._held
