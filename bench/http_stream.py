"""One HTTP exchange on a connection of its own, read as it arrives.

tornado's client cannot close a connection that went silent; this one can.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from egretshed.clock import Clock

CONNECT_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 64 * 1024 * 1024


class ConnectionLost(Exception):
    """The exchange ended without a whole response; the text says how."""


class Address(NamedTuple):
    """Where an entry node listens."""

    host: str
    port: int


def parse_url(text: str) -> Address:
    """Return the address in ``http://host:port`` or ``host:port``."""
    host, _, port = text.removeprefix("http://").rpartition(":")
    return Address(host, int(port))


class Response(NamedTuple):
    status: int
    headers: HTTPHeaders
    body: bytes


class _Reader(HTTPMessageDelegate):
    """Collects a response; event streams go to `on_events` chunk by chunk."""

    def __init__(self, clock: Clock, on_headers, on_events) -> None:
        self.clock = clock
        self.on_headers = on_headers
        self.on_events = on_events
        self.last_s = clock.monotonic_s()
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.finished = False

    def headers_received(self, start_line, headers) -> None:
        self.last_s = self.clock.monotonic_s()
        self.status, self.headers = start_line.code, headers
        self.on_headers(headers)

    def data_received(self, chunk: bytes) -> None:
        self.last_s = self.clock.monotonic_s()
        if self.headers.get("Content-Type", "").startswith("text/event-stream"):
            self.on_events(chunk)
        else:
            self.chunks.append(chunk)

    def finish(self) -> None:
        self.finished = True


async def exchange(
    clock: Clock,
    address: Address,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    silence_limit_s: float,
    on_headers: Callable[[HTTPHeaders], None] = lambda headers: None,
    on_events: Callable[[bytes], None] = lambda chunk: None,
) -> Response:
    """Return the response; raise `ConnectionLost` after `silence_limit_s` of silence.

    Any other end of the connection before the whole response raises it as well.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            stream = await TCPClient().connect(address.host, address.port)
    except (OSError, TimeoutError, StreamClosedError) as error:
        raise ConnectionLost(f"connect: {error!r}") from error
    reader = _Reader(clock, on_headers, on_events)
    try:
        parameters = HTTP1ConnectionParameters(
            no_keep_alive=True, max_body_size=MAX_BODY_BYTES
        )
        connection = HTTP1Connection(stream, True, parameters)
        await _send(connection, address, method, path, headers, body)
        reading = asyncio.ensure_future(connection.read_response(reader))
        await _until_read(reader, reading, silence_limit_s)
    except (StreamClosedError, OSError) as error:
        raise ConnectionLost(f"closed: {error!r}") from error
    finally:
        stream.close()
    if not reader.finished:
        raise ConnectionLost("closed before the end of the response")
    return Response(reader.status, reader.headers, b"".join(reader.chunks))


async def _send(connection, address, method, path, headers, body) -> None:
    sent = HTTPHeaders(headers)
    sent["Host"] = f"{address.host}:{address.port}"
    sent["Connection"] = "close"
    if body:
        sent["Content-Type"] = "application/json"
        sent["Content-Length"] = str(len(body))
    connection.write_headers(RequestStartLine(method, path, "HTTP/1.1"), sent)
    if body:
        connection.write(body)
    connection.finish()


async def _until_read(reader: _Reader, reading, silence_limit_s: float) -> None:
    while True:
        wait_s = silence_limit_s - (reader.clock.monotonic_s() - reader.last_s)
        if wait_s <= 0:
            reading.cancel()
            raise ConnectionLost(f"silent for {silence_limit_s} s")
        done, _ = await asyncio.wait({reading}, timeout=wait_s)
        if done:
            reading.result()
            return
