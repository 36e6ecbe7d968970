"""Tells the other nodes of limits that servers name in responses to this node.

A change is told at once. An unchanged limit is told again if no node has done so for
`RENEWAL_PERIOD_S`, since the nodes that may not send to the server hear nothing of it.
"""

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import ServerRateLimit
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState

RENEWAL_PERIOD_S = 4.0


class LimitNotices:
    """Exchanges limits between nodes, once per server and period."""

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
        servers.limits.on_heard.append(self._tell)
        peers.handle(ServerRateLimit, self._on_notice)

    def _tell(self, server: ServerState, has_changed: bool) -> None:
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
        for node_id in self.owners.others():
            self.peers.send(node_id, notice)

    async def _on_notice(self, sender: Sender, notice: ServerRateLimit) -> None:
        server = self.servers.servers.get(notice.server_id)
        if server is None or server.listed.started_ms != notice.started_ms:
            return
        server.limit_told_s = self.env.clock.monotonic_s()
        self.servers.limits.learn(server, notice.rate_per_s, 0.0)
