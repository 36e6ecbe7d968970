"""List of the entry nodes, kept by the nodes themselves in the platform's store.

A node writes its row at start, unless the row is there already. The list holds the
nodes that may exist; which of them are alive is determined by probes. It also holds a
copy of the shared key of the nodes, and what nodes must know when they start.

Each write has the version of what was read as its condition. A write without an answer
may be performed seconds later, and must not replace what was written since.

A store that is restored from a copy may lack rows, the key among them. The nodes that
read it notice that and write again what it held before.

Load pattern: all VMs of a large fleet restart after a power failure. Each call to the
store is billed, and delays a start, so a restarted node joins with a single one.
"""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)

import msgspec

from egretshed.environment import Environment
from egretshed.errors import (
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.logs import log_event
from egretshed.peers.shared_key import obtain_shared_key
from egretshed.platform.interface import (
    ABSENT_VERSION,
    ListedVm,
    StoredRow,
)
from egretshed.platform.store import (
    RowStore,
    RowWrite,
)
from egretshed.untrusted_json import decode_untrusted

NODE_TABLE = "egretshed_nodes"
ENTRY_ROLE = "entry"
# Key of the row with the copy of the shared key; it is not an id of a node.
KEY_ROW = "!shared_key"
# Prefix of the keys of rows that are no nodes: the shared key and records of other
# packages, which a node thus gets without a further call when it joins.
RECORD_PREFIX = "!"
MAX_RECORD_KEY_BYTES = 200
# A transaction holds at most 100 conditions and writes.
MAX_ROWS_PER_WRITE = 40
# The nodes of a new fleet find no key. Each waits for a random time up to this one and
# reads again, so that only the first few write one.
NEW_FLEET_WAIT_S = 1.0
# Mean delay before a node retries an unconfirmed write of its row.
REGISTER_RETRY_S = 0.3


class _NodeWire(msgspec.Struct):
    host: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str
    cores: float = 1.0
    link_mbps: float = 1000.0


class RegisteredNodes:
    """`VmList` read from the rows that the nodes write."""

    def __init__(self, env: Environment, store: RowStore):
        self.env = env
        self.store = store
        self._shared_key = ""
        # Values of the rows that are no nodes, as last read.
        self.shared_records: dict[str, bytes] = {}
        self._own_value: bytes | None = None
        # Versions of the rows as last read.
        self._row_versions: dict[str, int] = {}
        # All rows as last read or written.
        self._known_rows: dict[str, bytes] = {}
        self._was_restored = asyncio.Event()
        store.on_restored.append(self._was_restored.set)
        # Called once the store was restored, to write shared records again. They raise
        # as `update_shared_record` does, and are called again then.
        self.on_restored: list[Callable[[], Awaitable[None]]] = []
        # The list as read by `join`, until `read` returns it.
        self._unused_list: list[ListedVm] | None = None

    async def read(self) -> list[ListedVm]:
        """Return the registered nodes; undecodable rows are logged and skipped.

        Raises `PlatformUnavailable`.
        """
        if self._unused_list is not None:
            listed, self._unused_list = self._unused_list, None
            return listed
        return await self._read_rows()

    async def _read_rows(self) -> list[ListedVm]:
        changes = await self.store.read_table(NODE_TABLE)
        self._row_versions = {row.key: row.version for row in changes.rows}
        if not self._was_restored.is_set():
            self._known_rows = {row.key: row.value or b"" for row in changes.rows}
        self.shared_records = {
            row.key: row.value or b""
            for row in changes.rows
            if row.key.startswith(RECORD_PREFIX)
        }
        if KEY_ROW in self.shared_records:
            key = self.shared_records[KEY_ROW]
            self._shared_key = key.decode("ascii", "replace")
        listed = []
        for row in changes.rows:
            if row.key.startswith(RECORD_PREFIX):
                continue
            if row.key == self.env.identity.node_id:
                self._own_value = row.value
            try:
                node = decode_untrusted(row.value or b"", _NodeWire)
            except msgspec.DecodeError as error:
                log_event(
                    self.env.logger, "node_row_ignored", key=row.key, reason=str(error)
                )
                continue
            listed.append(
                ListedVm(
                    row.key,
                    ENTRY_ROLE,
                    node.host,
                    node.peer_port,
                    node.http_port,
                    node.failure_domain,
                    node.region,
                    cores=node.cores,
                    link_mbps=node.link_mbps,
                )
            )
        return listed

    async def join(self) -> str:
        """Write this node's row if it is missing, and return the shared key.

        Retries until the store has answered.
        """
        listed = await self._read_until_answered()
        if not self._shared_key:
            await self.env.clock.sleep(NEW_FLEET_WAIT_S * self.env.random.random())
            listed = await self._read_until_answered()
        while missing := await self._missing_rows():
            if await self._try_write(missing):
                log_event(self.env.logger, "node_registered", written=True)
                return self._shared_key
            listed = await self._read_until_answered()
        # The nodes that joined since are found through their peers.
        self._unused_list = listed
        log_event(self.env.logger, "node_registered", written=False)
        return self._shared_key

    async def _missing_rows(self) -> list[RowWrite]:
        """Return this node's row and the copy of the key, as far as they are missing.

        Where there is no copy, the key is obtained first.
        """
        missing = []
        if KEY_ROW not in self.shared_records:
            if not self._shared_key:
                self._shared_key = await obtain_shared_key(self.env, self.store)
            missing.append(RowWrite(KEY_ROW, self._shared_key.encode()))
        value = self._encode_own_row()
        if value != self._own_value:
            missing.append(RowWrite(self.env.identity.node_id, value))
        return missing

    async def _try_write(self, rows: list[RowWrite]) -> bool:
        """Write rows unless they were changed since they were read.

        Returns False after a failure, once it is time to read and try again.
        """
        expected = {
            row.key: self._row_versions.get(row.key, ABSENT_VERSION) for row in rows
        }
        try:
            await self.store.write(NODE_TABLE, rows, expected)
        except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
            await self._wait_after("node_not_registered", error)
            return False
        self._note_written(rows)
        return True

    def _encode_own_row(self) -> bytes:
        identity = self.env.identity
        settings = self.env.settings.node
        return msgspec.json.encode(
            _NodeWire(
                identity.host,
                identity.peer_port,
                identity.http_port,
                identity.failure_domain,
                identity.region,
                settings.cores * settings.core_share,
                settings.link_mbps,
            )
        )

    async def _read_until_answered(self) -> list[ListedVm]:
        while True:
            try:
                return await self._read_rows()
            except PlatformUnavailable as error:
                await self._wait_after("node_list_unavailable", error)

    async def _wait_after(self, event: str, error: Exception) -> None:
        log_event(self.env.logger, event, reason=str(error))
        await self.env.clock.sleep(REGISTER_RETRY_S * self.env.random.uniform(0.5, 1.5))

    async def read_shared_record(self, key: str) -> bytes | None:
        """Update and return one of `shared_records`; raises `PlatformUnavailable`."""
        return self._note_record(key, await self.store.read_row(NODE_TABLE, key))

    def _note_record(self, key: str, row: StoredRow | None) -> bytes | None:
        value = None if row is None else row.value
        if value is None:
            self.shared_records.pop(key, None)
        else:
            self.shared_records[key] = value
        return value

    async def update_shared_record(
        self, key: str, merge: Callable[[bytes | None], bytes | None]
    ) -> bool:
        """Replace a record that each node reads when it joins.

        `key` begins with `RECORD_PREFIX`. `merge` is given the stored value and returns
        the one to store, with None for no record. It is only written if nobody else has
        written the record meanwhile, so that what others know is not lost. Returns
        whether the value has changed. A caller that gets no answer calls again until
        `LATE_WRITE_LIMIT_S` later.

        Raises `PlatformUnavailable`, `TableConflict` and `TableOutcomeUnknown`.

        Example::

            await nodes.update_shared_record("!limit", lambda stored: stored or b"1")
        """
        row = await self.store.read_row(NODE_TABLE, key)
        stored = self._note_record(key, row)
        value = merge(stored)
        if value == stored:
            return False
        write = RowWrite(key, value)
        expected = {key: ABSENT_VERSION if row is None else row.version}
        await self.store.write(NODE_TABLE, [write], expected)
        self._note_written([write])
        return True

    def _note_written(self, writes: list[RowWrite]) -> None:
        for row in writes:
            if row.value is None:
                self._known_rows.pop(row.key, None)
            else:
                self._known_rows[row.key] = row.value

    async def run(self) -> None:
        """Write lost rows again whenever the store was restored, until cancelled."""
        while True:
            await self._was_restored.wait()
            era = self.store.era
            try:
                for write_again in self.on_restored:
                    await write_again()
                await self._write_lost_rows()
            except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
                await self._wait_after("lost_rows_not_written", error)
                continue
            if self.store.era == era:
                self._was_restored.clear()

    async def _write_lost_rows(self) -> None:
        """Write the known rows that are missing; those written meanwhile are kept."""
        present = {row.key for row in (await self.store.read_table(NODE_TABLE)).rows}
        known = {
            KEY_ROW: self._shared_key.encode(),
            **self._known_rows,
            self.env.identity.node_id: self._encode_own_row(),
        }
        lost = [RowWrite(k, value) for k, value in known.items() if k not in present]
        for start in range(0, len(lost), MAX_ROWS_PER_WRITE):
            rows = lost[start : start + MAX_ROWS_PER_WRITE]
            await self.store.write(
                NODE_TABLE, rows, {row.key: ABSENT_VERSION for row in rows}
            )
        log_event(self.env.logger, "lost_rows_written", rows=len(lost))
