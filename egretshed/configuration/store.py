"""Reads and writes the configuration's rows in the platform's table."""

import contextlib
from typing import NamedTuple

from egretshed.configuration.versions import (
    HEAD_KEY,
    OBJECTS_PREFIX,
    Objects,
    VersionRecord,
    decode_record,
    object_key,
    version_key,
    with_changes,
)
from egretshed.environment import Environment
from egretshed.errors import (
    TableConflict,
    TableOutcomeUnknown,
    TableUnavailable,
)
from egretshed.logs import log_event
from egretshed.platform.interface import (
    ABSENT_VERSION,
    Condition,
    TableService,
    Write,
)

SCAN_PAGE_ROWS = 500
READ_BATCH_ROWS = 100
MAX_READBACK_ATTEMPTS = 5
READBACK_DELAY_S = 0.2


class Head(NamedTuple):
    """Number of the newest version, and the version of the table row that holds it."""

    version: int
    row_version: int


class ConfigurationStore:
    """Reads and writes versions; raises `TableUnavailable` while the table is down."""

    def __init__(self, env: Environment, table: TableService):
        self.env = env
        self.table = table

    async def head(self) -> Head:
        row = (await self.table.read([HEAD_KEY])).get(HEAD_KEY)
        if row is None:
            return Head(0, ABSENT_VERSION)
        return Head(row.value["version"], row.version)

    async def records(self, after: int, up_to: int) -> list[VersionRecord]:
        """Return the records of versions `after` + 1 to `up_to`, in ascending order.

        Versions without a row are left out.
        """
        records = []
        for start in range(after + 1, up_to + 1, READ_BATCH_ROWS):
            last = min(start + READ_BATCH_ROWS - 1, up_to)
            keys = [version_key(version) for version in range(start, last + 1)]
            rows = await self.table.read(keys)
            records += [decode_record(rows[key].value) for key in keys if key in rows]
        return records

    async def load(self) -> tuple[int, Objects]:
        """Return the newest version and its objects.

        Changes that were written during the scan are applied afterwards. Records hold
        complete bodies, so applying one that the scan already included is idempotent.
        """
        before = await self.head()
        objects = await self._scan_objects()
        after = await self.head()
        for record in await self.records(before.version, after.version):
            objects = with_changes(objects, record.changes)
        return after.version, objects

    async def write(self, head: Head, record: VersionRecord) -> None:
        """Write the version that follows `head`.

        Raises `TableConflict` or `TableUnavailable` if it was not written, and
        `TableOutcomeUnknown` if the reply was lost and the rows could not be read back.
        """
        conditions = [
            Condition(HEAD_KEY, head.row_version),
            Condition(version_key(record.version), ABSENT_VERSION),
        ]
        writes = [
            Write(HEAD_KEY, {"version": record.version}),
            Write(version_key(record.version), record._asdict()),
        ]
        writes += [
            Write(object_key(object_id), body)
            for object_id, body in record.changes.items()
        ]
        try:
            await self.table.transact(conditions, writes)
        except TableOutcomeUnknown:
            await self._resolve_outcome(head, record)

    async def _scan_objects(self) -> Objects:
        objects: Objects = {}
        after = ""
        while True:
            rows = await self.table.scan(OBJECTS_PREFIX, after, SCAN_PAGE_ROWS)
            for row in rows:
                objects[row.key.removeprefix(OBJECTS_PREFIX)] = row.value
            if len(rows) < SCAN_PAGE_ROWS:
                return objects
            after = rows[-1].key

    async def _resolve_outcome(self, head: Head, record: VersionRecord) -> None:
        for _ in range(MAX_READBACK_ATTEMPTS):
            try:
                if await self._was_written(head, record):
                    log_event(
                        self.env.logger, "lost_reply_resolved", version=record.version
                    )
                    return
            except (TableUnavailable, TableOutcomeUnknown):
                await self.env.clock.sleep(READBACK_DELAY_S)
        raise TableOutcomeUnknown(
            f"version {record.version} may have been written",
            version=record.version,
            transaction_id=record.transaction_id,
        )

    async def _was_written(self, head: Head, record: VersionRecord) -> bool:
        """Return True if it was written; raise `TableConflict` if it never can be.

        A transaction without a version row may still be in transit. Rewriting the head
        row gives that row a new version, so that the transaction's condition can no
        longer hold. Returns False then; the next call reads the result.
        """
        # The head is read before the version row: if this transaction changed the head,
        # the row read afterwards is there.
        seen = await self.head()
        key = version_key(record.version)
        row = (await self.table.read([key])).get(key)
        if row is not None and row.value["transaction_id"] == record.transaction_id:
            return True
        if row is not None or seen.row_version != head.row_version:
            raise TableConflict("the transaction was not written", keys=[HEAD_KEY])
        condition = Condition(HEAD_KEY, head.row_version)
        same_head = Write(HEAD_KEY, {"version": head.version})
        with contextlib.suppress(TableConflict):
            await self.table.transact([condition], [same_head])
        return False
