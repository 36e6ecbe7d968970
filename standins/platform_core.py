"""State of the simulated platform: table, objects, weights and VM list, without I/O.

`standins.memory_platform` wraps it in process; `standins.platform` serves it over HTTP.
"""

from collections.abc import Iterable
from typing import (
    Any,
    NamedTuple,
)

import msgspec
from sortedcontainers import SortedDict

from egretshed.clock import Clock
from egretshed.platform.interface import (
    ABSENT_VERSION,
    Condition,
    ListedVm,
    Row,
    WeightVersion,
    Write,
)

DEFAULT_WEIGHT_RATE_BYTES_PER_S = 1e9


class StoredRow(NamedTuple):
    """Row of the table; `body` is encoded so that callers share no objects with it."""

    body: bytes
    version: int


class TableCore:
    """Versioned rows with conditional transactions.

    The last version of a deleted key is kept, so that no version of a key is reused.
    """

    def __init__(self) -> None:
        self._rows: SortedDict = SortedDict()
        self._last_versions: dict[str, int] = {}
        self.counts = {
            "read_calls": 0,
            "rows_read": 0,
            "transactions": 0,
            "rows_written": 0,
            "conflicts": 0,
        }

    def read(self, keys: Iterable[str]) -> list[Row]:
        rows = [self._row(key) for key in keys if key in self._rows]
        return self._count_read(rows)

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows with the prefix and a key greater than `after`."""
        start = max(prefix, after)
        rows = []
        for key in self._rows.irange(minimum=start, inclusive=(start != after, True)):
            if not key.startswith(prefix) or len(rows) >= limit:
                break
            rows.append(self._row(key))
        return self._count_read(rows)

    def transact(self, conditions: list[Condition], writes: list[Write]) -> list[str]:
        """Apply all writes if every condition holds, otherwise none.

        Returns the keys whose conditions failed.
        """
        conflicts = [c.key for c in conditions if self.version(c.key) != c.version]
        if conflicts:
            self.counts["conflicts"] += 1
            return conflicts
        for write in writes:
            self._write(write)
        self.counts["transactions"] += 1
        self.counts["rows_written"] += len(writes)
        return []

    def version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else ABSENT_VERSION

    def dump(self) -> dict[str, Any]:
        """Return all values by key, without counting a read."""
        return {key: msgspec.json.decode(row.body) for key, row in self._rows.items()}

    def _row(self, key: str) -> Row:
        row = self._rows[key]
        return Row(key, msgspec.json.decode(row.body), row.version)

    def _count_read(self, rows: list[Row]) -> list[Row]:
        self.counts["read_calls"] += 1
        self.counts["rows_read"] += len(rows)
        return rows

    def _write(self, write: Write) -> None:
        version = self._last_versions.get(write.key, ABSENT_VERSION) + 1
        self._last_versions[write.key] = version
        if write.value is None:
            self._rows.pop(write.key, None)
            return
        self._rows[write.key] = StoredRow(msgspec.json.encode(write.value), version)


class WriteRateLimit:
    """Token bucket over written rows, with a capacity of one second of writes."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.writes_per_s: float | None = None
        self._available = 0.0
        self._filled_at_s = clock.monotonic_s()

    def set(self, writes_per_s: float | None) -> None:
        self.writes_per_s = writes_per_s
        self._available = writes_per_s or 0.0
        self._filled_at_s = self.clock.monotonic_s()

    def allow(self, writes: int) -> bool:
        """Take `writes` tokens if available; return whether they were."""
        if self.writes_per_s is None:
            return True
        now_s = self.clock.monotonic_s()
        refill = (now_s - self._filled_at_s) * self.writes_per_s
        self._available = min(self.writes_per_s, self._available + refill)
        self._filled_at_s = now_s
        if writes > self._available:
            return False
        self._available -= writes
        return True


class VmRegistry:
    """VM list whose changes are published after `lag_s`.

    The delay applies when `vms` is assigned; a change of the list in place is visible
    at once.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.lag_s = 0.0
        self._history: list[tuple[float, list[ListedVm]]] = [(float("-inf"), [])]

    @property
    def vms(self) -> list[ListedVm]:
        return self._history[-1][1]

    @vms.setter
    def vms(self, vms: Iterable[ListedVm]) -> None:
        self._history.append((self.clock.monotonic_s(), list(vms)))

    def published(self) -> list[ListedVm]:
        visible_until_s = self.clock.monotonic_s() - self.lag_s
        visible = [
            vms for changed_s, vms in self._history if changed_s <= visible_until_s
        ]
        return list(visible[-1])


class PlatformCore:
    """Complete state of the simulated platform."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.table = TableCore()
        self.write_limit = WriteRateLimit(clock)
        self.objects: dict[str, bytes] = {}
        self.weights: list[WeightVersion] = []
        self.weight_rate_bytes_per_s = DEFAULT_WEIGHT_RATE_BYTES_PER_S
        self.vm_registry = VmRegistry(clock)
