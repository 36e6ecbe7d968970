"""Stores each outcome exactly once, in groups and with retries through outages.

Writes are conditional on the version of the claim's row, which the first write raises.
A repeated or delayed write of the same outcome therefore has no effect.
"""

import asyncio
from collections.abc import Callable

import msgspec

from egretshed.claims.records import (
    MAX_ROW_OUTCOME_BYTES,
    done_row_value,
    is_done,
    is_row_of,
)
from egretshed.claims.tracked_claims import TrackedClaim
from egretshed.environment import Environment
from egretshed.errors import (
    InvariantViolated,
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.invariants import require
from egretshed.platform.interface import (
    ABSENT_VERSION,
    Condition,
    Platform,
    Row,
    Write,
)

RETRY_PERIOD_S = 0.5
MAX_GROUP_BYTES = 1024 * 1024
# With a larger backlog no new claims are granted. Running requests still add their
# outcomes, so memory is bounded by this plus the outcomes of the running requests.
MAX_BACKLOG_BYTES = 32 * 1024 * 1024


class OutcomeWriter:
    """Queue of outcomes to be stored.

    Calls `on_stored` for each one that is, and `on_discarded` for one whose row belongs
    to another claim.
    """

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        on_stored: Callable[[TrackedClaim], None],
        on_discarded: Callable[[TrackedClaim], None],
    ):
        self._env = env
        self._platform = platform
        self._on_stored = on_stored
        self._on_discarded = on_discarded
        self._queue: dict[str, TrackedClaim] = {}
        self._queue_bytes = 0
        self._has_queued = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        return not self._queue

    @property
    def is_full(self) -> bool:
        return self._queue_bytes > MAX_BACKLOG_BYTES

    def add(self, tracked: TrackedClaim) -> None:
        self._queue[tracked.claim.key] = tracked
        self._queue_bytes += len(tracked.body)
        self._has_queued.set()

    async def run(self) -> None:
        clock = self._env.clock
        while True:
            await self._has_queued.wait()
            await clock.sleep(self._env.settings.claims.group_delay_s)
            try:
                await self._write(self._next_group())
            except PlatformUnavailable:
                await clock.sleep(RETRY_PERIOD_S * self._env.random.uniform(0.5, 1.5))
            if not self._queue:
                self._has_queued.clear()

    def _next_group(self) -> list[TrackedClaim]:
        group: list[TrackedClaim] = []
        size_bytes = 0
        for tracked in self._queue.values():
            size_bytes += len(tracked.body)
            has_max_claims = len(group) >= self._env.settings.claims.group_max_claims
            if group and (has_max_claims or size_bytes > MAX_GROUP_BYTES):
                break
            group.append(tracked)
        return group

    async def _write(self, group: list[TrackedClaim]) -> None:
        values = [await self._row_value(tracked) for tracked in group]
        try:
            await self._platform.table.transact(
                [Condition(tracked.claim.key, tracked.version) for tracked in group],
                [
                    Write(tracked.claim.key, value)
                    for tracked, value in zip(group, values, strict=True)
                ],
            )
        except (TableConflict, TableOutcomeUnknown):
            rows = await self._platform.table.read(
                [tracked.claim.key for tracked in group]
            )
            for tracked in group:
                self._reconcile(tracked, rows.get(tracked.claim.key))
            return
        for tracked in group:
            self._remove(tracked)
            self._on_stored(tracked)

    async def _row_value(self, tracked: TrackedClaim) -> dict:
        if len(tracked.body) <= MAX_ROW_OUTCOME_BYTES:
            return done_row_value(
                tracked.claim, msgspec.json.decode(tracked.body), None
            )
        object_key = f"{tracked.claim.key}/{tracked.claim.token}"
        await self._platform.objects.put(object_key, tracked.body)
        return done_row_value(tracked.claim, None, object_key)

    def _reconcile(self, tracked: TrackedClaim, row: Row | None) -> None:
        """Update `tracked` from its row after a write that failed or is in doubt.

        Removes it from the queue if the row shows its outcome as stored; otherwise the
        next attempt uses the version of the row.
        """
        if row is None:
            tracked.version = ABSENT_VERSION
            return
        try:
            require(
                self._env,
                is_row_of(tracked.claim, row),
                "P6_outcome_of_own_claim",
                key=tracked.claim.key,
            )
        except InvariantViolated:
            self._remove(tracked)
            self._on_discarded(tracked)
            return
        tracked.version = row.version
        if is_done(row):
            self._remove(tracked)
            self._on_stored(tracked)

    def _remove(self, tracked: TrackedClaim) -> None:
        del self._queue[tracked.claim.key]
        self._queue_bytes -= len(tracked.body)
