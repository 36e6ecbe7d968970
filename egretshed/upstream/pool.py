"""Pool of connections to servers, reused only for requests that may be repeated.

A request that must not be repeated always gets a new connection. The server may have
closed an idle one in the meantime: a request sent on it would get no response, and
could not be sent again.
"""

from collections import defaultdict

from tornado.iostream import IOStream

from egretshed.environment import Environment
from egretshed.upstream.exchange import (
    Exchange,
    OutgoingRequest,
    ResponseTimeouts,
    connect,
)

# Covers several one-way delays and the first retransmission of a lost packet.
CONNECT_TIMEOUT_S = 0.35
# Well below the several seconds after which servers close idle connections.
IDLE_LIMIT_S = 2.0
MAX_IDLE_PER_SERVER = 4


class ConnectionPool:
    """Idle connections by server address; the most recently used is reused first."""

    def __init__(self, env: Environment):
        self.env = env
        self._idle: dict[str, list[tuple[float, IOStream]]] = defaultdict(list)

    async def open(
        self, address: str, body_limit_bytes: int, reuse: bool = False
    ) -> Exchange:
        """Return an exchange for one request; raise `ExchangeFailed` (nothing sent).

        An idle connection is used only if `reuse` is set.
        """
        stream = self._take_idle(address) if reuse else None
        if stream is None:
            self.env.metrics.counter(
                "server_connections_total", "Connections opened to servers"
            ).inc()
            stream = await connect(address, CONNECT_TIMEOUT_S)
        return Exchange(stream, body_limit_bytes)

    async def fetch(
        self,
        address: str,
        request: OutgoingRequest,
        body_limit_bytes: int,
        reuse: bool = False,
        timeouts: ResponseTimeouts = ResponseTimeouts(),
    ) -> tuple[int, bytes]:
        """Return the status and body of the response; raise `ExchangeFailed`."""
        exchange = await self.open(address, body_limit_bytes, reuse)
        try:
            exchange.send(request)
            head = await exchange.head(timeouts.head_s)
            body = await exchange.body(timeouts.read_s)
        except BaseException:
            exchange.close()
            raise
        await self.put_back(address, exchange)
        return head.status, body

    async def put_back(self, address: str, exchange: Exchange) -> None:
        """Keep the connection of an exchange if it can be reused, else close it."""
        if not await exchange.release():
            exchange.close()
            return
        # With a callback set, tornado detects at once that the server has closed the
        # connection.
        exchange.stream.set_close_callback(lambda: None)
        idle = self._idle[address]
        idle.append((self.env.clock.monotonic_s(), exchange.stream))
        while len(idle) > MAX_IDLE_PER_SERVER:
            idle.pop(0)[1].close()

    def _take_idle(self, address: str) -> IOStream | None:
        idle = self._idle.get(address, [])
        now_s = self.env.clock.monotonic_s()
        while idle:
            idle_since_s, stream = idle.pop()
            if not stream.closed() and now_s - idle_since_s < IDLE_LIMIT_S:
                return stream
            stream.close()
        return None

    def expire(self) -> None:
        """Close connections that were idle for longer than `IDLE_LIMIT_S`."""
        now_s = self.env.clock.monotonic_s()
        for address, idle in list(self._idle.items()):
            kept = [
                entry
                for entry in idle
                if not entry[1].closed() and now_s - entry[0] < IDLE_LIMIT_S
            ]
            for idle_since_s, stream in idle:
                if (idle_since_s, stream) not in kept:
                    stream.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def run(self) -> None:
        """Close expired connections periodically until cancelled."""
        while True:
            await self.env.clock.sleep(IDLE_LIMIT_S / 2)
            self.expire()

    def close(self) -> None:
        for idle in self._idle.values():
            for _, stream in idle:
                stream.close()
        self._idle.clear()
