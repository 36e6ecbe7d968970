"""Tells callers where to connect, and the platform whether this node serves."""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.ingress.server import (
    IncomingRequest,
    Reply,
)
from egretshed.membership.service import MembershipService
from egretshed.platform.directory import (
    JSON_HEADERS,
    encode_addresses,
    is_resolve_request,
)

MAX_ADDRESSES = 64
# Callers learn of a node that leaves or died after this time; some keep an answer three
# times as long.
ADDRESS_KEEP_S = 1.0
METRICS_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]


class NodeEndpoints:
    """Handlers of the directory, readiness and metrics addresses."""

    def __init__(
        self,
        env: Environment,
        membership: Callable[[], MembershipService | None],
        is_ready: Callable[[], bool],
    ):
        self.env = env
        self.membership = membership
        self.is_ready = is_ready

    async def resolve(self, request: IncomingRequest, reply: Reply) -> None:
        """Answer with the addresses of nodes that live and serve."""
        membership = self.membership()
        if not is_resolve_request(request.target):
            reply.start(404, JSON_HEADERS, b"{}")
            return
        addresses = membership.addresses(MAX_ADDRESSES) if membership else []
        if not addresses:
            reply.start(503, JSON_HEADERS, b"{}")
            return
        keep_s = min(ADDRESS_KEEP_S, self.env.settings.bounds.address_keep_limit_s)
        names = [f"{a.host}:{a.http_port}" for a in addresses]
        reply.start(200, JSON_HEADERS, encode_addresses(names, keep_s))

    async def readiness(self, request: IncomingRequest, reply: Reply) -> None:
        reply.start(200 if self.is_ready() else 503, JSON_HEADERS, b"{}")

    async def metrics(self, request: IncomingRequest, reply: Reply) -> None:
        reply.start(200, METRICS_HEADERS, self.env.metrics.render())
