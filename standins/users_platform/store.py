"""Simulated row store with a change feed and fault modes."""

import asyncio
import base64
import json
from collections import Counter
from typing import NamedTuple

from tornado.web import (
    Application,
    RequestHandler,
)

POLL_S = 0.01
OPERATOR_TABLE = "op"
SERVER_TABLE = "servers"


class StoredRow(NamedTuple):
    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class StoreCopy(NamedTuple):
    version: int
    rows: dict[tuple[str, str, str], StoredRow]


class RowStoreState:
    """Rows, their change history and the present fault of the store.

    `mode` is ``ok``, ``busy`` (responds with 503), ``silent`` (does not respond until
    the mode changes, then with 503) or ``lost`` (applies writes and closes the
    connection without a response).
    """

    def __init__(self) -> None:
        self.version = 0
        self.era = 1
        self.rows: dict[tuple[str, str, str], StoredRow] = {}
        self.history: list[StoredRow] = []
        self.oldest_version = 0
        self.mode = "ok"
        self.calls = 0
        self.calls_by_path: Counter[str] = Counter()

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> None:
        self.version += 1
        row = StoredRow(table, part, key, value, self.version)
        self.history.append(row)
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = row

    def put_json(self, table: str, key: str, value: object) -> None:
        self.put(table, key, json.dumps(value).encode())

    def compact(self) -> None:
        """Discard the change history, so that feeds from older versions get 410."""
        self.history.clear()
        self.oldest_version = self.version

    def copy(self) -> StoreCopy:
        return StoreCopy(self.version, dict(self.rows))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; what was written since is lost, versions are reused."""
        self.version, self.rows = copy.version, dict(copy.rows)
        self.era += 1
        self.compact()

    def rows_of(self, table: str, part: str) -> list[StoredRow]:
        found = [r for r in self.rows.values() if (r.table, r.part) == (table, part)]
        return sorted(found, key=lambda row: row.key)

    def changes_after(self, table: str, version: int) -> list[StoredRow]:
        return [r for r in self.history if r.table == table and r.version > version]


def _row_to_json(row: StoredRow) -> dict:
    return {
        "table": row.table,
        "part": row.part,
        "key": row.key,
        "value": base64.b64encode(row.value or b"").decode(),
        "row_version": row.version,
        "deleted": row.value is None,
    }


class _StoreHandler(RequestHandler):
    def initialize(self, state: RowStoreState) -> None:
        self.state = state

    async def prepare(self) -> None:
        self.state.calls += 1
        self.set_header("Store-Era", str(self.state.era))
        self.state.calls_by_path[self.request.path] += 1
        if self.state.mode == "busy":
            self.set_status(503)
            self.finish({})
        elif self.state.mode == "silent":
            while self.state.mode == "silent":
                await asyncio.sleep(POLL_S)
            self.set_status(503)
            self.finish({})

    def send_rows(self, rows: list[StoredRow], **fields: object) -> None:
        wire = [_row_to_json(row) for row in rows]
        self.write({"rows": wire, "row_version": self.state.version, **fields})


class _GetHandler(_StoreHandler):
    def get(self) -> None:
        state = self.state
        table, part = self.get_argument("table"), self.get_argument("part", "")
        start = self.get_argument("from", "")
        limit = int(self.get_argument("limit", "500"))
        rows = [row for row in state.rows_of(table, part) if row.key >= start]
        self.send_rows(rows[:limit], has_more=len(rows) > limit)


class _FeedHandler(_StoreHandler):
    async def get(self) -> None:
        state = self.state
        table = self.get_argument("table")
        after = int(self.get_argument("after"))
        end_s = asyncio.get_running_loop().time()
        end_s += int(self.get_argument("wait_ms")) / 1000
        while True:
            if after < state.oldest_version or after > state.version:
                self.set_status(410)
                self.write({})
                return
            rows = state.changes_after(table, after)
            if rows or asyncio.get_running_loop().time() >= end_s:
                self.send_rows(rows)
                return
            await asyncio.sleep(POLL_S)


class _TransactHandler(_StoreHandler):
    async def post(self) -> None:
        body = json.loads(self.request.body)
        state = self.state
        for row in (*body["write"], *body["remove"]):
            if row["table"] in (OPERATOR_TABLE, SERVER_TABLE):
                self.set_status(403)
                return
        for row in body["expected_revision"]:
            known = state.rows.get((row["table"], row["part"], row["key"]))
            if (known.version if known else 0) != row["row_version"]:
                self.set_status(412)
                self.write({"rows": [_row_to_json(known)] if known else []})
                return
        for row in body["write"]:
            value = base64.b64decode(row["value"])
            state.put(row["table"], row["key"], value, row["part"])
        for row in body["remove"]:
            state.put(row["table"], row["key"], None, row["part"])
        if state.mode == "lost":
            self.request.connection.stream.close()
            return
        self.write({"row_version": state.version})


def store_application(state: RowStoreState) -> Application:
    """Return the HTTP application of a store."""
    options = {"state": state}
    return Application(
        [
            ("/rows-get", _GetHandler, options),
            ("/rows-feed", _FeedHandler, options),
            ("/rows-tx", _TransactHandler, options),
        ],
        log_function=lambda handler: None,
    )
