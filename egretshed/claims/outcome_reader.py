"""Reads stored outcomes from the table and the object store."""

from collections.abc import Callable

import msgspec

from egretshed.claims.records import (
    StoredOutcome,
    is_done,
)
from egretshed.errors import PlatformUnavailable
from egretshed.platform.interface import (
    Platform,
    Row,
)


class OutcomeReader:
    """Reads the outcomes of claims.

    `is_alive(node_id, incarnation)` tells whether the process that owns a claim without
    an outcome is still running.
    """

    def __init__(self, platform: Platform, is_alive: Callable[[str, int], bool]):
        self._platform = platform
        self._is_alive = is_alive

    async def read(self, key: str) -> StoredOutcome | None:
        """Return the outcome that the row of `key` gives, or None if there is no row.

        Raises `PlatformUnavailable`.
        """
        rows = await self._platform.table.read([key])
        return await self.resolve(rows[key]) if key in rows else None

    async def resolve(self, row: Row) -> StoredOutcome:
        value = row.value
        owner = (value["node_id"], value["incarnation"])
        if not is_done(row):
            state = "running" if self._is_alive(*owner) else "unknown"
            return StoredOutcome(state, None, *owner)
        if "object_key" not in value:
            return StoredOutcome("done", value["outcome"], *owner)
        body = await self._platform.objects.get(value["object_key"])
        if body is None:
            raise PlatformUnavailable(
                f"outcome object {value['object_key']} is missing"
            )
        return StoredOutcome("done", msgspec.json.decode(body), *owner)
