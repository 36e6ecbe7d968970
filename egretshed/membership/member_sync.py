"""Synchronises member lists with peers.

Members are fetched at start, exchanged periodically with a random peer, and exchanged
with listed nodes that are unreachable, so that partitions heal.
"""

import asyncio
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import MemberSync
from egretshed.membership.probes import PEER_ERRORS
from egretshed.membership.view import FleetView
from egretshed.membership.vm_list import ListedVms
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)

JOIN_PEERS = 3
# Members per periodic exchange; keeps its traffic independent of the fleet size.
SAMPLE_SIZE = 32
REJOIN_PERIOD_S = 2.0


class MemberSynchronizer:
    """Sends and handles `MemberSync`.

    A request that holds only the sender's record asks for all members; the reply to any
    other request is a sample.
    """

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        view: FleetView,
        vms: ListedVms,
        check_not_superseded: Callable[[], None],
    ):
        self.env = env
        self.peers = peers
        self.view = view
        self.vms = vms
        self.check_not_superseded = check_not_superseded
        self._next_sync_s = env.clock.monotonic_s()
        peers.handle(MemberSync, self._handle_sync)

    async def start(self) -> None:
        """Fetch all members from a few listed nodes."""
        unreachable = self._unreachable_listed()
        asked = self.env.random.sample(unreachable, min(JOIN_PEERS, len(unreachable)))
        await asyncio.gather(*(self._fetch_all_from(node_id) for node_id in asked))

    async def run(self) -> None:
        """Exchange members until cancelled."""
        while True:
            jitter = self.env.random.uniform(0.7, 1.3)
            await self.env.clock.sleep(REJOIN_PERIOD_S * jitter)
            unreachable = self._unreachable_listed()
            if len(unreachable) > SAMPLE_SIZE:
                # After a mass start or a long partition, samples would take minutes.
                await self._fetch_all_from(self.env.random.choice(unreachable))
            elif unreachable:
                await self._sync_with(self.env.random.choice(unreachable))
            await self._sync_if_due()

    async def _sync_if_due(self) -> None:
        now_s = self.env.clock.monotonic_s()
        others = [
            m.node_id for m in self.view.reachable() if m.node_id != self.view.own_id
        ]
        if now_s < self._next_sync_s or not others:
            return
        period_s = self.env.settings.membership.sync_period_s
        self._next_sync_s = now_s + period_s * self.env.random.uniform(0.7, 1.3)
        await self._sync_with(self.env.random.choice(others))

    async def _sync_with(self, node_id: str) -> None:
        await self._exchange(node_id, MemberSync(self._sample(node_id)))

    async def _fetch_all_from(self, node_id: str) -> None:
        own = self.view.update_of(self.view.own_id)
        await self._exchange(node_id, MemberSync([own]))

    async def _exchange(self, node_id: str, message: MemberSync) -> None:
        try:
            reply = await self.peers.call(node_id, message)
        except PEER_ERRORS:
            return
        self._apply(reply)

    async def _handle_sync(self, sender: Sender, message: MemberSync) -> MemberSync:
        self.check_not_superseded()
        self._apply(message)
        if len(message.members) == 1:
            shared = [
                m for m in self.view.members.values() if self._is_shareable(m.node_id)
            ]
            return MemberSync([self.view.update_of(m.node_id) for m in shared])
        return MemberSync(self._sample(sender.node_id))

    def _apply(self, message: MemberSync) -> None:
        # Other nodes already know a full list; gossiping it would fill the probes.
        gossip = len(message.members) <= SAMPLE_SIZE + 2
        for update in message.members:
            self.view.apply(update, gossip)

    def _sample(self, receiver: str) -> list:
        shared = [
            node_id for node_id in self.view.members if self._is_shareable(node_id)
        ]
        count = min(SAMPLE_SIZE, len(shared))
        chosen = dict.fromkeys(self.env.random.sample(shared, count))
        chosen[self.view.own_id] = None
        if receiver in self.view.members:
            chosen[receiver] = None
        return [self.view.update_of(node_id) for node_id in chosen]

    def _is_shareable(self, node_id: str) -> bool:
        # Otherwise a dead node that is no longer listed would be exchanged for ever.
        member = self.view.members[node_id]
        return member.is_reachable or self.vms.is_listed(node_id)

    def _unreachable_listed(self) -> list[str]:
        """Return the listed nodes that are unknown or dead in the member view."""
        members = self.view.members
        return [
            node_id
            for node_id in self.vms.entries
            if node_id not in members or not members[node_id].is_reachable
        ]
