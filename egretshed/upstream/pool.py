"""Pool of connections to servers, reused only for requests that may be repeated.

A request that must not be repeated always gets a new connection. The server may have
closed an idle one in the meantime: a request sent on it would get no response, and
could not be sent again.

A server may send a second copy of a response, even seconds later. On a reused
connection it would be taken for the response to the next request. A connection is
therefore kept only while each response proves to which request it belongs, by the
request's id or by its body, and while nothing arrives in between.
"""

import secrets
from collections import defaultdict
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.held_bytes.account import (
    ByteAccount,
    HeldKind,
)
from egretshed.logs import log_event
from egretshed.upstream.exchange import (
    QUICK_DETECTION,
    Exchange,
    ExchangeFailed,
    LossDetection,
    OutgoingRequest,
    ResponseHead,
    ResponseTimeouts,
    ServerStream,
    connect,
)

# Covers several one-way delays and the first retransmission of a lost packet.
CONNECT_TIMEOUT_S = 0.35
# Well below the several seconds after which servers close idle connections.
IDLE_LIMIT_S = 2.0
# Share of the idle time announced by a server for which its connection is kept.
ANNOUNCED_IDLE_SHARE = 0.8
MAX_IDLE_PER_SERVER = 4
REQUEST_ID_BYTES = 8


class Ownership(Enum):
    """What the body of a response tells about the request that it belongs to.

    The connection is kept after `PROVEN` only; `FOREIGN` fails the request. `UNKNOWN`
    is for a body that proves nothing, but cannot be a copy of a `PROVEN` one.
    """

    PROVEN = "proven"
    UNKNOWN = "unknown"
    FOREIGN = "foreign"


class _IdleConnection(NamedTuple):
    """A kept connection; `repeats_ids` tells how its server identifies responses."""

    stream: ServerStream
    expires_at_s: float
    repeats_ids: bool


class ConnectionPool:
    """Idle connections by server address; the most recently used is reused first.

    `id_header` is the name of the header in which servers repeat the id of a request.
    """

    def __init__(
        self,
        env: Environment,
        id_header: str = "",
        held_bytes: ByteAccount | None = None,
    ):
        self.env = env
        self.held_bytes = held_bytes or ByteAccount(env)
        self.id_header = id_header
        self._idle: dict[str, list[_IdleConnection]] = defaultdict(list)

    async def open(
        self,
        address: str,
        body_limit_bytes: int,
        reuse: bool = False,
        needs_id: bool = True,
        detection: LossDetection = QUICK_DETECTION,
        kind: HeldKind = HeldKind.CALLS,
    ) -> Exchange:
        """Return an exchange for one request; raise `ExchangeFailed` (nothing sent).

        An idle connection is used only if `reuse` is set. With `needs_id`, its server
        must have repeated the ids of earlier requests. `detection` applies to a new
        connection. The bytes of the response are counted as those of `kind`.
        """
        stream = self._take_idle(address, needs_id) if reuse else None
        is_reused = stream is not None
        if stream is None:
            self.env.metrics.counter(
                "server_connections_total", "Connections opened to servers"
            ).inc()
            stream = await connect(address, CONNECT_TIMEOUT_S, detection)
        held = self.held_bytes.open(kind)
        return Exchange(stream, body_limit_bytes, held, is_reused)

    async def fetch(
        self,
        address: str,
        request: OutgoingRequest,
        body_limit_bytes: int,
        reuse: bool = False,
        timeouts: ResponseTimeouts = ResponseTimeouts(),
        identify: Callable[[bytes], Ownership] | None = None,
        on_head: Callable[[ResponseHead], None] | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes]:
        """Return the status and body of the response; raise `ExchangeFailed`.

        `identify` tells what a body proves, for servers that do not repeat the id of a
        request. Without either the connection is not kept. `on_head` is called with the
        head of a response, whatever becomes of its body. `may_send` is asked when the
        connection is open, before anything is sent.
        """
        request_id = ""
        if reuse and self.id_header:
            request_id = secrets.token_hex(REQUEST_ID_BYTES)
            headers = (*request.headers, (self.id_header, request_id))
            request = request._replace(headers=headers)
        needs_id = identify is None
        exchange = await self.open(address, body_limit_bytes, reuse, needs_id)
        try:
            if not may_send():
                raise ExchangeFailed("the call was withdrawn", may_have_run=False)
            exchange.send(request)
            head = await exchange.head(timeouts.head_s)
            if on_head is not None:
                on_head(head)
            body = await exchange.body(timeouts.body)
            ownership = self._ownership(head, body, request_id, identify)
            if ownership is Ownership.UNKNOWN and exchange.is_reused and needs_id:
                ownership = Ownership.FOREIGN
            if ownership is Ownership.FOREIGN:
                self.env.metrics.counter(
                    "server_foreign_responses_total",
                    "Responses that belong to another request or to none",
                ).inc()
                log_event(
                    self.env.logger,
                    "foreign_response",
                    address=address,
                    status=head.status,
                    reused=exchange.is_reused,
                    outcome="connection_closed",
                )
                raise ExchangeFailed(
                    "response belongs to another request", may_have_run=True
                )
        except BaseException:
            exchange.close()
            raise
        if reuse and ownership is Ownership.PROVEN:
            repeats_ids = bool(self.id_header and head.headers.get(self.id_header))
            await self._put_back(address, exchange, repeats_ids)
        else:
            exchange.close()
        return head.status, body

    def _ownership(
        self,
        head: ResponseHead,
        body: bytes,
        request_id: str,
        identify: Callable[[bytes], Ownership] | None,
    ) -> Ownership:
        response_id = head.headers.get(self.id_header, "") if request_id else ""
        if response_id:
            is_own = response_id == request_id
            return Ownership.PROVEN if is_own else Ownership.FOREIGN
        return identify(body) if identify else Ownership.UNKNOWN

    async def _put_back(
        self, address: str, exchange: Exchange, repeats_ids: bool
    ) -> None:
        """Keep the connection of an exchange if it can be reused, else close it."""
        if not await exchange.release():
            exchange.close()
            return
        idle_limit_s = IDLE_LIMIT_S
        announced_s = exchange.keep_alive_s()
        if announced_s is not None:
            idle_limit_s = min(idle_limit_s, announced_s * ANNOUNCED_IDLE_SHARE)
        expires_at_s = self.env.clock.monotonic_s() + idle_limit_s
        idle = self._idle[address]
        idle.append(_IdleConnection(exchange.stream, expires_at_s, repeats_ids))
        while len(idle) > MAX_IDLE_PER_SERVER:
            idle.pop(0).stream.close()

    def _take_idle(self, address: str, needs_id: bool) -> ServerStream | None:
        idle = self._idle.get(address, [])
        now_s = self.env.clock.monotonic_s()
        for index in reversed(range(len(idle))):
            if needs_id and not idle[index].repeats_ids:
                continue
            connection = idle.pop(index)
            if now_s < connection.expires_at_s and connection.stream.is_quiet():
                return connection.stream
            connection.stream.close()
        return None

    def expire(self) -> None:
        """Close the connections that were idle for too long or have become unusable."""
        now_s = self.env.clock.monotonic_s()
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if now_s < connection.expires_at_s and connection.stream.is_quiet():
                    kept.append(connection)
                else:
                    connection.stream.close()
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
            for connection in idle:
                connection.stream.close()
        self._idle.clear()
