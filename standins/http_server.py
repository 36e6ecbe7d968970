"""Tornado server on a loopback port, whose handlers can simulate network faults."""

import asyncio
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import (
    Application,
    RequestHandler,
)

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024 * 1024


class LoopbackServer:
    """Serves `routes` on a loopback port.

    With port 0 a free one is chosen, and `url` is valid only after `start`.
    """

    def __init__(self, routes: list, port: int = 0):
        self.port = port
        self._application = Application(routes, log_function=_no_access_log)
        self._http: HTTPServer | None = None

    @property
    def url(self) -> str:
        return f"http://{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        sockets = bind_sockets(self.port, LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        self._http = HTTPServer(self._application, max_buffer_size=MAX_BODY_BYTES)
        self._http.add_sockets(sockets)

    async def stop(self) -> None:
        if self._http is not None:
            self._http.stop()
            await self._http.close_all_connections()


def _no_access_log(handler: RequestHandler) -> None:
    """Suppress access logs: calls are in the record, and stderr is kept for errors."""


class JsonHandler(RequestHandler):
    """Handler of JSON bodies that can withhold its reply or close the connection."""

    def prepare(self) -> None:
        self._closed = asyncio.Event()

    def on_connection_close(self) -> None:
        self._closed.set()

    @property
    def is_connection_closed(self) -> bool:
        return self._closed.is_set()

    def body(self) -> Any:
        return msgspec.json.decode(self.request.body or b"{}")

    def send_json(self, value: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    async def wait_for_close(self) -> None:
        """Send nothing until the client closes the connection, then close this end."""
        await self._closed.wait()
        self._drop()

    def close_without_reply(self) -> None:
        """Close the connection without a response."""
        self._drop()

    def _drop(self) -> None:
        self.detach().close()
