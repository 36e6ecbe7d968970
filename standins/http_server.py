"""Tornado server on a loopback port, with the faults that a network peer can show."""

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
    """Serves `routes` on a free loopback port; `url` is known after `start`."""

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
    """Keep the standard error for faults; every call is in the record."""


class JsonHandler(RequestHandler):
    """Handler of JSON bodies that can go silent or drop its reply."""

    def prepare(self) -> None:
        self._closed = asyncio.Event()

    def on_connection_close(self) -> None:
        self._closed.set()

    @property
    def is_connection_closed(self) -> bool:
        return self._closed.is_set()

    def body(self) -> Any:
        return msgspec.json.decode(self.request.body or b"{}")

    def answer(self, value: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    async def stay_silent(self) -> None:
        """Send nothing until the other side closes the connection."""
        await self._closed.wait()
        self._drop()

    def drop_reply(self) -> None:
        """Close the connection without an answer."""
        self._drop()

    def _drop(self) -> None:
        self.detach().close()
