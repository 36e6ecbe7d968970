"""Selects the source of a node's tables, before and after it knows its peers.

Load pattern: all nodes of a large fleet start at the same time, and servers register
while they do. Each such change would return the pending store call of every node that
is not told yet which nodes read the store for the others.
"""

import asyncio
from collections.abc import Callable

from egretshed.feeds.follower import TableFollower
from egretshed.platform.interface import (
    ChangeFeed,
    TableChanges,
)


class TableSource:
    """Selects the source of each followed table, from the start of the node on.

    Until peers are known, a table is read once and its changes are not asked for.
    After that, `source(follower, store)` selects the feed.
    """

    def __init__(self, store: ChangeFeed):
        self.store = store
        self._source: Callable[[TableFollower, ChangeFeed], ChangeFeed] | None = None
        self._is_connected = asyncio.Event()

    def connect(
        self, source: Callable[[TableFollower, ChangeFeed], ChangeFeed]
    ) -> None:
        """Use `source` from now on, and end the wait of the followers."""
        self._source = source
        self._is_connected.set()

    def select(self, follower: TableFollower) -> ChangeFeed:
        """Return the source of the next read of a table."""
        if self._source is None:
            return _PendingFeed(self, follower)
        return self._source(follower, self.store)

    async def wait_connected(self) -> None:
        await self._is_connected.wait()


class _PendingFeed:
    """`ChangeFeed` of one follower until peers are known."""

    def __init__(self, table_source: TableSource, follower: TableFollower):
        self.table_source = table_source
        self.follower = follower

    async def read_table(self, table: str, part: str = "") -> TableChanges:
        return await self.table_source.store.read_table(table, part)

    async def changes(self, table: str, after: int, wait_s: float) -> TableChanges:
        await self.table_source.wait_connected()
        feed = self.table_source.select(self.follower)
        return await feed.changes(table, after, wait_s)
