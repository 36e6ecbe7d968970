"""Accepts requests over HTTP and hands each one to a handler with its reply.

A request is handed over once its body is whole. The reply tells when the caller leaves,
so that the work for it can stop.
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

# A body beyond this ends its connection; smaller ones over the declared limit get 413.
HARD_BODY_LIMIT_FACTOR = 4
REASONS = httputil.responses


class IncomingRequest(NamedTuple):
    """One whole request as it was received; `received_s` is when its head came."""

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    received_s: float


class Reply:
    """The answer to one request, written once.

    `disconnected` is set when the caller has closed its connection.
    """

    def __init__(self, connection: httputil.HTTPConnection):
        self.connection = connection
        self.is_started = False
        self.is_finished = False
        self.disconnected = asyncio.Event()

    def start(
        self, status: int, headers: list[tuple[str, str]], body: bytes | None = None
    ) -> None:
        """Write the head, and the whole answer if `body` is given."""
        if self.disconnected.is_set():
            raise CallerGone()
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if body is not None:
            fields["Content-Length"] = str(len(body))
        line = httputil.ResponseStartLine("HTTP/1.1", status, REASONS.get(status, "-"))
        self.is_started = True
        self.connection.stream.set_nodelay(True)
        written = self.connection.write_headers(line, fields, body or None)
        written.add_done_callback(lambda f: f.cancelled() or f.exception())
        if body is not None:
            self.finish()

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body; raise `CallerGone`."""
        try:
            await self.connection.write(chunk)
        except StreamClosedError as error:
            self.disconnected.set()
            raise CallerGone() from error

    def finish(self) -> None:
        self.is_finished = True
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self.is_finished = True
        self.connection.stream.close()


Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


class _RequestDelegate(httputil.HTTPMessageDelegate):
    """Collects one request."""

    def __init__(self, server: "RequestServer", connection):
        self.server = server
        self.reply = Reply(connection)
        self.connection = connection
        self.pieces: list[bytes] = []
        self.size_bytes = 0
        self.line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.received_s = 0.0

    def headers_received(self, start_line, headers) -> None:
        self.line = start_line
        self.headers = headers
        self.received_s = self.server.env.clock.monotonic_s()
        length = headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.server.limits().body_bytes:
            self._refuse_size()

    def data_received(self, chunk: bytes) -> None:
        self.size_bytes += len(chunk)
        if self.size_bytes > self.server.limits().body_bytes:
            self._refuse_size()
        elif not self.reply.is_started:
            self.pieces.append(chunk)

    def _refuse_size(self) -> None:
        if not self.reply.is_started:
            self.reply.start(*self.server.refusal(BodyTooLarge()))

    def finish(self) -> None:
        if self.reply.is_started:
            return
        self.connection.set_close_callback(self.reply.disconnected.set)
        request = IncomingRequest(
            self.line.method,
            self.line.path,
            self.headers,
            b"".join(self.pieces),
            self.received_s,
        )
        self.pieces.clear()
        self.server.spawn(request, self.reply)

    def on_connection_close(self) -> None:
        self.reply.disconnected.set()


class RequestServer(httputil.HTTPServerConnectionDelegate):
    """Serves one address; `refusal` maps an error to status, headers and body."""

    def __init__(
        self,
        env: Environment,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        refusal: Callable[[EgretshedError], tuple],
    ):
        self.env = env
        self.handler = handler
        self.limits = limits
        self.refusal = refusal
        self.tasks: set[asyncio.Task] = set()
        first = limits()
        self._server = HTTPServer(
            self,
            max_header_size=first.header_bytes,
            max_body_size=first.body_bytes * HARD_BODY_LIMIT_FACTOR,
            idle_connection_timeout=first.idle_timeout_s,
            body_timeout=first.header_timeout_s,
        )

    def listen(self, sockets: list) -> None:
        self._server.add_sockets(sockets)

    def apply_limits(self) -> None:
        """Use the declared limits for connections from now on."""
        limits = self.limits()
        params = self._server.conn_params
        params.max_header_size = limits.header_bytes
        params.max_body_size = limits.body_bytes * HARD_BODY_LIMIT_FACTOR
        params.header_timeout = limits.idle_timeout_s
        params.body_timeout = limits.header_timeout_s

    def start_request(self, server_conn, request_conn) -> _RequestDelegate:
        return _RequestDelegate(self, request_conn)

    def on_close(self, server_conn) -> None:
        """Part of tornado's interface; each reply notices its own close."""

    def spawn(self, request: IncomingRequest, reply: Reply) -> None:
        task = asyncio.create_task(self._handle(request, reply))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle(self, request: IncomingRequest, reply: Reply) -> None:
        try:
            await self.handler(request, reply)
        except CallerGone:
            reply.disconnected.set()
        except Exception as error:  # A fault in one request must not end the process.
            log_event(self.env.logger, "request_fault", error=repr(error))
            if not reply.is_finished:
                reply.abort()

    def disable_keep_alive(self) -> None:
        """Answer each further request with ``Connection: close``."""
        self._server.conn_params.no_keep_alive = True

    def stop_listening(self) -> None:
        self._server.stop()

    async def close(self) -> None:
        """Close all connections, idle ones included."""
        self._server.stop()
        await self._server.close_all_connections()
