"""Row store in memory that performs writes late and goes back to copies.

Each node has a `MemoryRowStore`; those of one fleet share a `SharedRows`.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from egretshed.errors import (
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
    TableUnavailable,
)
from egretshed.platform.interface import (
    StoredRow,
    TableChanges,
)
from egretshed.platform.store import RowWrite
from egretshed.platform.store_versions import (
    combine,
    era_of,
)


class _LateWrite(NamedTuple):
    table: str
    writes: list[RowWrite]
    expected: dict[str, int]


class SharedRows:
    """State of the store.

    Writes to `lost_tables`, and the next `lost_writes` ones, get no answer. They are
    performed by `perform_late_writes`, if their conditions hold then.
    """

    def __init__(self) -> None:
        self.era = 1
        self.counter = 0
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.is_away = False
        self.lost_writes = 0
        self.lost_tables: set[str] = set()
        # Calls of the nodes by table.
        self.calls: Counter[str] = Counter()
        self.late: list[_LateWrite] = []

    def value(self, table: str, key: str) -> bytes | None:
        return self.rows.get((table, key), (None, 0))[0]

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row without a condition."""
        self.counter += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = value, combine(self.era, self.counter)

    def apply(self, table: str, writes: list[RowWrite], expected: dict[str, int]):
        for key, version in expected.items():
            if self.rows.get((table, key), (None, 0))[1] != version:
                raise TableConflict("condition did not hold", keys=list(expected))
        for row in writes:
            self.put(table, row.key, row.value)

    def perform_late_writes(self, ignores_conditions: bool = False) -> None:
        late, self.late = self.late, []
        for write in late:
            if ignores_conditions:
                write = write._replace(expected={})
            try:
                self.apply(*write)
            except TableConflict:
                continue

    def copy(self) -> tuple[int, dict]:
        return self.counter, dict(self.rows)

    def restore(self, copy: tuple[int, dict]) -> None:
        """Go back to a copy; the rows get versions of the next era."""
        self.era += 1
        self.counter, rows = copy
        self.rows = {
            key: (value, combine(self.era, version % combine(1, 0)))
            for key, (value, version) in rows.items()
        }


class MemoryRowStore:
    """`RowStore` of one node."""

    def __init__(self, shared: SharedRows):
        self.shared = shared
        self.era = shared.era
        self.on_restored: list[Callable[[], None]] = []

    async def read_table(self, table: str, part: str = "") -> TableChanges:
        self._reach()
        self.shared.calls[table] += 1
        rows = tuple(
            StoredRow("", key, value, version)
            for (row_table, key), (value, version) in sorted(self.shared.rows.items())
            if row_table == table
        )
        return TableChanges(rows, combine(self.shared.era, self.shared.counter))

    async def read_row(self, table: str, key: str) -> StoredRow | None:
        self._reach()
        self.shared.calls[table] += 1
        found = self.shared.rows.get((table, key))
        return None if found is None else StoredRow("", key, *found)

    async def write(
        self,
        table: str,
        writes: list[RowWrite],
        expected: dict[str, int],
        part: str = "",
    ) -> None:
        if self.shared.is_away:
            raise TableUnavailable("away")
        if any(v and era_of(v) != self.shared.era for v in expected.values()):
            raise TableConflict("the store was restored", keys=list(expected))
        self.shared.calls[table] += 1
        if self.shared.lost_writes or table in self.shared.lost_tables:
            self.shared.lost_writes = max(0, self.shared.lost_writes - 1)
            self.shared.late.append(_LateWrite(table, writes, expected))
            raise TableOutcomeUnknown("no answer")
        self.shared.apply(table, writes, expected)

    def _reach(self) -> None:
        if self.shared.is_away:
            raise PlatformUnavailable("away")
        if self.era != self.shared.era:
            self.era = self.shared.era
            for callback in self.on_restored:
                callback()
