"""Stores outcomes in groups, through outages, each of them once.

The condition on the version of the claim's row makes a repeated or delayed write
change nothing: whichever write comes first raises the version.
"""

import asyncio
from collections.abc import Callable

import msgspec

from egretshed.claims.records import (
    MAX_ROW_OUTCOME_BYTES,
    done_value,
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
# While more than this waits, no new claim is given out; what already runs may still
# add its outcomes, so memory is bounded by this plus the running requests.
BACKLOG_BYTES = 32 * 1024 * 1024


class OutcomeWriter:
    """Queue of outcomes on their way to the table; `on_stored` is called for each."""

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        on_stored: Callable[[TrackedClaim], None],
    ):
        self._env = env
        self._platform = platform
        self._on_stored = on_stored
        self._waiting: dict[str, TrackedClaim] = {}
        self._bytes = 0
        self._has_waiting = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        return not self._waiting

    @property
    def is_full(self) -> bool:
        return self._bytes > BACKLOG_BYTES

    def add(self, tracked: TrackedClaim) -> None:
        self._waiting[tracked.claim.key] = tracked
        self._bytes += len(tracked.body)
        self._has_waiting.set()

    async def run(self) -> None:
        clock = self._env.clock
        while True:
            await self._has_waiting.wait()
            await clock.sleep(self._env.settings.claims.group_delay_s)
            try:
                await self._write(self._next_group())
            except PlatformUnavailable:
                await clock.sleep(RETRY_PERIOD_S * self._env.random.uniform(0.5, 1.5))
            if not self._waiting:
                self._has_waiting.clear()

    def _next_group(self) -> list[TrackedClaim]:
        group: list[TrackedClaim] = []
        size_bytes = 0
        for tracked in self._waiting.values():
            size_bytes += len(tracked.body)
            full = len(group) >= self._env.settings.claims.group_max_claims
            if group and (full or size_bytes > MAX_GROUP_BYTES):
                break
            group.append(tracked)
        return group

    async def _write(self, group: list[TrackedClaim]) -> None:
        values = [await self._value(tracked) for tracked in group]
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
                self._learn(tracked, rows.get(tracked.claim.key))
            return
        for tracked in group:
            self._remove(tracked)

    async def _value(self, tracked: TrackedClaim) -> dict:
        if len(tracked.body) <= MAX_ROW_OUTCOME_BYTES:
            return done_value(tracked.claim, msgspec.json.decode(tracked.body), None)
        object_key = f"{tracked.claim.key}/{tracked.claim.token}"
        await self._platform.objects.put(object_key, tracked.body)
        return done_value(tracked.claim, None, object_key)

    def _learn(self, tracked: TrackedClaim, row: Row | None) -> None:
        """Take the row's version for the next attempt, or see that it is stored."""
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
            return
        tracked.version = row.version
        if is_done(row):
            self._remove(tracked)

    def _remove(self, tracked: TrackedClaim) -> None:
        del self._waiting[tracked.claim.key]
        self._bytes -= len(tracked.body)
        self._on_stored(tracked)
