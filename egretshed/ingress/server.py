"""HTTP server that passes each request to a handler, with a `Reply` to write to.

The handler is called once the whole body has been received. The reply signals when the
caller disconnects, so that the work on its request can be stopped.
"""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)
from typing import NamedTuple

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError

from egretshed.environment import Environment
from egretshed.errors import (
    BodyTooLarge,
    CallerGone,
    EgretshedError,
)
from egretshed.logs import log_event
from egretshed.serving.schema import CallerLimits

# A body over the declared limit gets status 413; one over this many times the limit
# closes the connection.
HARD_BODY_LIMIT_FACTOR = 4
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

    `disconnected` is set once the caller has closed its connection.
    """

    def __init__(self, connection: httputil.HTTPConnection):
        self.connection = connection
        self.is_started = False
        self.is_finished = False
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
        """Close the connection, so that the caller sees the response as incomplete."""
        self.is_finished = True
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

    def headers_received(self, start_line, headers) -> None:
        self.start_line = start_line
        self.headers = headers
        self.received_s = self.server.env.clock.monotonic_s()
        length = headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.server.limits().body_bytes:
            self._reject_body_size()

    def data_received(self, chunk: bytes) -> None:
        self.size_bytes += len(chunk)
        if self.size_bytes > self.server.limits().body_bytes:
            self._reject_body_size()
        elif not self.reply.is_started:
            self.chunks.append(chunk)

    def _reject_body_size(self) -> None:
        if not self.reply.is_started:
            self.reply.start(*self.server.error_response(BodyTooLarge()))

    def finish(self) -> None:
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
        self.reply.disconnected.set()


class RequestServer(httputil.HTTPServerConnectionDelegate):
    """HTTP server of one listener.

    `limits` returns the limits in force; `error_response` returns status, headers and
    body for an error.
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
        initial = limits()
        self._server = HTTPServer(
            self,
            max_header_size=initial.header_bytes,
            max_body_size=initial.body_bytes * HARD_BODY_LIMIT_FACTOR,
            idle_connection_timeout=initial.idle_timeout_s,
            body_timeout=initial.header_timeout_s,
        )

    def listen(self, sockets: list) -> None:
        self._server.add_sockets(sockets)

    def apply_limits(self) -> None:
        """Apply the limits in force to further requests."""
        limits = self.limits()
        params = self._server.conn_params
        params.max_header_size = limits.header_bytes
        params.max_body_size = limits.body_bytes * HARD_BODY_LIMIT_FACTOR
        params.header_timeout = limits.idle_timeout_s
        params.body_timeout = limits.header_timeout_s

    def start_request(self, server_conn, request_conn) -> _RequestDelegate:
        return _RequestDelegate(self, request_conn)

    def on_close(self, server_conn) -> None:
        """Do nothing; tornado requires this method, and replies detect the close."""

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

    def stop_listening(self) -> None:
        self._server.stop()

    async def close(self) -> None:
        """Stop listening and close all connections, including idle ones."""
        self._server.stop()
        await self._server.close_all_connections()
