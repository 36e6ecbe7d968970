"""Offers new versions to peers and fetches newer ones from the peers that have them."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from egretshed.configuration.active import ActiveConfiguration
from egretshed.configuration.versions import decode_record
from egretshed.environment import Environment
from egretshed.errors import (
    NotFound,
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    ConfigurationDelta,
    ConfigurationDeltas,
    ConfigurationFetch,
    ConfigurationOffer,
)
from egretshed.membership.service import MembershipService
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)

OFFER_FANOUT = 3
MAX_STARTUP_PEERS = 5
# More than one, so that a peer that does not answer does not delay the others.
MAX_CONCURRENT_FETCHES = 3
MAX_REPLY_BYTES = 1024 * 1024
MAX_FETCH_ROUNDS = 64


class VersionPropagator:
    """Exchanges versions with peers.

    `mark_confirmed` is called when a peer has no version newer than the active one.
    """

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        membership: MembershipService,
        active: ActiveConfiguration,
        is_ready: Callable[[], bool],
        mark_confirmed: Callable[[], None],
    ):
        self.env = env
        self.peers = peers
        self.membership = membership
        self.active = active
        self.is_ready = is_ready
        self.mark_confirmed = mark_confirmed
        self._fetching: dict[str, asyncio.Task] = {}
        peers.handle(ConfigurationOffer, self._on_offer)
        peers.handle(ConfigurationFetch, self._on_fetch)
        membership.on_version(self.on_peer_version)

    def offer_to_peers(self) -> None:
        """Send the number of the active version to `OFFER_FANOUT` random peers."""
        node_ids = self._other_node_ids()
        offer = ConfigurationOffer(self.active.version)
        for node_id in self.env.random.sample(
            node_ids, min(OFFER_FANOUT, len(node_ids))
        ):
            self.peers.send(node_id, offer)

    def on_peer_version(self, node_id: str, version: int) -> None:
        """Fetch a higher version from the peer, or mark the active one as confirmed.

        Starts no fetch while one from this peer, or `MAX_CONCURRENT_FETCHES` in all,
        are running.
        """
        if not self.is_ready():
            return
        if version <= self.active.version:
            self.mark_confirmed()
        elif (
            node_id not in self._fetching
            and len(self._fetching) < MAX_CONCURRENT_FETCHES
        ):
            task = asyncio.create_task(self._fetch_version(node_id, version))
            self._fetching[node_id] = task
            task.add_done_callback(lambda _: self._fetching.pop(node_id, None))

    async def fetch_from_peers(self) -> bool:
        """Activate the highest version of `MAX_STARTUP_PEERS` random peers.

        Returns False if no peer delivered all its newer versions.
        """
        node_ids = self._other_node_ids()
        asked = self.env.random.sample(node_ids, min(MAX_STARTUP_PEERS, len(node_ids)))
        answers = await asyncio.gather(
            *(self._fetch_until_current(node_id) for node_id in asked)
        )
        return any(answers)

    async def fetch_once(self, node_id: str) -> bool:
        """Apply one reply of newer versions from `node_id`; return False on failure."""
        message = ConfigurationFetch(self.active.version)
        try:
            reply = await self.peers.call(node_id, message)
        except (PeerUnavailable, PeerRejected):
            return False
        if reply.snapshot is not None:
            objects = msgspec.json.decode(reply.snapshot)
            self.active.adopt_snapshot(reply.snapshot_version, objects)
        for delta in reply.deltas:
            self.active.apply(decode_record(msgspec.json.decode(delta.body)))
        return True

    def stop(self) -> None:
        for task in list(self._fetching.values()):
            task.cancel()

    async def _fetch_until_current(self, node_id: str) -> bool:
        """Fetch until `node_id` has nothing newer; return False if that fails."""
        for _ in range(MAX_FETCH_ROUNDS):
            previous = self.active.version
            if not await self.fetch_once(node_id):
                return False
            if self.active.version == previous:
                return True
        return False

    async def _fetch_version(self, node_id: str, version: int) -> None:
        before = self.active.version
        for _ in range(MAX_FETCH_ROUNDS):
            previous = self.active.version
            if not await self.fetch_once(node_id) or self.active.version == previous:
                break
            if self.active.version >= version:
                self.mark_confirmed()
                break
        if self.active.version > before:
            self.offer_to_peers()

    async def _on_offer(self, sender: Sender, offer: ConfigurationOffer) -> None:
        self.on_peer_version(sender.node_id, offer.version)

    async def _on_fetch(
        self, sender: Sender, fetch: ConfigurationFetch
    ) -> ConfigurationDeltas:
        if not self.is_ready():
            raise NotFound("the configuration is not loaded yet")
        if fetch.after_version >= self.active.version:
            return ConfigurationDeltas([])
        deltas = self.active.deltas_after(fetch.after_version)
        if deltas is None:
            return self._snapshot()
        return ConfigurationDeltas(_take_up_to(deltas, MAX_REPLY_BYTES))

    def _snapshot(self) -> ConfigurationDeltas:
        body = msgspec.json.encode(self.active.objects)
        if len(body) > self.env.settings.peers.max_frame_bytes // 2:
            raise NotFound("the configuration snapshot exceeds half of max_frame_bytes")
        return ConfigurationDeltas([], body, self.active.version)

    def _other_node_ids(self) -> list[str]:
        own_id = self.env.identity.node_id
        return [m.node_id for m in self.membership.reachable() if m.node_id != own_id]


def _take_up_to(deltas: list[tuple[int, bytes]], limit_bytes: int) -> list[Any]:
    """Return the leading deltas within the limit, but at least one."""
    chosen: list[ConfigurationDelta] = []
    size_bytes = 0
    for version, body in deltas:
        size_bytes += len(body)
        if chosen and size_bytes > limit_bytes:
            break
        chosen.append(ConfigurationDelta(version, body))
    return chosen
