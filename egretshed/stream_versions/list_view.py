"""Confirms at the store that the list of servers is complete, when a decision needs it.

That no other version has served can only be concluded from a list that is younger than
what it is concluded for. A node that stood still or was cut off has an older one, and a
process that goes on runs its waiting callbacks before any timer could tell it so.

Load pattern: a node is lost during a release, and its callers take all their streams up
at once. One read of the store serves all requests that arrived before it was sent.
"""

import asyncio
import math

from egretshed.environment import Environment
from egretshed.errors import PlatformUnavailable
from egretshed.feeds.follower import TableFollower
from egretshed.feeds.peer_sync import (
    PEER_LONG_POLL_S,
    READER_MAX_AGE_S,
)
from egretshed.logs import log_event
from egretshed.platform.interface import ChangeFeed
from egretshed.stream_versions.version_record import VersionRecord

# Age of the list of a node that follows a reader, at most.
MAX_FOLLOWED_AGE_S = READER_MAX_AGE_S + PEER_LONG_POLL_S
# Shortest time between two reads. Callers that name unknown streams over and over cause
# no more calls than this.
READ_PERIOD_S = 0.05
# After a failed read, requests are refused at once for this long.
FAILURE_PAUSE_S = 0.3


class ServerListView:
    """What a node knows of the servers that there are and were, and as of when.

    `store` is read directly: a peer that follows it may have stood still itself.
    """

    def __init__(
        self,
        env: Environment,
        follower: TableFollower,
        store: ChangeFeed,
        record: VersionRecord,
    ):
        self.env = env
        self.follower = follower
        self.store = store
        self.record = record
        self._read: asyncio.Task | None = None
        self._sent_s = -math.inf
        self._failed_s = -math.inf

    def age_s(self) -> float:
        """Return the time since the list was last confirmed by any source."""
        return self.follower.age_s()

    def is_current(self) -> bool:
        """Return whether the list is being followed without an interruption."""
        return self.follower.is_connected and self.age_s() <= MAX_FOLLOWED_AGE_S

    def as_of_s(self) -> float:
        """Return the moment until which no server was missed.

        After changes were lost, the record of versions has to be read as well: servers
        may have come and gone in between.
        """
        gap_s = self.follower.gap_s
        if gap_s is not None and gap_s >= self.record.read_s:
            return -math.inf
        return self.follower.as_of_s

    async def confirm(self, since_s: float, limit_s: float) -> bool:
        """Return whether no server was missed until `since_s`; read the store for it.

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
            await self.follower.read_now(self.store)
            gap_s = self.follower.gap_s
            if gap_s is not None and gap_s >= self.record.read_s:
                await self.record.read()
        except PlatformUnavailable as error:
            self._failed_s = self.env.clock.monotonic_s()
            log_event(self.env.logger, "server_list_not_confirmed", reason=str(error))
            return
        log_event(
            self.env.logger,
            "server_list_confirmed",
            version=self.follower.version,
            took_s=round(self.env.clock.monotonic_s() - self._sent_s, 3),
            previous_age_s=round(self._sent_s - previous_s, 3),
        )
