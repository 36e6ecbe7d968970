"""Confirms at the store what a node knows of a table, when a decision needs it.

That something is not in a table can only be concluded from rows that are younger than
what it is concluded for. A node that stood still or was cut off has older ones, and a
process that goes on runs its waiting callbacks before any timer could tell it so.

Load pattern: many requests arrive at a node that has just gone on. One read of the
store serves all that arrived before it was sent.
"""

import asyncio
import math

from egretshed.environment import Environment
from egretshed.errors import PlatformUnavailable
from egretshed.feeds.follower import TableFollower
from egretshed.logs import log_event
from egretshed.platform.interface import ChangeFeed

# Shortest time between two reads. Requests that each need a fresh view cause no more
# calls than this.
READ_PERIOD_S = 0.05
# After a failed read, the view counts as not confirmed at once for this long.
FAILURE_PAUSE_S = 0.3


class TableView:
    """The rows of a table, and as of when they are known.

    `store` is read directly: a peer that follows it may have stood still itself.
    """

    def __init__(self, env: Environment, follower: TableFollower, store: ChangeFeed):
        self.env = env
        self.follower = follower
        self.store = store
        self._read: asyncio.Task | None = None
        self._sent_s = -math.inf
        self._failed_s = -math.inf

    def age_s(self) -> float:
        """Return the time since the rows were last confirmed by any source."""
        return self.follower.age_s()

    def as_of_s(self) -> float:
        """Return the moment until which no change was missed."""
        return self.follower.as_of_s

    async def confirm(self, since_s: float, limit_s: float) -> bool:
        """Return whether no change until `since_s` was missed; read the store for it.

        Waits for `limit_s` at most.
        """
        try:
            async with asyncio.timeout(limit_s):
                while self.as_of_s() < since_s:
                    if self._read is None or self._read.done():
                        if self._has_just_failed():
                            return False
                        self._read = asyncio.create_task(self._read_store())
                    # Other requests wait for the same read.
                    await asyncio.shield(self._read)
        except TimeoutError:
            return False
        return True

    def _has_just_failed(self) -> bool:
        return self.env.clock.monotonic_s() - self._failed_s < FAILURE_PAUSE_S

    async def _read_store(self) -> None:
        now_s = self.env.clock.monotonic_s()
        await self.env.clock.sleep(max(0.0, self._sent_s + READ_PERIOD_S - now_s))
        self._sent_s = self.env.clock.monotonic_s()
        previous_s = self.follower.as_of_s
        try:
            await self._read_rows()
        except PlatformUnavailable as error:
            self._failed_s = self.env.clock.monotonic_s()
            self._log("table_not_confirmed", reason=str(error))
            return
        self._log(
            "table_confirmed",
            version=self.follower.version,
            took_s=round(self.env.clock.monotonic_s() - self._sent_s, 3),
            previous_age_s=round(self._sent_s - previous_s, 3),
        )

    async def _read_rows(self) -> None:
        await self.follower.read_now(self.store)

    def _log(self, message: str, **fields) -> None:
        log_event(self.env.logger, message, table=self.follower.table, **fields)
