"""HTTP server that passes each request to a handler, with a `Reply` to write to.

The handler is called once the whole body has been received. The reply signals when the
caller disconnects, so that the work on its request can be stopped.
"""

import asyncio
import math
import socket
from collections.abc import (
    Awaitable,
    Callable,
    Coroutine,
)

from tornado import httputil

from egretshed.environment import Environment
from egretshed.errors import (
    CallerGone,
    EgretshedError,
)
from egretshed.held_bytes.account import (
    ByteAccount,
    HeldBytes,
    HeldKind,
)
from egretshed.ingress.allowed_limits import AllowedLimits
from egretshed.ingress.caller_stream import CallerStream
from egretshed.ingress.connection_bound import (
    OpenConnection,
    may_hold_request,
    order_to_close,
)
from egretshed.ingress.connection_checks import ConnectionChecks
from egretshed.ingress.heads import parse_in_turns
from egretshed.ingress.listener import accept_last
from egretshed.ingress.receiving import RequestDelegate
from egretshed.ingress.reply import (
    IncomingRequest,
    Reply,
)
from egretshed.ingress.server_connection import NotifyingServer
from egretshed.logs import log_event
from egretshed.serving.schema import CallerLimits

# A head over the declared limit gets status 431; one over this size closes the
# connection. It is fixed because tornado takes its limit when it begins to wait, and
# the declared one may be raised until the head arrives.
HARD_HEAD_LIMIT_BYTES = 1024 * 1024
# Time in which requests that arrive as the server closes are answered.
LAST_ANSWERS_LIMIT_S = 0.1
FLUSH_POLL_PERIOD_S = 0.01

Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


class RequestServer(httputil.HTTPServerConnectionDelegate):
    """HTTP server of one listener.

    `limits` returns the limits in force; `error_response` returns status, headers and
    body for an error. `tasks` handle the requests that were received completely, and
    `receiving` holds those of which only a part has arrived. At most `connection_limit`
    connections stay open; None is for any number. With `reads_targets_only` the handler
    needs no fields and no body.
    """

    def __init__(
        self,
        env: Environment,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        error_response: Callable[[EgretshedError], tuple],
        held_bytes: ByteAccount | None = None,
        connection_limit: int | None = None,
        reads_targets_only: bool = False,
    ):
        self.env = env
        self.held_bytes = held_bytes
        self.connection_limit = connection_limit
        self.reads_targets_only = reads_targets_only
        self._parse_turn = asyncio.Lock()
        # Streams of the open connections, also before their first request is awaited.
        self._streams: set[CallerStream] = set()
        self.handler = handler
        self.limits = AllowedLimits(env.clock, limits)
        self.error_response = error_response
        self.tasks: set[asyncio.Task] = set()
        self.receiving: set[RequestDelegate] = set()
        self._checks = ConnectionChecks(self._check_progress)
        self._sockets: list[socket.socket] = []
        self._server = NotifyingServer(
            self, self._accept, max_header_size=HARD_HEAD_LIMIT_BYTES
        )
        self._server.conn_params.header_timeout = None  # see ConnectionChecks

    def listen(self, sockets: list) -> None:
        self._sockets += sockets
        self._server.add_sockets(sockets)

    def apply_limits(self) -> None:
        """Apply the limits in force, also to connections that are open."""
        self.limits.update()

    def start_request(self, server_conn, request_conn) -> RequestDelegate:
        request = RequestDelegate(self, request_conn)
        self._checks.put(server_conn, request)
        return request

    def on_close(self, server_conn) -> None:
        self._checks.remove(server_conn)
        self._streams.discard(server_conn.stream)
        server_conn.stream.arrived.close()

    def _accept(self, connection: socket.socket) -> CallerStream | None:
        """Return the stream of a connection; None if there is no room for it.

        Another one is closed for it if one does not progress.
        """
        is_full = self.connection_count() >= (self.connection_limit or math.inf)
        if is_full and not self._make_room():
            connection.close()
            return None
        stream = CallerStream(connection, self.open_held(HeldKind.REQUESTS))
        self._streams.add(stream)
        return stream

    def _make_room(self) -> bool:
        requests = [
            request.open_connection()
            for request in self._checks.requests.values()
            if request.connection.stream in self._streams
        ]
        closed = self._first_to_close(requests)
        self.env.metrics.counter(
            "connections_closed_for_others_total",
            "Connections closed since a door had no more room",
            ("phase",),
        ).labels(closed.phase.name.lower() if closed else "new").inc()
        if closed is None:
            return False
        stream = closed.key.connection.stream
        self._streams.discard(stream)
        stream.close()
        return True

    def _first_to_close(self, requests: list[OpenConnection]) -> OpenConnection | None:
        """Return a connection without arrivals, or one without a whole request."""
        candidates = order_to_close(requests, self.reads_targets_only)
        for candidate in candidates:
            if not candidate.key.has_arrivals():
                return candidate
        for candidate in candidates:
            if self.reads_targets_only or not may_hold_request(candidate.phase):
                return candidate
        return None

    def _check_progress(self, requests: list[RequestDelegate]) -> None:
        self.limits.update()
        limits = self.limits.highest()
        now_s = self.env.clock.monotonic_s()
        for request in requests:
            request.check_progress(now_s, limits)

    def is_busy(self) -> bool:
        """Return whether any request is being received or handled."""
        return bool(self.tasks or self.receiving)

    def connection_count(self) -> int:
        """Return how many connections of callers are open."""
        return len(self._streams)

    def open_held(self, kind: HeldKind) -> HeldBytes:
        """Return a holder of the account; one that counts alone if there is none."""
        return HeldBytes(self.held_bytes, kind, None)

    async def parse_deferred(self, head: bytes) -> httputil.HTTPHeaders | None:
        """Return all fields of a head; None if they are malformed.

        One head is parsed at a time, and others have their turns meanwhile.
        """
        headers = None
        async with self._parse_turn:
            try:
                for headers in parse_in_turns(head):
                    await asyncio.sleep(0)
            except httputil.HTTPInputError:
                return None
        return headers

    def spawn(self, run: Coroutine, reply: Reply, held: HeldBytes) -> None:
        """Handle a request; `held` counts its bytes until it is answered."""
        task = asyncio.create_task(self._handle(run, reply))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: held.close())

    async def _handle(self, run: Coroutine, reply: Reply) -> None:
        try:
            await run
        except CallerGone:
            reply.disconnected.set()
        except Exception as error:  # an error in one request must not end the process
            log_event(self.env.logger, "request_fault", error=repr(error))
            if not reply.is_finished:
                reply.abort()

    def disable_keep_alive(self) -> None:
        """Send ``Connection: close`` in the response to each further request."""
        self._server.conn_params.no_keep_alive = True

    async def stop_listening(self) -> None:
        """Close the listener; connections that callers have opened are still served."""
        for listener in self._sockets:
            for connection, address in await accept_last(listener, self.env):
                self._server._handle_connection(connection, address)
        self._sockets.clear()
        self._server.stop()

    async def flush(self, timeout_s: float) -> None:
        """Wait until all responses are written, for `timeout_s` at most."""
        clock = self.env.clock
        end_s = clock.monotonic_s() + timeout_s
        while clock.monotonic_s() < end_s:
            if not any(c.stream.writing() for c in self._checks.requests):
                return
            await clock.sleep(FLUSH_POLL_PERIOD_S)

    async def close(self) -> None:
        """Stop listening and close all connections, including idle ones.

        Requests that have arrived before are answered, if that takes no longer than
        `LAST_ANSWERS_LIMIT_S`.
        """
        self._server.stop()
        clock = self.env.clock
        end_s = clock.monotonic_s() + LAST_ANSWERS_LIMIT_S
        while not self._close_answered() and clock.monotonic_s() < end_s:
            await clock.sleep(FLUSH_POLL_PERIOD_S)
        await self._server.close_all_connections()
        self._checks.cancel()

    def _close_answered(self) -> bool:
        """Close the connections on which no answer is due; return whether all are."""
        requests = self._checks.requests
        for connection, request in requests.items():
            if not request.is_answer_due():
                connection.stream.close()
        return all(connection.stream.closed() for connection in requests)
