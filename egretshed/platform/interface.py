"""Interfaces of the platform services, independent of the platform's protocol.

The guarantees rest on the platform's transactional table: a transaction is atomic, but
its response may be lost after the commit.
"""

from typing import (
    Any,
    NamedTuple,
    Protocol,
)

ABSENT_VERSION = 0


class Row(NamedTuple):
    """One row; `version` increases by one with each write and is never 0."""

    key: str
    value: Any
    version: int


class Condition(NamedTuple):
    """Requires the row to have this version; `ABSENT_VERSION` requires no such row."""

    key: str
    version: int


class Write(NamedTuple):
    """Sets the row to a JSON value, or deletes it if `value` is None."""

    key: str
    value: Any


class StoredRow(NamedTuple):
    """One row of a change feed; `value` is None for a deleted row."""

    part: str
    key: str
    value: bytes | None
    version: int


class TableChanges(NamedTuple):
    """Rows of a table; a feed continues from `version`.

    With `is_whole` they are a snapshot of the table, in which rows without a value are
    unchanged. Changes forwarded by a peer carry `regained_age_s`, the seconds since
    that peer regained access to the store, and `age_s`, those since it confirmed them.
    Those that the store itself returned carry `sent_s`, when the call was sent: they
    miss no change from before that.
    """

    rows: tuple[StoredRow, ...]
    version: int
    regained_age_s: float | None = None
    is_whole: bool = False
    age_s: float = 0.0
    sent_s: float | None = None


class ChangeFeed(Protocol):
    """Source of tables and of their changes."""

    async def read_table(self, table: str, part: str = "") -> TableChanges:
        """Return all rows of a table. Raises `PlatformUnavailable`."""

    async def changes(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return the rows changed after a version; wait up to `wait_s` for a change.

        Raises `HistoryLost` and `PlatformUnavailable`.
        """


class TableService(Protocol):
    """Transactional key-value table with versioned rows."""

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return the existing rows by key. Raises `TableUnavailable`."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows with `prefix` in key order. Raises `TableUnavailable`."""

    async def transact(self, conditions: list[Condition], writes: list[Write]) -> None:
        """Apply all writes atomically if every condition holds.

        Raises `TableConflict` (a condition did not hold), `TableUnavailable` (nothing
        was written) or `TableOutcomeUnknown` (a read tells whether it was written).
        """


class ObjectStore(Protocol):
    async def put(self, key: str, body: bytes) -> None: ...

    async def get(self, key: str) -> bytes | None: ...


class WeightVersion(NamedTuple):
    model: str
    version: str
    size_bytes: int


class WeightStore(Protocol):
    async def versions(self, model: str) -> list[WeightVersion]: ...

    async def rate_bytes_per_s(self) -> float:
        """Return the total download rate that the store allows at present."""


class ListedVm(NamedTuple):
    """One VM of the platform's list, which lags; `role` is ``entry`` or ``backend``."""

    node_id: str
    role: str
    host: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str
    leaving: bool = False
    cores: float = 1.0
    link_mbps: float = 1000.0


class VmList(Protocol):
    async def read(self) -> list[ListedVm]:
        """Return the last published list. Raises `PlatformUnavailable`."""


class Platform(NamedTuple):
    """The platform services that an adapter provides."""

    table: TableService
    objects: ObjectStore
    weights: WeightStore
    vms: VmList
