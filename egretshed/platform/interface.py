"""What egretshed needs of the platform, whatever protocol the users' own one speaks.

Source of the guarantees: the platform's transactional table applies a transaction
wholly or not at all; its reply may be lost after the effect.
"""

from typing import (
    Any,
    NamedTuple,
    Protocol,
)

ABSENT_VERSION = 0


class Row(NamedTuple):
    """One row; `version` rises by one with each write and is never 0."""

    key: str
    value: Any
    version: int


class Condition(NamedTuple):
    """Holds if the row has this version; `ABSENT_VERSION` means that it is absent."""

    key: str
    version: int


class Write(NamedTuple):
    """Sets the row to a JSON value, or deletes it if `value` is None."""

    key: str
    value: Any


class StoredRow(NamedTuple):
    """One row of a change feed; `value` is None for a row that was removed."""

    part: str
    key: str
    value: bytes | None
    version: int


class TableChanges(NamedTuple):
    """Rows of a table; a feed goes on from `version`.

    With `is_whole` they are all rows of the table, those without a value unchanged.
    `regained_age_s` is how long ago a peer that passed them on got the store back.
    """

    rows: tuple[StoredRow, ...]
    version: int
    regained_age_s: float | None = None
    is_whole: bool = False


class ChangeFeed(Protocol):
    """Tables whose changes can be followed."""

    async def read_table(self, table: str, part: str = "") -> TableChanges:
        """Return all rows of a table. Raises `PlatformUnavailable`."""

    async def changes(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return the rows that changed after a version, as soon as there are any.

        Raises `HistoryLost` and `PlatformUnavailable`.
        """


class TableService(Protocol):
    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return the rows that exist. Raises `TableUnavailable`."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows by key order. Raises `TableUnavailable`."""

    async def transact(self, conditions: list[Condition], writes: list[Write]) -> None:
        """Write all or nothing.

        Raises `TableConflict` (a condition did not hold), `TableUnavailable` (nothing
        was written) or `TableOutcomeUnknown` (read back to know).
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
        """Return the total download rate that the store allows now."""


class ListedVm(NamedTuple):
    """One line of the platform's lagging list; `role` is ``entry`` or ``backend``."""

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
        """Return the list as last published. Raises `PlatformUnavailable`."""


class Platform(NamedTuple):
    """The platform's services as one adapter provides them."""

    table: TableService
    objects: ObjectStore
    weights: WeightStore
    vms: VmList
