"""Exchanges member lists at start, rarely with a peer, and with listed silent nodes."""

import asyncio
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import MemberSync
from egretshed.membership.probes import PEER_FAILURES
from egretshed.membership.view import FleetView
from egretshed.membership.vm_list import ListedVms
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)

START_PEERS = 3
# Keeps the traffic of the periodic exchange independent of the size of the fleet.
SAMPLE_MEMBERS = 32
REJOIN_PERIOD_S = 2.0


class MemberSynchronizer:
    """`MemberSync` in both directions.

    A request with the sender's record alone asks for all members; any other one is
    answered with a sample.
    """

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        view: FleetView,
        vms: ListedVms,
        check_current: Callable[[], None],
    ):
        self.env = env
        self.peers = peers
        self.view = view
        self.vms = vms
        self.check_current = check_current
        self._next_sync_s = env.clock.monotonic_s()
        peers.handle(MemberSync, self._answer)

    async def start(self) -> None:
        """Fetch all members from a few listed nodes."""
        silent = self._silent()
        asked = self.env.random.sample(silent, min(START_PEERS, len(silent)))
        await asyncio.gather(*(self._fetch_all_from(node_id) for node_id in asked))

    async def run(self) -> None:
        while True:
            jitter = self.env.random.uniform(0.7, 1.3)
            await self.env.clock.sleep(REJOIN_PERIOD_S * jitter)
            silent = self._silent()
            if len(silent) > SAMPLE_MEMBERS:
                # After a mass start or a long cut, samples would take minutes.
                await self._fetch_all_from(self.env.random.choice(silent))
            elif silent:
                await self._sync_with(self.env.random.choice(silent))
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
        except PEER_FAILURES:
            return
        self._apply(reply)

    async def _answer(self, sender: Sender, message: MemberSync) -> MemberSync:
        self.check_current()
        self._apply(message)
        if len(message.members) == 1:
            shared = [
                m for m in self.view.members.values() if self._may_share(m.node_id)
            ]
            return MemberSync([self.view.update_of(m.node_id) for m in shared])
        return MemberSync(self._sample(sender.node_id))

    def _apply(self, message: MemberSync) -> None:
        # A whole list is known to others already; passing it on would fill the probes.
        spread = len(message.members) <= SAMPLE_MEMBERS + 2
        for update in message.members:
            self.view.apply(update, spread)

    def _sample(self, receiver: str) -> list:
        shared = [node_id for node_id in self.view.members if self._may_share(node_id)]
        count = min(SAMPLE_MEMBERS, len(shared))
        chosen = dict.fromkeys(self.env.random.sample(shared, count))
        chosen[self.view.own_id] = None
        if receiver in self.view.members:
            chosen[receiver] = None
        return [self.view.update_of(node_id) for node_id in chosen]

    def _may_share(self, node_id: str) -> bool:
        # A dead node that is no longer listed would otherwise be passed round for ever.
        member = self.view.members[node_id]
        return member.is_reachable or self.vms.is_listed(node_id)

    def _silent(self) -> list[str]:
        """Return listed nodes that this node does not reach."""
        members = self.view.members
        return [
            node_id
            for node_id in self.vms.entries
            if node_id not in members or not members[node_id].is_reachable
        ]
