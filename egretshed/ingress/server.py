"""HTTP server that passes each request to a handler, with a `Reply` to write to.

The handler is called once the whole body has been received. The reply signals when the
caller disconnects, so that the work on its request can be stopped.
"""

import asyncio
import socket
import struct
from collections.abc import (
    Awaitable,
    Callable,
)
from typing import NamedTuple

from tornado import httputil
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import (
    IOStream,
    StreamClosedError,
)

from egretshed.environment import Environment
from egretshed.errors import (
    BodyTooLarge,
    CallerGone,
    EgretshedError,
)
from egretshed.ingress.listener import accept_last
from egretshed.logs import log_event
from egretshed.serving.schema import CallerLimits

# A body over the declared limit gets status 413; one over this many times the limit
# closes the connection.
HARD_BODY_LIMIT_FACTOR = 4
# A body must make progress of this many bytes within each idle timeout. A limit on the
# whole time would cut a large body on a slow link.
MIN_BODY_PROGRESS_BYTES = 1024
FLUSH_POLL_PERIOD_S = 0.01
# SO_LINGER with a time of 0: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REASON_PHRASES = httputil.responses


class IncomingRequest(NamedTuple):
    """A completely received request; `received_s` is when its head arrived."""

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    received_s: float


class Reply:
    """Writes the response to one request, once.

    `disconnected` is set once the caller has closed its connection; `is_aborted` tells
    that this side has closed it before the end of the response.
    """

    def __init__(self, connection: httputil.HTTPConnection):
        self.connection = connection
        self.is_started = False
        self.is_finished = False
        self.is_aborted = False
        # HTTP/1.0 has no chunks: a body without a length ends with the connection.
        self.can_chunk = True
        self.disconnected = asyncio.Event()

    def start(
        self, status: int, headers: list[tuple[str, str]], body: bytes | None = None
    ) -> None:
        """Write the head, or the complete response if `body` is given.

        Raises `CallerGone` if the caller has disconnected.
        """
        if self.disconnected.is_set():
            raise CallerGone()
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if body is not None:
            fields["Content-Length"] = str(len(body))
        line = httputil.ResponseStartLine(
            "HTTP/1.1", status, REASON_PHRASES.get(status, "-")
        )
        self.is_started = True
        self.connection.stream.set_nodelay(True)
        written = self.connection.write_headers(line, fields, body or None)
        written.add_done_callback(lambda f: f.cancelled() or f.exception())
        if body is not None:
            self.finish()

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body; raise `CallerGone` if the caller disconnected."""
        try:
            await self.connection.write(chunk)
        except StreamClosedError as error:
            self.disconnected.set()
            raise CallerGone() from error

    def finish(self) -> None:
        self.is_finished = True
        self.connection.finish()

    def abort(self) -> None:
        """End the connection so that the caller sees the response as incomplete.

        Where the end of the connection delimits the body, only a reset shows that.
        """
        self.is_finished = True
        self.is_aborted = True
        if (
            self.is_started
            and not self.can_chunk
            and not self.connection.stream.closed()
        ):
            self.connection.stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.connection.stream.close()


Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


class _RequestDelegate(httputil.HTTPMessageDelegate):
    """Collects the head and body of one request, and then has it handled."""

    def __init__(self, server: "RequestServer", connection):
        self.server = server
        self.reply = Reply(connection)
        self.connection = connection
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.start_line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.received_s = 0.0
        self._progress_timer: asyncio.TimerHandle | None = None
        self._counted_bytes = 0

    def headers_received(self, start_line, headers) -> None:
        self.start_line = start_line
        self.headers = headers
        self.reply.can_chunk = start_line.version == "HTTP/1.1"
        self.received_s = self.server.env.clock.monotonic_s()
        self.server.receiving.add(self)
        self._await_progress()
        length = headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.server.limits().body_bytes:
            self._reject_body_size()

    def data_received(self, chunk: bytes) -> None:
        self.size_bytes += len(chunk)
        if self.size_bytes > self.server.limits().body_bytes:
            self._reject_body_size()
        elif not self.reply.is_started:
            self.chunks.append(chunk)

    def _await_progress(self) -> None:
        self._counted_bytes = self.size_bytes
        self._progress_timer = asyncio.get_running_loop().call_later(
            self.server.limits().idle_timeout_s, self._check_progress
        )

    def _check_progress(self) -> None:
        received_bytes = self.size_bytes - self._counted_bytes
        if received_bytes >= MIN_BODY_PROGRESS_BYTES:
            self._await_progress()
            return
        log_event(
            self.server.env.logger,
            "request_body_stalled",
            received_bytes=self.size_bytes,
            progress_bytes=received_bytes,
            window_s=self.server.limits().idle_timeout_s,
        )
        self.reply.abort()

    def _end_receiving(self) -> None:
        self.server.receiving.discard(self)
        if self._progress_timer is not None:
            self._progress_timer.cancel()

    def _reject_body_size(self) -> None:
        if not self.reply.is_started:
            self.reply.start(*self.server.error_response(BodyTooLarge()))

    def finish(self) -> None:
        self._end_receiving()
        if self.reply.is_started:
            return
        self.connection.set_close_callback(self.reply.disconnected.set)
        request = IncomingRequest(
            self.start_line.method,
            self.start_line.path,
            self.headers,
            b"".join(self.chunks),
            self.received_s,
        )
        self.chunks.clear()
        self.server.spawn(request, self.reply)

    def on_connection_close(self) -> None:
        self._end_receiving()
        self.reply.disconnected.set()


class RequestServer(httputil.HTTPServerConnectionDelegate):
    """HTTP server of one listener.

    `limits` returns the limits in force; `error_response` returns status, headers and
    body for an error. `tasks` handle the requests that were received completely, and
    `receiving` holds those of which only a part has arrived.
    """

    def __init__(
        self,
        env: Environment,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        error_response: Callable[[EgretshedError], tuple],
    ):
        self.env = env
        self.handler = handler
        self.limits = limits
        self.error_response = error_response
        self.tasks: set[asyncio.Task] = set()
        self.receiving: set[_RequestDelegate] = set()
        self._connections: set[HTTP1ServerConnection] = set()
        self._sockets: list[socket.socket] = []
        initial = limits()
        self._server = HTTPServer(
            self,
            max_header_size=initial.header_bytes,
            max_body_size=initial.body_bytes * HARD_BODY_LIMIT_FACTOR,
            idle_connection_timeout=initial.idle_timeout_s,
        )

    def listen(self, sockets: list) -> None:
        self._sockets += sockets
        self._server.add_sockets(sockets)

    def apply_limits(self) -> None:
        """Apply the limits in force to further requests."""
        limits = self.limits()
        params = self._server.conn_params
        params.max_header_size = limits.header_bytes
        params.max_body_size = limits.body_bytes * HARD_BODY_LIMIT_FACTOR
        params.header_timeout = limits.idle_timeout_s

    def start_request(self, server_conn, request_conn) -> _RequestDelegate:
        self._connections.add(server_conn)
        return _RequestDelegate(self, request_conn)

    def on_close(self, server_conn) -> None:
        self._connections.discard(server_conn)

    def is_busy(self) -> bool:
        """Return whether any request is being received or handled."""
        return bool(self.tasks or self.receiving)

    def spawn(self, request: IncomingRequest, reply: Reply) -> None:
        task = asyncio.create_task(self._handle(request, reply))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle(self, request: IncomingRequest, reply: Reply) -> None:
        try:
            await self.handler(request, reply)
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
                self._server.handle_stream(IOStream(connection), address)
        self._sockets.clear()
        self._server.stop()

    async def flush(self, timeout_s: float) -> None:
        """Wait until all responses are written, for `timeout_s` at most."""
        clock = self.env.clock
        end_s = clock.monotonic_s() + timeout_s
        while clock.monotonic_s() < end_s:
            if not any(c.stream.writing() for c in self._connections):
                return
            await clock.sleep(FLUSH_POLL_PERIOD_S)

    async def close(self) -> None:
        """Stop listening and close all connections, including idle ones."""
        self._server.stop()
        await self._server.close_all_connections()
