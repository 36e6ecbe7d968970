"""Keeps a local copy of one table of the platform's store up to date.

The full table is read first; after that its changes are followed by long polling. If
the store no longer has the history after the local version, the full table is read
again. While the store is unavailable, the last known rows stay in use and their age is
reported.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from itertools import (
    chain,
    islice,
)
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
from egretshed.platform.store_versions import era_of

# Longest wait of the store for a change before it replies to a feed call. Without a
# reply after that, the connection is considered dead. The value is below the time
# within which a change must be in force.
LONG_POLL_S = 2.5
# Changed rows kept in memory for peers that follow this node.
MAX_HISTORY_ROWS = 1000
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.6
RETRY_FACTOR = 1.7
# Time in which rows that were lost when the store was restored are written again. They
# stay in use for so long.
REWRITE_GRACE_S = 2.0
UNCONFIRMED_POLL_S = 0.5


class TableState(NamedTuple):
    """Snapshot or delta of a table at one version, as exchanged between peers.

    With `is_whole` it is a full snapshot; rows in it without a value are unchanged at
    the receiver. Otherwise `rows` holds the changed rows; those without a value were
    removed. The sender had confirmed the state `age_s` before.
    """

    version: int
    rows: tuple[StoredRow, ...]
    is_whole: bool = True
    age_s: float = 0.0


class TableFollower:
    """Follows one table and calls `on_change` for its changes.

    `on_change(rows, is_whole)` is called with all rows and the removed ones after a
    full read, and with the changed rows otherwise. `feed` is called before each read
    and returns the source: the store, or a peer that reads the store.
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
        # When the state was last confirmed to be current.
        self.confirmed_s: float | None = None
        # The store has no change from before this moment that is not known here: when
        # the last call that it answered was sent. The answer itself may have waited in
        # a socket while this process stood still.
        self.as_of_s = -math.inf
        # When rows may last have come and gone without being seen here.
        self.gap_s: float | None = None
        self._has_snapshot = False
        # When the store was last reachable again, for this node or for its source.
        self.regained_s: float | None = None
        self.must_read_store = False
        self._needs_full_read = True
        self._history: deque[StoredRow] = deque(maxlen=MAX_HISTORY_ROWS)
        self._history_start_version = 0
        self._changed = asyncio.Event()
        # Keys of rows that were lost when the store was restored, unless written again.
        self._unconfirmed: set[tuple[str, str]] = set()
        self._unconfirmed_since_s = 0.0

    @property
    def is_loaded(self) -> bool:
        return self.confirmed_s is not None

    def age_s(self) -> float:
        """Return the time since the state was last confirmed to be current.

        It is infinite if no state was loaded.
        """
        if self.confirmed_s is None:
            return float("inf")
        return self.env.clock.monotonic_s() - self.confirmed_s

    def state(self) -> TableState:
        return TableState(self.version, tuple(self.rows.values()))

    def known_version(self) -> int:
        """Return the version, or -1 if nothing is loaded, to request all rows."""
        return self.version if self.is_loaded else -1

    def changes_after(self, version: int) -> TableState:
        """Return the changes after a version, or a snapshot if their history is gone.

        The snapshot leaves out the values of rows up to `version`, which the peer has.
        """
        if version < self._history_start_version:
            rows = tuple(
                row if row.version > version else row._replace(value=None)
                for row in self.rows.values()
            )
            return TableState(self.version, rows)
        changed = tuple(row for row in self._history if row.version > version)
        return TableState(self.version, changed, is_whole=False)

    async def wait_changed(self, after: int, wait_s: float) -> None:
        """Wait until the version is higher than `after`, for `wait_s` at most."""
        end_s = self.env.clock.monotonic_s() + wait_s
        while self.version <= after:
            remaining_s = end_s - self.env.clock.monotonic_s()
            if remaining_s <= 0:
                return
            changed = asyncio.ensure_future(self._changed.wait())
            timer = asyncio.ensure_future(self.env.clock.sleep(remaining_s))
            try:
                await asyncio.wait(
                    {changed, timer}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                changed.cancel()
                timer.cancel()

    def adopt(self, state: TableState) -> bool:
        """Apply a peer's state if it is newer; return whether it was applied."""
        if state.version <= self.version and self.is_loaded:
            return False
        if not (state.is_whole or self.is_loaded):
            return False
        changes = TableChanges(state.rows, state.version, age_s=state.age_s)
        try:
            if state.is_whole:
                self._apply_snapshot(self._with_known_values(changes), "peer")
            else:
                self._apply_changes(changes)
        except HistoryLost:
            return False
        return True

    def _confirm(self, age_s: float) -> None:
        """Record that the state was current `age_s` ago."""
        confirmed_s = self.env.clock.monotonic_s() - age_s
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    def _with_known_values(self, changes: TableChanges) -> TableChanges:
        """Fill in the values that a peer left out as already known to this node."""
        rows = []
        for row in changes.rows:
            known = self.rows.get((row.part, row.key))
            if row.value is None and known is None:
                raise HistoryLost(
                    f"table {self.table}: row {row.key} was sent without a value"
                    " and is not known"
                )
            rows.append(known if row.value is None else row)
        return changes._replace(rows=tuple(rows))

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_delay_s = RETRY_MIN_S
        history_losses = 0
        while True:
            is_full_read = self._needs_full_read
            self._drop_unconfirmed()
            try:
                await self._poll()
            except HistoryLost:
                history_losses += 1
                log_event(
                    self.env.logger,
                    "table_history_lost",
                    table=self.table,
                    version=self.version,
                )
                self._needs_full_read = True
                self._mark_disconnected("history_lost")
                if history_losses > 1:
                    # Limits full reads of a store that keeps losing its history.
                    await self.env.clock.sleep(retry_delay_s)
                    retry_delay_s = min(RETRY_MAX_S, retry_delay_s * RETRY_FACTOR)
            except TooLargeForPeers:
                self.must_read_store = True
            except PlatformUnavailable as error:
                self._mark_disconnected(str(error))
                await self.env.clock.sleep(
                    retry_delay_s * self.env.random.uniform(0.7, 1.3)
                )
                retry_delay_s = min(RETRY_MAX_S, retry_delay_s * RETRY_FACTOR)
            else:
                if not is_full_read:
                    history_losses, retry_delay_s = 0, RETRY_MIN_S

    async def read_now(self, store: ChangeFeed) -> None:
        """Apply all changes that the store has now, beside the calls of `run`.

        Raises `PlatformUnavailable`.
        """
        try:
            if not self.is_loaded:
                raise HistoryLost(f"table {self.table} is not loaded")
            changes = await store.changes(self.table, self.version, 0.0)
        except HistoryLost:
            changes = await store.read_table(self.table)
            self._apply_snapshot(changes, "store")
        else:
            self._apply_changes(changes)
        self._note_as_of(changes)

    def _note_as_of(self, changes: TableChanges) -> None:
        """Record as of when the store was read, once its answer is applied."""
        if changes.sent_s is not None and changes.version >= self.version:
            self.as_of_s = max(self.as_of_s, changes.sent_s)

    async def _poll(self) -> None:
        if self._needs_full_read:
            changes = await self.feed().read_table(self.table)
            self._mark_connected(changes)
            source = "store" if changes.regained_age_s is None else "peer"
            self._apply_snapshot(changes, source)
            self._needs_full_read = False
            self._note_as_of(changes)
            return
        base_version = self.version
        # A call to an unresponsive store takes its full wait time. While disconnected,
        # calls do not wait for changes, so that recovery of the store is noticed soon.
        wait_s = LONG_POLL_S if self.is_connected else 0.0
        if self._unconfirmed:
            wait_s = min(wait_s, UNCONFIRMED_POLL_S)
        changes = await self.feed().changes(self.table, base_version, wait_s)
        self._mark_connected(changes)
        if changes.is_whole:
            self._apply_snapshot(self._with_known_values(changes), "peer")
        else:
            self._apply_changes(changes)
        self._note_as_of(changes)

    def _apply_snapshot(self, changes: TableChanges, source: str) -> None:
        if changes.version < self.version:
            return
        removed_keys = set(self.rows) - {(row.part, row.key) for row in changes.rows}
        if self.is_loaded and era_of(changes.version) != era_of(self.version):
            # The copy may be older than these rows, and their writers write them again.
            self._unconfirmed |= removed_keys
            self._unconfirmed_since_s = self.env.clock.monotonic_s()
            removed_keys = set()
        removed = tuple(
            StoredRow(part, key, None, changes.version) for part, key in removed_keys
        )
        if self._has_snapshot:
            self.gap_s = self.env.clock.monotonic_s()
        self._has_snapshot = True
        self.rows = {(row.part, row.key): row for row in changes.rows}
        self.version = changes.version
        self._confirm(changes.age_s)
        self._history.clear()
        self._history_start_version = self.version
        self._wake_waiters()
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

    def _drop_unconfirmed(self) -> None:
        """Remove the rows that nobody has written again after a restore."""
        waited_s = self.env.clock.monotonic_s() - self._unconfirmed_since_s
        if not self._unconfirmed or waited_s < REWRITE_GRACE_S:
            return
        missing = self._unconfirmed - set(self.rows)
        self._unconfirmed = set()
        log_event(
            self.env.logger,
            "restored_rows_missing",
            table=self.table,
            rows=len(missing),
            version=self.version,
        )
        removed = (StoredRow(part, key, None, self.version) for part, key in missing)
        self.on_change(tuple(removed), False)

    def _apply_changes(self, changes: TableChanges) -> None:
        newer = tuple(row for row in changes.rows if self._is_newer(row))
        for row in newer:
            if row.value is None:
                if self.rows.pop((row.part, row.key), None) is None:
                    self.gap_s = self.env.clock.monotonic_s()
            else:
                self.rows[row.part, row.key] = row
        self.version = max(self.version, changes.version)
        self._confirm(changes.age_s)
        if newer:
            dropped = len(self._history) + len(newer) - MAX_HISTORY_ROWS
            if dropped > 0:
                last_dropped = next(
                    islice(chain(self._history, newer), dropped - 1, None)
                )
                self._history_start_version = last_dropped.version
            self._history.extend(newer)
            self._wake_waiters()
            self.on_change(newer, False)

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _is_newer(self, row: StoredRow) -> bool:
        """Return whether a row is not known here yet.

        Rows up to `version` are, also if they were removed: answers to calls that ran
        at the same time arrive in any order.
        """
        if row.version <= self.version:
            return False
        known = self.rows.get((row.part, row.key))
        return known is None or row.version > known.version

    def _mark_disconnected(self, reason: str) -> None:
        if self.is_connected or self.confirmed_s is None:
            log_event(
                self.env.logger,
                "store_lost",
                table=self.table,
                reason=reason,
                version=self.version,
            )
        self.is_connected = False

    def _mark_connected(self, changes: TableChanges) -> None:
        if changes.regained_age_s is not None:
            peer_regained_s = self.env.clock.monotonic_s() - changes.regained_age_s
            self.regained_s = max(self.regained_s or 0.0, peer_regained_s)
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
        self._confirm(changes.age_s)
