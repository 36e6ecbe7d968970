"""Tells a few other nodes where streams began, and asks them for those begun elsewhere.

The holders of the records are the nodes that rank first for this duty in each failure
domain, so that neither the loss of the node that began a stream nor that of a domain
loses its record, and each node needs connections to these few only.
"""

import asyncio
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.errors import (
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    StreamVersion,
    StreamVersionQuery,
    StreamVersionReply,
)
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.stream_versions.records import (
    MAX_ID_CHARACTERS,
    StreamBeginning,
    StreamMemory,
)

DUTY = "stream_versions"
HOLDERS = 3
REPLY_TIMEOUT_S = 0.15
# A holder that did not reply may only have been slow.
ASK_ROUNDS = 2


class FoundStream(NamedTuple):
    """Result of a search; `source` tells where the record was, or why there is none."""

    beginning: StreamBeginning | None
    source: str
    age_s: float = 0.0


class StreamVersions:
    """Beginnings of streams, as far as this node or a holder knows them."""

    def __init__(self, env: Environment, peers: PeerNetwork, owners: DutyOwners):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.memory = StreamMemory()
        peers.handle(StreamVersion, self._on_notice)
        peers.handle(StreamVersionQuery, self._on_query)

    def add(self, request_id: str, beginning: StreamBeginning) -> None:
        """Remember a stream and tell the holders."""
        if len(request_id) > MAX_ID_CHARACTERS:
            return
        self.memory.add(request_id, beginning, self.env.clock.monotonic_s())
        for node_id in self._holders():
            self.peers.send(node_id, StreamVersion(request_id, *beginning))

    async def find(self, request_id: str) -> FoundStream:
        """Return where a stream began; ask the holders if this node does not know."""
        now_s = self.env.clock.monotonic_s()
        beginning, age_s = self.memory.get(request_id, now_s)
        if beginning is not None:
            return FoundStream(beginning, "memory", age_s)
        if not request_id:
            return FoundStream(None, "not_named")
        if len(request_id) > MAX_ID_CHARACTERS:
            return FoundStream(None, "malformed_id")
        unanswered = self._holders()
        for _ in range(ASK_ROUNDS):
            unanswered, found = await self._ask(unanswered, request_id)
            if found is not None:
                self.memory.add(request_id, found.beginning, now_s)
                return found
            if not unanswered:
                return FoundStream(None, "not_known")
        return FoundStream(None, "holders_silent")

    def _holders(self) -> list[str]:
        own_id = self.env.identity.node_id
        ranked = self.owners.first_of_domains(DUTY, HOLDERS)
        return [node_id for node_id in ranked if node_id != own_id]

    async def _ask(
        self, node_ids: list[str], request_id: str
    ) -> tuple[list[str], FoundStream | None]:
        """Ask nodes at once; return those that did not reply, and the first record."""
        calls = {
            asyncio.create_task(self._ask_one(node_id, request_id)): node_id
            for node_id in node_ids
        }
        unanswered, waiting = [], set(calls)
        try:
            while waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for call in done:
                    reply = call.result()
                    if reply is None:
                        unanswered.append(calls[call])
                    elif reply.beginning is not None:
                        return [], _decode_reply(reply)
        finally:
            for call in waiting:
                call.cancel()
        return unanswered, None

    async def _ask_one(
        self, node_id: str, request_id: str
    ) -> StreamVersionReply | None:
        query = StreamVersionQuery(request_id)
        try:
            return await self.peers.call(node_id, query, REPLY_TIMEOUT_S)
        except (PeerUnavailable, PeerRejected):
            return None

    async def _on_notice(self, sender: Sender, notice: StreamVersion) -> None:
        self.memory.add(
            notice.request_id, _decode(notice), self.env.clock.monotonic_s()
        )

    async def _on_query(
        self, sender: Sender, query: StreamVersionQuery
    ) -> StreamVersionReply:
        now_s = self.env.clock.monotonic_s()
        beginning, age_s = self.memory.get(query.request_id, now_s)
        if beginning is None:
            return StreamVersionReply()
        notice = StreamVersion(query.request_id, *beginning)
        return StreamVersionReply(notice, int(age_s * 1000))


def _decode(notice: StreamVersion) -> StreamBeginning:
    return StreamBeginning(
        notice.service_name,
        notice.version,
        notice.server_id,
        notice.started_ms,
        notice.connected_ms,
    )


def _decode_reply(reply: StreamVersionReply) -> FoundStream:
    return FoundStream(_decode(reply.beginning), "holder", (reply.age_ms or 0) / 1000)
