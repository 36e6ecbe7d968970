"""Stores outcomes in groups, through outages, each of them once.

The condition on the version of the claim's row makes a repeated or delayed write
change nothing: whichever write comes first raises the version.
"""

import asyncio
from collections.abc import Callable

import msgspec

from egretshed.claims.held import Held
from egretshed.claims.records import (
    MAX_ROW_OUTCOME_BYTES,
    done_value,
    is_done,
    is_row_of,
)
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
        self, env: Environment, platform: Platform, on_stored: Callable[[Held], None]
    ):
        self._env = env
        self._platform = platform
        self._on_stored = on_stored
        self._waiting: dict[str, Held] = {}
        self._bytes = 0
        self._has_waiting = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        return not self._waiting

    @property
    def is_full(self) -> bool:
        return self._bytes > BACKLOG_BYTES

    def add(self, held: Held) -> None:
        self._waiting[held.claim.key] = held
        self._bytes += len(held.body)
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

    def _next_group(self) -> list[Held]:
        group: list[Held] = []
        size_bytes = 0
        for held in self._waiting.values():
            size_bytes += len(held.body)
            full = len(group) >= self._env.settings.claims.group_max_claims
            if group and (full or size_bytes > MAX_GROUP_BYTES):
                break
            group.append(held)
        return group

    async def _write(self, group: list[Held]) -> None:
        values = [await self._value(held) for held in group]
        try:
            await self._platform.table.transact(
                [Condition(held.claim.key, held.version) for held in group],
                [
                    Write(held.claim.key, value)
                    for held, value in zip(group, values, strict=True)
                ],
            )
        except (TableConflict, TableOutcomeUnknown):
            rows = await self._platform.table.read([held.claim.key for held in group])
            for held in group:
                self._learn(held, rows.get(held.claim.key))
            return
        for held in group:
            self._remove(held)

    async def _value(self, held: Held) -> dict:
        if len(held.body) <= MAX_ROW_OUTCOME_BYTES:
            return done_value(held.claim, msgspec.json.decode(held.body), None)
        object_key = f"{held.claim.key}/{held.claim.token}"
        await self._platform.objects.put(object_key, held.body)
        return done_value(held.claim, None, object_key)

    def _learn(self, held: Held, row: Row | None) -> None:
        """Take the row's version for the next attempt, or see that it is stored."""
        if row is None:
            held.version = ABSENT_VERSION
            return
        try:
            require(
                self._env,
                is_row_of(held.claim, row),
                "P6_outcome_of_own_claim",
                key=held.claim.key,
            )
        except InvariantViolated:
            self._remove(held)
            return
        held.version = row.version
        if is_done(row):
            self._remove(held)

    def _remove(self, held: Held) -> None:
        del self._waiting[held.claim.key]
        self._bytes -= len(held.body)
        self._on_stored(held)
