"""Copies of followed tables from peers, for a node that the store does not serve."""

import asyncio

from egretshed.environment import Environment
from egretshed.errors import (
    PeerRejected,
    PeerUnavailable,
)
from egretshed.feeds.follower import (
    TableFollower,
    TableState,
)
from egretshed.gen.messages.ttypes import (
    TableFetch,
    TableRow,
    TableRows,
)
from egretshed.membership.service import MembershipService
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.platform.interface import StoredRow

# How often a node without the store asks a peer; a change must be in force within
# seconds also there.
PERIOD_S = 0.4
# A table whose state was confirmed this recently is not asked for.
FRESH_S = 3.2
CALL_TIMEOUT_S = 0.4


class PeerCopies:
    """Asks random peers for newer tables while the store is away, and answers them."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        membership: MembershipService,
        followers: dict[str, TableFollower],
    ):
        self.env = env
        self.peers = peers
        self.membership = membership
        self.followers = followers
        peers.handle(TableFetch, self._answer)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self.env.clock.sleep(PERIOD_S * self.env.random.uniform(0.8, 1.2))
            behind = [f for f in self.followers.values() if self._is_behind(f)]
            if behind:
                await asyncio.gather(*(self._fetch(f) for f in behind))

    def _is_behind(self, follower: TableFollower) -> bool:
        return not follower.is_connected or follower.age_s() > FRESH_S

    async def _fetch(self, follower: TableFollower) -> None:
        own_id = self.env.identity.node_id
        others = [m.node_id for m in self.membership.reachable() if m.node_id != own_id]
        if not others:
            return
        node_id = self.env.random.choice(others)
        message = TableFetch(follower.table, follower.version)
        try:
            reply = await self.peers.call(node_id, message, CALL_TIMEOUT_S)
        except (PeerUnavailable, PeerRejected):
            return
        if reply.version > follower.version:
            rows = tuple(
                StoredRow(row.part, row.key, row.value, row.version)
                for row in reply.rows
            )
            follower.adopt(TableState(reply.version, rows))

    async def _answer(self, sender: Sender, message: TableFetch) -> TableRows:
        follower = self.followers.get(message.table)
        if follower is None or follower.version <= message.version:
            return TableRows(0, [])
        rows = [
            TableRow(row.part, row.key, row.value, row.version)
            for row in follower.rows.values()
        ]
        return TableRows(follower.version, rows)
