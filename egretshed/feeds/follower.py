"""Follows one table of the platform's store and keeps what it said last.

The whole table is read first, then its changes as they come. After lost history the
whole table is read again. While the store gives nothing, what was known stays in use,
and its age is known.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.errors import (
    HistoryLost,
    PlatformUnavailable,
    TooLargeForPeers,
)
from egretshed.logs import log_event
from egretshed.platform.interface import (
    ChangeFeed,
    StoredRow,
    TableChanges,
)

# A feed call that waits this long without an answer is on a silent connection. It stays
# under the time in which a change must be in force.
FEED_WAIT_S = 2.5
# Changed rows kept for peers that follow this node.
HISTORY_ROWS = 1000
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.6
RETRY_FACTOR = 1.7


class TableState(NamedTuple):
    """A table at one version, as handed to a peer: whole, or what changed.

    In a whole one, rows without a value are those that the peer has.
    """

    version: int
    rows: tuple[StoredRow, ...]
    is_whole: bool = True


class TableFollower:
    """State of one table; `on_change` gets every row that changed.

    `on_change(rows, is_whole)` is called with all rows after a whole read, and with the
    changed ones otherwise. `feed` returns where to read from now: the store, or a peer
    that reads the store.
    """

    def __init__(
        self,
        env: Environment,
        feed: Callable[[], ChangeFeed],
        table: str,
        on_change: Callable[[tuple[StoredRow, ...], bool], None],
    ):
        self.env = env
        self.feed = feed
        self.table = table
        self.on_change = on_change
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.is_connected = False
        self.confirmed_s: float | None = None
        self.regained_s: float | None = None
        self.wants_store = False
        self._must_read_whole = True
        self._history: deque[StoredRow] = deque(maxlen=HISTORY_ROWS)
        self._history_from = 0
        self._changed = asyncio.Event()

    @property
    def is_loaded(self) -> bool:
        return self.confirmed_s is not None

    def age_s(self) -> float:
        """Return how long ago the state was last known to be current."""
        if self.confirmed_s is None:
            return float("inf")
        return self.env.clock.monotonic_s() - self.confirmed_s

    def state(self) -> TableState:
        return TableState(self.version, tuple(self.rows.values()))

    def version_or_none(self) -> int:
        """Return the version, or -1 if nothing is known, so that all is asked for."""
        return self.version if self.is_loaded else -1

    def changes_after(self, version: int) -> TableState:
        """Return what changed after a version, or the whole table if that is lost.

        A peer that has the table at a version needs no value of an older row.
        """
        if version < self._history_from:
            rows = tuple(
                row if row.version > version else row._replace(value=None)
                for row in self.rows.values()
            )
            return TableState(self.version, rows)
        changed = tuple(row for row in self._history if row.version > version)
        return TableState(self.version, changed, is_whole=False)

    async def wait_changed(self, after: int, wait_s: float) -> None:
        """Return once the version is higher than `after`, or the time is over."""
        end_s = self.env.clock.monotonic_s() + wait_s
        while self.version <= after:
            left_s = end_s - self.env.clock.monotonic_s()
            if left_s <= 0:
                return
            changed = asyncio.ensure_future(self._changed.wait())
            timer = asyncio.ensure_future(self.env.clock.sleep(left_s))
            try:
                await asyncio.wait(
                    {changed, timer}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                changed.cancel()
                timer.cancel()

    def adopt(self, state: TableState) -> bool:
        """Take over a peer's newer state; return whether it was newer."""
        if state.version <= self.version and self.is_loaded:
            return False
        changes = TableChanges(state.rows, state.version)
        try:
            if state.is_whole:
                self._apply_whole(self._completed(changes), "peer")
            elif self.is_loaded:
                self._apply_changes(changes)
        except HistoryLost:
            return False
        return True

    def _completed(self, changes: TableChanges) -> TableChanges:
        """Fill in the rows that a peer left out since this node has them."""
        rows = []
        for row in changes.rows:
            known = self.rows.get((row.part, row.key))
            if row.value is None and known is None:
                raise HistoryLost(f"{self.table} lacks {row.key} of an earlier version")
            rows.append(known if row.value is None else row)
        return changes._replace(rows=tuple(rows))

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause_s = RETRY_MIN_S
        losses = 0
        while True:
            has_read_whole = self._must_read_whole
            try:
                await self._step()
            except HistoryLost:
                losses += 1
                log_event(
                    self.env.logger,
                    "table_history_lost",
                    table=self.table,
                    version=self.version,
                )
                self._must_read_whole = True
                self._note_lost("history_lost")
                if losses > 1:
                    # A store that forgets all the time is not read all the time.
                    await self.env.clock.sleep(pause_s)
                    pause_s = min(RETRY_MAX_S, pause_s * RETRY_FACTOR)
            except TooLargeForPeers:
                self.wants_store = True
            except PlatformUnavailable as error:
                self._note_lost(str(error))
                await self.env.clock.sleep(pause_s * self.env.random.uniform(0.7, 1.3))
                pause_s = min(RETRY_MAX_S, pause_s * RETRY_FACTOR)
            else:
                if not has_read_whole:
                    losses, pause_s = 0, RETRY_MIN_S

    async def _step(self) -> None:
        if self._must_read_whole:
            changes = await self.feed().read_table(self.table)
            self._note_regained(changes.regained_age_s)
            source = "store" if changes.regained_age_s is None else "peer"
            self._apply_whole(changes, source)
            self._must_read_whole = False
            return
        asked_for = self.version
        # A call to a silent store lasts as long as it may wait; until one is answered
        # they are short, so that the store's return is noticed soon.
        wait_s = FEED_WAIT_S if self.is_connected else 0.0
        changes = await self.feed().changes(self.table, asked_for, wait_s)
        self._note_regained(changes.regained_age_s)
        if changes.is_whole:
            self._apply_whole(self._completed(changes), "peer")
        else:
            self._apply_changes(changes)

    def _apply_whole(self, changes: TableChanges, source: str) -> None:
        if changes.version < self.version:
            return
        gone = set(self.rows) - {(row.part, row.key) for row in changes.rows}
        removed = tuple(
            StoredRow(part, key, None, changes.version) for part, key in gone
        )
        self.rows = {(row.part, row.key): row for row in changes.rows}
        self.version = changes.version
        self.confirmed_s = self.env.clock.monotonic_s()
        self._history.clear()
        self._history_from = self.version
        self._tell_changed()
        log_event(
            self.env.logger,
            "table_read",
            table=self.table,
            version=self.version,
            rows=len(self.rows),
            removed=len(removed),
            source=source,
        )
        self.on_change((*changes.rows, *removed), True)

    def _apply_changes(self, changes: TableChanges) -> None:
        newer = tuple(row for row in changes.rows if self._is_newer(row))
        for row in newer:
            if row.value is None:
                self.rows.pop((row.part, row.key), None)
            else:
                self.rows[row.part, row.key] = row
        self.version = max(self.version, changes.version)
        self.confirmed_s = self.env.clock.monotonic_s()
        if newer:
            if len(self._history) + len(newer) > HISTORY_ROWS:
                self._history_from = self._history[0].version if self._history else 0
            self._history.extend(newer)
            self._tell_changed()
            self.on_change(newer, False)

    def _tell_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _is_newer(self, row: StoredRow) -> bool:
        known = self.rows.get((row.part, row.key))
        return known is None or row.version > known.version

    def _note_lost(self, reason: str) -> None:
        if self.is_connected or self.confirmed_s is None:
            log_event(
                self.env.logger,
                "store_lost",
                table=self.table,
                reason=reason,
                version=self.version,
            )
        self.is_connected = False

    def _note_regained(self, peer_age_s: float | None) -> None:
        if peer_age_s is not None:
            since_s = self.env.clock.monotonic_s() - peer_age_s
            self.regained_s = max(self.regained_s or 0.0, since_s)
        if not self.is_connected:
            self.regained_s = self.env.clock.monotonic_s()
            log_event(
                self.env.logger,
                "store_regained",
                table=self.table,
                version=self.version,
                outage_s=round(self.age_s(), 3) if self.is_loaded else None,
            )
        self.is_connected = True
        self.confirmed_s = self.env.clock.monotonic_s()
