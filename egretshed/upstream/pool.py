"""Connections to servers, kept for requests that may be repeated.

A request that must not be repeated always gets a new connection: one that was idle may
have been dropped by its server, and what is sent on it could neither be answered nor
sent once more.
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

# Several one-way delays, and a lost packet's first retransmission.
CONNECT_TIMEOUT_S = 0.35
# Servers close idle connections after some seconds; this is well before.
IDLE_LIMIT_S = 2.0
MAX_IDLE_PER_SERVER = 4


class ConnectionPool:
    """Idle connections by server address, the most recently used first."""

    def __init__(self, env: Environment):
        self.env = env
        self._idle: dict[str, list[tuple[float, IOStream]]] = defaultdict(list)

    async def open(
        self, address: str, body_limit_bytes: int, reuse: bool = False
    ) -> Exchange:
        """Return an exchange to use once; raise `ExchangeFailed` (nothing sent)."""
        stream = self._take(address) if reuse else None
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
        """Return the status and body of an answer; raise `ExchangeFailed`."""
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
        """Keep the exchange's connection if it can carry another request."""
        if not await exchange.release():
            exchange.close()
            return
        # Watching for a close tells at once when the server drops the connection.
        exchange.stream.set_close_callback(lambda: None)
        idle = self._idle[address]
        idle.append((self.env.clock.monotonic_s(), exchange.stream))
        while len(idle) > MAX_IDLE_PER_SERVER:
            idle.pop(0)[1].close()

    def _take(self, address: str) -> IOStream | None:
        idle = self._idle.get(address, [])
        now_s = self.env.clock.monotonic_s()
        while idle:
            since_s, stream = idle.pop()
            if not stream.closed() and now_s - since_s < IDLE_LIMIT_S:
                return stream
            stream.close()
        return None

    def expire(self) -> None:
        """Close connections that were idle for too long."""
        now_s = self.env.clock.monotonic_s()
        for address, idle in list(self._idle.items()):
            kept = [
                entry
                for entry in idle
                if not entry[1].closed() and now_s - entry[0] < IDLE_LIMIT_S
            ]
            for since_s, stream in idle:
                if (since_s, stream) not in kept:
                    stream.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def run(self) -> None:
        """Expire idle connections until cancelled."""
        while True:
            await self.env.clock.sleep(IDLE_LIMIT_S / 2)
            self.expire()

    def close(self) -> None:
        for idle in self._idle.values():
            for _, stream in idle:
                stream.close()
        self._idle.clear()
