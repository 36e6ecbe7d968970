"""Offers a higher version to peers and fetches it from the peer that offered it."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from egretshed.configuration.active import ActiveConfiguration
from egretshed.configuration.versions import record_from
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

OFFER_TO = 3
ASK_AT_START = 5
# Several at once, so that one silent peer does not hold up the others.
FETCHES_AT_ONCE = 3
REPLY_BYTES = 1024 * 1024
FETCH_ROUNDS = 64


class VersionPropagator:
    """Peer side of propagation; `confirm` is called when a peer has nothing newer."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        membership: MembershipService,
        active: ActiveConfiguration,
        is_ready: Callable[[], bool],
        confirm: Callable[[], None],
    ):
        self.env = env
        self.peers = peers
        self.membership = membership
        self.active = active
        self.is_ready = is_ready
        self.confirm = confirm
        self._fetching: dict[str, asyncio.Task] = {}
        peers.handle(ConfigurationOffer, self._answer_offer)
        peers.handle(ConfigurationFetch, self._answer_fetch)
        membership.on_version(self.note_version)

    def offer(self) -> None:
        """Tell a few random peers which version is in force here."""
        others = self._others()
        offer = ConfigurationOffer(self.active.version)
        for node_id in self.env.random.sample(others, min(OFFER_TO, len(others))):
            self.peers.send(node_id, offer)

    def note_version(self, node_id: str, version: int) -> None:
        """Fetch from a peer that has a higher version."""
        if not self.is_ready():
            return
        if version <= self.active.version:
            self.confirm()
        elif node_id not in self._fetching and len(self._fetching) < FETCHES_AT_ONCE:
            task = asyncio.create_task(self._fetch_up_to(node_id, version))
            self._fetching[node_id] = task
            task.add_done_callback(lambda _: self._fetching.pop(node_id, None))

    async def ask_several(self) -> bool:
        """Adopt the highest version of a few peers; return False if none answered."""
        others = self._others()
        asked = self.env.random.sample(others, min(ASK_AT_START, len(others)))
        answers = await asyncio.gather(*(self._fetch_all(node_id) for node_id in asked))
        return any(answers)

    async def fetch(self, node_id: str) -> bool:
        """Apply what `node_id` has beyond this node; return False if it cannot say."""
        message = ConfigurationFetch(self.active.version)
        try:
            reply = await self.peers.call(node_id, message)
        except (PeerUnavailable, PeerRejected):
            return False
        if reply.snapshot is not None:
            objects = msgspec.json.decode(reply.snapshot)
            self.active.adopt(reply.snapshot_version, objects)
        for delta in reply.deltas:
            self.active.apply(record_from(msgspec.json.decode(delta.body)))
        return True

    def stop(self) -> None:
        for task in list(self._fetching.values()):
            task.cancel()

    async def _fetch_all(self, node_id: str) -> bool:
        """Fetch until this node has all that `node_id` has; return False if not."""
        for _ in range(FETCH_ROUNDS):
            reached = self.active.version
            if not await self.fetch(node_id):
                return False
            if self.active.version == reached:
                return True
        return False

    async def _fetch_up_to(self, node_id: str, version: int) -> None:
        before = self.active.version
        for _ in range(FETCH_ROUNDS):
            reached = self.active.version
            if not await self.fetch(node_id) or self.active.version == reached:
                break
            if self.active.version >= version:
                self.confirm()
                break
        if self.active.version > before:
            self.offer()

    async def _answer_offer(self, sender: Sender, offer: ConfigurationOffer) -> None:
        self.note_version(sender.node_id, offer.version)

    async def _answer_fetch(
        self, sender: Sender, fetch: ConfigurationFetch
    ) -> ConfigurationDeltas:
        if not self.is_ready():
            raise NotFound("the configuration is not loaded yet")
        if fetch.after_version >= self.active.version:
            return ConfigurationDeltas([])
        deltas = self.active.deltas_after(fetch.after_version)
        if deltas is None:
            return self._snapshot()
        return ConfigurationDeltas(_within(deltas, REPLY_BYTES))

    def _snapshot(self) -> ConfigurationDeltas:
        body = msgspec.json.encode(self.active.objects)
        if len(body) > self.env.settings.peers.max_frame_bytes // 2:
            raise NotFound("the configuration is too large for a message")
        return ConfigurationDeltas([], body, self.active.version)

    def _others(self) -> list[str]:
        own_id = self.env.identity.node_id
        return [m.node_id for m in self.membership.reachable() if m.node_id != own_id]


def _within(deltas: list[tuple[int, bytes]], limit_bytes: int) -> list[Any]:
    """Return the first deltas up to the limit, and at least one."""
    chosen: list[ConfigurationDelta] = []
    size_bytes = 0
    for version, body in deltas:
        size_bytes += len(body)
        if chosen and size_bytes > limit_bytes:
            break
        chosen.append(ConfigurationDelta(version, body))
    return chosen
