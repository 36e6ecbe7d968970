"""Client of the platform's row store, one per daemon.

Status 429 or 503 means that the store did nothing. A transaction without a response may
have been applied, or may still be applied later, and raises `TableOutcomeUnknown`.
"""

import base64
from collections.abc import Callable
from typing import (
    Any,
    NamedTuple,
)
from urllib.parse import urlencode

import msgspec

from egretshed.environment import Environment
from egretshed.errors import (
    HistoryLost,
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
    TableUnavailable,
)
from egretshed.logs import log_event
from egretshed.platform.headers import HEADERS
from egretshed.platform.interface import (
    StoredRow,
    TableChanges,
)
from egretshed.platform.store_versions import (
    combine,
    era_of,
    version_in_store,
)
from egretshed.untrusted_json import decode_untrusted
from egretshed.upstream.exchange import (
    ExchangeFailed,
    OutgoingRequest,
    ProgressLimit,
    ResponseHead,
    ResponseTimeouts,
)
from egretshed.upstream.pool import ConnectionPool

# Rows of one page, the maximum that the store returns.
PAGE_ROWS = 500
# Timeout for the response head of a read or a transaction. A read that exceeds it fails
# and is repeated by its caller on another connection.
RESPONSE_TIMEOUT_S = 1.0
# Least progress of a response body. More arrives even at 5 Mbit/s shared by several
# responses, since the link's buffer is small.
BODY_PROGRESS = ProgressLimit(window_s=1.0, least_bytes=1024)
# Allowance for the response head of a feed call beyond the requested wait.
FEED_TIMEOUT_MARGIN_S = 0.5
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Time after a write without an answer until which the store may still perform it.
LATE_WRITE_LIMIT_S = 8.0


class _RowWire(msgspec.Struct):
    key: str
    table: str = ""
    part: str = ""
    value: str = ""  # base64
    row_version: int = 0
    deleted: bool = False


class _RowsWire(msgspec.Struct):
    row_version: int  # latest version of the whole store, not of a row
    rows: list[_RowWire] = []
    has_more: bool = False


class RowWrite(NamedTuple):
    """Sets `key` to `value`, or deletes it if `value` is None."""

    key: str
    value: bytes | None


class RowStore:
    """Reads tables and their change feeds, and writes rows conditionally."""

    def __init__(self, env: Environment, pool: ConnectionPool):
        self.env = env
        self.pool = pool
        # Rises each time that the store is restored from a copy.
        self.era = 0
        # Called when that is noticed.
        self.on_restored: list[Callable[[], None]] = []
        self.address = env.settings.platform.url.removeprefix("http://")

    async def read_table(self, table: str, part: str = "") -> TableChanges:
        """Return all rows; raises `PlatformUnavailable`.

        The version is that of the first page, so that a feed that continues from it
        misses no change made while later pages were read.
        """
        rows: list[StoredRow] = []
        start, version = "", 0
        sent_s = self.env.clock.monotonic_s()
        while True:
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            page = await self._get("/rows-get", query, RESPONSE_TIMEOUT_S)
            if version and era_of(page.row_version) != era_of(version):
                raise PlatformUnavailable("the store was restored during a read")
            version = version or page.row_version
            rows += [_decode_row(row) for row in page.rows]
            if not page.has_more or not page.rows:
                age_s = self.env.clock.monotonic_s() - sent_s
                return TableChanges(tuple(rows), version, age_s=age_s, sent_s=sent_s)
            start = page.rows[-1].key + "\0"

    async def read_row(self, table: str, key: str, part: str = "") -> StoredRow | None:
        """Return one row, None if it does not exist; raises `PlatformUnavailable`."""
        query = {"table": table, "part": part, "from": key, "limit": 1}
        page = await self._get("/rows-get", query, RESPONSE_TIMEOUT_S)
        return next((_decode_row(row) for row in page.rows if row.key == key), None)

    async def changes(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return the changes after a version; wait up to `wait_s` for one.

        Raises `HistoryLost` if the store no longer has them, `PlatformUnavailable`.
        """
        query = {
            "table": table,
            "after": version_in_store(after),
            "wait_ms": int(wait_s * 1000),
        }
        sent_s = self.env.clock.monotonic_s()
        page = await self._get("/rows-feed", query, wait_s + FEED_TIMEOUT_MARGIN_S)
        # The store has answered by the end of the wait. If this process stood still
        # meanwhile, its answer is older than its arrival.
        late_s = self.env.clock.monotonic_s() - sent_s - wait_s
        if era_of(page.row_version) != era_of(after):
            raise HistoryLost("the store was restored from a copy")
        return TableChanges(
            tuple(_decode_row(row) for row in page.rows),
            page.row_version,
            age_s=max(0.0, late_s),
            sent_s=sent_s,
        )

    async def write(
        self,
        table: str,
        writes: list[RowWrite],
        expected: dict[str, int],
        part: str = "",
        expected_elsewhere: tuple[tuple[str, str, int], ...] = (),
    ) -> None:
        """Apply all writes if each row in `expected` has the given version (0: absent).

        `expected_elsewhere` has conditions on other tables: table, key and version.
        Raises `TableConflict`, `TableUnavailable` (nothing written) and
        `TableOutcomeUnknown`.
        """
        conditions = [(table, key, version) for key, version in expected.items()]
        conditions += expected_elsewhere
        if any(v and era_of(v) != self.era for _, _, v in conditions):
            raise TableConflict("the store was restored", keys=list(expected))
        body = {
            "expected_revision": [
                {
                    "table": expected_table,
                    "part": part,
                    "key": key,
                    "row_version": version_in_store(version),
                }
                for expected_table, key, version in conditions
            ],
            "write": [
                {
                    "table": table,
                    "part": part,
                    "key": row.key,
                    "value": base64.b64encode(row.value).decode(),
                }
                for row in writes
                if row.value is not None
            ],
            "remove": [
                {"table": table, "part": part, "key": row.key}
                for row in writes
                if row.value is None
            ],
        }
        try:
            status, _, _ = await self._call(
                "POST", "/rows-tx", body, RESPONSE_TIMEOUT_S
            )
        except ExchangeFailed as error:
            if not error.may_have_run:
                raise TableUnavailable(str(error)) from error
            raise TableOutcomeUnknown(str(error)) from error
        if status == 412:
            raise TableConflict("condition did not hold", keys=list(expected))
        if status in (429, 503):
            raise TableUnavailable(f"row store returned status {status}")
        if status != 200:
            raise TableOutcomeUnknown(f"row store returned status {status}")

    async def _get(self, path: str, query: dict, timeout_s: float) -> _RowsWire:
        target = f"{path}?{urlencode(query)}"
        try:
            status, body, era = await self._call("GET", target, None, timeout_s)
        except ExchangeFailed as error:
            raise PlatformUnavailable(f"{path}: {error}") from error
        if status == 410:
            raise HistoryLost(f"{path}: the store no longer keeps these changes")
        if status != 200:
            raise PlatformUnavailable(f"{path} returned status {status}", status=status)
        try:
            page = decode_untrusted(body, _RowsWire)
        except msgspec.DecodeError as error:
            raise PlatformUnavailable(f"{path}: malformed rows: {error}") from error
        page.row_version = combine(era, page.row_version)
        for row in page.rows:
            row.row_version = combine(era, row.row_version)
        return page

    async def _call(
        self, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, bytes, int]:
        """Return status, body and the era of the store that responded."""
        operation = target.partition("?")[0].lstrip("/")
        self.env.metrics.counter(
            "platform_calls_total", "Calls to the platform", ("operation",)
        ).labels(operation).inc()
        content = b"" if body is None else msgspec.json.encode(body)
        headers = [("Host", self.address)]
        if content:
            headers.append(("Content-Type", "application/json"))
        request = OutgoingRequest(method, target, tuple(headers), content)
        timeouts = ResponseTimeouts(head_s=timeout_s, body=BODY_PROGRESS)
        heads: list[ResponseHead] = []
        status, body = await self.pool.fetch(
            self.address,
            request,
            MAX_RESPONSE_BYTES,
            reuse=True,
            timeouts=timeouts,
            on_head=heads.append,
        )
        return status, body, self._note_era(heads[-1])

    def _note_era(self, head: ResponseHead) -> int:
        """Return the era that a response names, else the last one that is known."""
        text = head.headers.get(HEADERS.store_era, "")
        era = int(text) if text.isdecimal() else self.era
        if era > self.era:
            if self.era:
                log_event(
                    self.env.logger, "store_restored", era=era, previous_era=self.era
                )
                for callback in self.on_restored:
                    callback()
            self.era = era
        return era


def _decode_row(wire: _RowWire) -> StoredRow:
    try:
        value = base64.b64decode(wire.value, validate=True)
    except ValueError:
        # An undecodable value makes only its row malformed, not the whole page.
        value = b""
    return StoredRow(
        wire.part, wire.key, None if wire.deleted else value, wire.row_version
    )
