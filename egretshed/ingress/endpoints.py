"""Directory, readiness and metrics endpoints of a node."""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.ingress.reply import (
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
# Time that callers may cache a response of the directory, and thus the delay until they
# learn of a node that has left or died; some callers cache it for three times as long.
ADDRESS_TTL_S = 1.0
METRICS_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]


class NodeEndpoints:
    """Handlers of the directory, readiness and metrics listeners."""

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
        """Respond with addresses of nodes that are alive and serving."""
        membership = self.membership()
        if not is_resolve_request(request.target):
            reply.start(404, JSON_HEADERS, b"{}")
            return
        addresses = membership.addresses(MAX_ADDRESSES) if membership else []
        if not addresses:
            reply.start(503, JSON_HEADERS, b"{}")
            return
        ttl_s = min(ADDRESS_TTL_S, self.env.settings.bounds.address_keep_limit_s)
        host_ports = [f"{a.host}:{a.http_port}" for a in addresses]
        reply.start(200, JSON_HEADERS, encode_addresses(host_ports, ttl_s))

    async def readiness(self, request: IncomingRequest, reply: Reply) -> None:
        reply.start(200 if self.is_ready() else 503, JSON_HEADERS, b"{}")

    async def metrics(self, request: IncomingRequest, reply: Reply) -> None:
        reply.start(200, METRICS_HEADERS, self.env.metrics.render())
