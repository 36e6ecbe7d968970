"""What a node knows of the servers that there are and were, and as of when.

That no other version has served can only be concluded from a list that is younger than
the request for which it is concluded.
"""

import math

from egretshed.environment import Environment
from egretshed.feeds.follower import TableFollower
from egretshed.feeds.peer_sync import (
    PEER_LONG_POLL_S,
    READER_MAX_AGE_S,
)
from egretshed.feeds.table_view import TableView
from egretshed.platform.interface import ChangeFeed
from egretshed.stream_versions.version_record import VersionRecord

# Age of the list of a node that follows a reader, at most.
MAX_FOLLOWED_AGE_S = READER_MAX_AGE_S + PEER_LONG_POLL_S


class ServerListView(TableView):
    """The list of servers together with the record of versions."""

    def __init__(
        self,
        env: Environment,
        follower: TableFollower,
        store: ChangeFeed,
        record: VersionRecord,
    ):
        super().__init__(env, follower, store)
        self.record = record

    def is_current(self) -> bool:
        """Return whether the list is being followed without an interruption."""
        return self.follower.is_connected and self.age_s() <= MAX_FOLLOWED_AGE_S

    def as_of_s(self) -> float:
        """Return the moment until which no server was missed.

        After changes were lost, the record of versions has to be read as well: servers
        may have come and gone in between.
        """
        return -math.inf if self._needs_record() else self.follower.as_of_s

    def _needs_record(self) -> bool:
        gap_s = self.follower.gap_s
        return gap_s is not None and gap_s >= self.record.read_s

    async def _read_rows(self) -> None:
        await super()._read_rows()
        if self._needs_record():
            await self.record.read()
