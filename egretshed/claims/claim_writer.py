"""Writes claims to the table in groups and decides those with an unknown outcome.

Rule: a claim whose write may have taken effect, or may still do so, is decided only by
its own row. An absent row decides nothing, since the write may be on its way. The same
token is written again, on the condition that the row is absent: if that succeeds, the
claim is ours and the earlier write can no longer take effect; if it conflicts, the row
that is there tells whose the claim is. Rows are never deleted, so an answer stays true.
"""

import asyncio
from collections.abc import Callable

from egretshed.claims.records import (
    claimed_value,
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

# Rounds of write and read in one pass; a conflict takes the taken ids out, so a second
# round nearly always succeeds.
ROUNDS = 4


class PendingClaim:
    """A claim being written; `decided` gets None if it is ours, else the other's row.

    It gets `PlatformUnavailable` if the claim is undecided after a pass.
    """

    def __init__(self, tracked: TrackedClaim):
        self.tracked = tracked
        self.decided: asyncio.Future[Row | None] = (
            asyncio.get_running_loop().create_future()
        )
        # Several submissions may wait for it, or none.
        self.decided.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.may_be_written = False


class ClaimWriter:
    """Groups claims by `settings.claims`.

    `on_ours` and `on_other` are called once per claim when it is decided, and
    `on_undecided` after each pass that could not decide it.
    """

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        on_ours: Callable[[PendingClaim, int], None],
        on_other: Callable[[PendingClaim, Row], None],
        on_undecided: Callable[[PendingClaim], None],
    ):
        self._env = env
        self._table = platform.table
        self._on_ours = on_ours
        self._on_other = on_other
        self._on_undecided = on_undecided
        self._joined: list[PendingClaim] = []
        self._has_joined = asyncio.Event()
        self._groups = env.metrics.counter("claim_groups_total", "Claim transactions")

    def join(self, pending: PendingClaim) -> None:
        self._joined.append(pending)
        self._has_joined.set()

    async def run(self) -> None:
        """Write groups until cancelled; then nothing that has joined stays waiting."""
        try:
            await self._write_groups()
        finally:
            for pending in self._joined:
                self._on_undecided(pending)

    async def _write_groups(self) -> None:
        settings = self._env.settings.claims
        while True:
            await self._has_joined.wait()
            if len(self._joined) < settings.group_max_claims:
                await self._env.clock.sleep(settings.group_delay_s)
            group = self._joined[: settings.group_max_claims]
            del self._joined[: len(group)]
            if not self._joined:
                self._has_joined.clear()
            await self.decide(group)

    async def decide(self, group: list[PendingClaim]) -> None:
        """Write the claims; afterwards each one is ours, another's or undecided."""
        left = list(group)
        try:
            for _ in range(ROUNDS):
                if not left:
                    break
                left = await self._round(left)
        except PlatformUnavailable:
            pass
        finally:
            for pending in left:
                self._on_undecided(pending)

    async def _round(self, group: list[PendingClaim]) -> list[PendingClaim]:
        """Return the claims of `group` that are still undecided."""
        if await self._write(group):
            for pending in group:
                self._on_ours(pending, ABSENT_VERSION + 1)
            return []
        rows = await self._table.read([pending.tracked.claim.key for pending in group])
        left = []
        for pending in group:
            row = rows.get(pending.tracked.claim.key)
            if row is None:
                left.append(pending)
            elif is_row_of(pending.tracked.claim, row):
                self._on_ours(pending, row.version)
            else:
                self._on_other(pending, row)
        return left

    async def _write(self, group: list[PendingClaim]) -> bool:
        """Return True if the whole group was written."""
        claims = [pending.tracked.claim for pending in group]
        before = [pending.may_be_written for pending in group]
        # Set before the call, so that a cancelled call also counts as maybe written.
        for pending in group:
            pending.may_be_written = True
        self._groups.inc()
        try:
            await self._table.transact(
                [Condition(claim.key, ABSENT_VERSION) for claim in claims],
                [Write(claim.key, claimed_value(claim)) for claim in claims],
            )
        except TableOutcomeUnknown:
            return False
        except (TableConflict, PlatformUnavailable) as error:
            for pending, earlier in zip(group, before, strict=True):
                pending.may_be_written = earlier
            if isinstance(error, PlatformUnavailable):
                raise
            return False
        return True
