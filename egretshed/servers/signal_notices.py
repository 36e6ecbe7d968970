"""Tells the other nodes what servers say in responses to this node.

A changed limit is told at once. An unchanged one is told again if no node has done so
for `RENEWAL_PERIOD_S`, since the nodes that may not send to the server hear nothing of
it. That a server leaves is told once. A pause concerns this node only.
"""

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import (
    ServerLeaving,
    ServerRateLimit,
)
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState

RENEWAL_PERIOD_S = 4.0


class SignalNotices:
    """Exchanges limits and departures of servers between nodes."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        servers: ServerRegistry,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.servers = servers
        servers.limits.on_heard.append(self._tell_limit)
        servers.on_leaving.append(self._tell_leaving)
        peers.handle(ServerRateLimit, self._on_limit)
        peers.handle(ServerLeaving, self._on_leaving)

    def _tell_limit(self, server: ServerState, has_changed: bool) -> None:
        now_s = self.env.clock.monotonic_s()
        if not has_changed and now_s - server.limit_told_s < RENEWAL_PERIOD_S:
            return
        server.limit_told_s = now_s
        limit = server.rate_limit
        notice = ServerRateLimit(
            server.server_id,
            server.listed.started_ms,
            None if limit is None else limit.rate_per_s,
        )
        self._send(notice)

    def _tell_leaving(self, server: ServerState) -> None:
        self._send(ServerLeaving(server.server_id, server.listed.started_ms))

    def _send(self, notice: ServerRateLimit | ServerLeaving) -> None:
        for node_id in self.owners.others():
            self.peers.send(node_id, notice)

    async def _on_limit(self, sender: Sender, notice: ServerRateLimit) -> None:
        server = self._server(notice)
        if server is not None:
            server.limit_told_s = self.env.clock.monotonic_s()
            self.servers.limits.learn(server, notice.rate_per_s, 0.0)

    async def _on_leaving(self, sender: Sender, notice: ServerLeaving) -> None:
        server = self._server(notice)
        if server is not None:
            self.servers.mark_leaving(server, "peer")

    def _server(self, notice: ServerRateLimit | ServerLeaving) -> ServerState | None:
        """Return the incarnation that a notice is about, if it is listed here."""
        server = self.servers.servers.get(notice.server_id)
        if server is None or server.listed.started_ms != notice.started_ms:
            return None
        return server
