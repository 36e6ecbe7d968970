"""HTTP server of the callers' interface, which closes without losing a request.

A request counts from the arrival of its head, so that a shutdown waits for its body.
"""

import asyncio
import time
from contextlib import ExitStack
from typing import (
    Any,
    NamedTuple,
)

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream

from egretshed.callers.responses import ResponseTracker
from egretshed.environment import Environment
from egretshed.ingress.connection_checks import ConnectionChecks
from egretshed.ingress.listener import accept_last
from egretshed.ingress.streams import has_unread_bytes


class CallerServer(HTTPServer):
    """`HTTPServer` that counts arriving requests and empties its listeners.

    `responses` counts the requests that arrive; the handlers count on from there.
    `ConnectionChecks` takes the place of the timers that tornado makes of
    `idle_connection_timeout` and `body_timeout`.
    """

    def initialize(
        self, request_callback: Any, responses: ResponseTracker, **options: Any
    ) -> None:
        super().initialize(request_callback, **options)
        self.responses = responses
        self._listeners: list = []
        params = self.conn_params
        self._timeouts = _Timeouts(params.header_timeout, params.body_timeout)
        params.header_timeout = params.body_timeout = None
        self._checks = ConnectionChecks(self._close_overdue)

    def add_sockets(self, sockets) -> None:
        self._listeners += sockets
        super().add_sockets(sockets)

    def start_request(self, server_conn, request_conn) -> HTTPMessageDelegate:
        delegate = super().start_request(server_conn, request_conn)
        request = _CountedRequest(delegate, self.responses, request_conn)
        self._checks.put(server_conn, request)
        return request

    def on_close(self, server_conn) -> None:
        super().on_close(server_conn)
        self._checks.remove(server_conn)

    def _close_overdue(self, requests: list["_CountedRequest"]) -> None:
        now_s = time.monotonic()
        for request in requests:
            if request.is_overdue(now_s, self._timeouts):
                request.connection.close()

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self.responses.is_closing = True
        self.conn_params.no_keep_alive = True

    async def stop_listening(self, env: Environment) -> None:
        """Close the listeners; connections of callers are served on."""
        for listener in self._listeners:
            for connection, address in await accept_last(listener, env):
                self.handle_stream(IOStream(connection), address)
        self._listeners.clear()
        self.stop()


class _Timeouts(NamedTuple):
    """Time for the head, with the idle time before it, and for the body of a request.

    None is no limit.
    """

    head_s: float | None
    body_s: float | None


class _CountedRequest(HTTPMessageDelegate):
    """Counts a request from its head until its handler has begun."""

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        responses: ResponseTracker,
        connection: HTTP1Connection,
    ):
        self.connection = connection
        self._delegate = delegate
        self._responses = responses
        self._counted = ExitStack()
        self._has_head = False
        self._is_complete = False
        self._since_s = time.monotonic()

    def is_overdue(self, now_s: float, timeouts: _Timeouts) -> bool:
        """Return whether its time is over and no byte waits to be processed."""
        limit_s = timeouts.body_s if self._has_head else timeouts.head_s
        if self._is_complete or limit_s is None or now_s - self._since_s < limit_s:
            return False
        return not has_unread_bytes(self.connection.stream)

    def headers_received(self, start_line, headers):
        self._has_head = True
        self._since_s = time.monotonic()
        self._counted.enter_context(self._responses)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes):
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._is_complete = True
        self._delegate.finish()
        # Runs after the first step of the handler, which counts the request itself.
        asyncio.get_running_loop().call_soon(self._counted.close)

    def on_connection_close(self) -> None:
        self._is_complete = True
        self._delegate.on_connection_close()
        self._counted.close()
