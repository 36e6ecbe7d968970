"""Writes claims to the table in groups and decides those whose write is in doubt.

A claim whose write may have taken effect, or may still do so, is decided only by its
own row. An absent row decides nothing, since the write may still be in flight. The same
token is written again, on the condition that the row is absent. If that succeeds, this
process owns the claim and the first write can no longer take effect. If it conflicts,
the existing row tells which process owns the claim. Rows are never deleted, so that a
decision is final.
"""

import asyncio
from collections.abc import Callable

from egretshed.claims.records import (
    claimed_row_value,
    is_row_of,
)
from egretshed.claims.tracked_claims import TrackedClaim
from egretshed.environment import Environment
from egretshed.errors import (
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.platform.interface import (
    ABSENT_VERSION,
    Condition,
    Platform,
    Row,
    Write,
)

# Rounds of write and read in one pass. After a conflict, claims that others own leave
# the group, so the second round nearly always succeeds.
MAX_ROUNDS = 4


class PendingClaim:
    """A claim that is being written.

    The result of `decided` is None if this process owns the claim, else the row of the
    other owner. It raises `PlatformUnavailable` if the claim is undecided after a pass.
    """

    def __init__(self, tracked: TrackedClaim):
        self.tracked = tracked
        self.decided: asyncio.Future[Row | None] = (
            asyncio.get_running_loop().create_future()
        )
        # Retrieves the exception, since possibly no submission awaits the future.
        self.decided.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.may_have_been_written = False


class ClaimWriter:
    """Writes claims in groups as set in `settings.claims`.

    When a claim is decided, either `on_acquired` (this process owns it) or `on_taken`
    (another owns it) is called once. `on_undecided` is called after each pass that
    could not decide the claim.
    """

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        on_acquired: Callable[[PendingClaim, int], None],
        on_taken: Callable[[PendingClaim, Row], None],
        on_undecided: Callable[[PendingClaim], None],
    ):
        self._env = env
        self._table = platform.table
        self._on_acquired = on_acquired
        self._on_taken = on_taken
        self._on_undecided = on_undecided
        self._queue: list[PendingClaim] = []
        self._has_queued = asyncio.Event()
        self._transactions = env.metrics.counter(
            "claim_groups_total", "Claim transactions"
        )

    def enqueue(self, pending: PendingClaim) -> None:
        self._queue.append(pending)
        self._has_queued.set()

    async def run(self) -> None:
        """Write groups until cancelled; then report all queued claims as undecided."""
        try:
            await self._write_groups()
        finally:
            for pending in self._queue:
                self._on_undecided(pending)

    async def _write_groups(self) -> None:
        settings = self._env.settings.claims
        while True:
            await self._has_queued.wait()
            if len(self._queue) < settings.group_max_claims:
                await self._env.clock.sleep(settings.group_delay_s)
            group = self._queue[: settings.group_max_claims]
            del self._queue[: len(group)]
            if not self._queue:
                self._has_queued.clear()
            await self.decide(group)

    async def decide(self, group: list[PendingClaim]) -> None:
        """Write the claims; afterwards a callback has been called for each of them."""
        undecided = list(group)
        try:
            for _ in range(MAX_ROUNDS):
                if not undecided:
                    break
                undecided = await self._round(undecided)
        except PlatformUnavailable:
            pass
        finally:
            for pending in undecided:
                self._on_undecided(pending)

    async def _round(self, group: list[PendingClaim]) -> list[PendingClaim]:
        """Write and read `group` once; return its claims that are still undecided."""
        if await self._write(group):
            for pending in group:
                self._on_acquired(pending, ABSENT_VERSION + 1)
            return []
        rows = await self._table.read([pending.tracked.claim.key for pending in group])
        undecided = []
        for pending in group:
            row = rows.get(pending.tracked.claim.key)
            if row is None:
                undecided.append(pending)
            elif is_row_of(pending.tracked.claim, row):
                self._on_acquired(pending, row.version)
            else:
                self._on_taken(pending, row)
        return undecided

    async def _write(self, group: list[PendingClaim]) -> bool:
        """Return whether the whole group was certainly written."""
        claims = [pending.tracked.claim for pending in group]
        previous_flags = [pending.may_have_been_written for pending in group]
        # Set before the call, since a cancelled call may have been written as well.
        for pending in group:
            pending.may_have_been_written = True
        self._transactions.inc()
        try:
            await self._table.transact(
                [Condition(claim.key, ABSENT_VERSION) for claim in claims],
                [Write(claim.key, claimed_row_value(claim)) for claim in claims],
            )
        except TableOutcomeUnknown:
            return False
        except (TableConflict, PlatformUnavailable) as error:
            for pending, previous in zip(group, previous_flags, strict=True):
                pending.may_have_been_written = previous
            if isinstance(error, PlatformUnavailable):
                raise
            return False
        return True
