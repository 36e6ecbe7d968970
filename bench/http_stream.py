"""HTTP client that opens a connection per request and streams the response.

Unlike tornado's client, it closes a connection on which no data arrives for some time.
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
    """The exchange ended before the response was complete; the text has the cause."""


class Address(NamedTuple):
    """Host and port of an HTTP server."""

    host: str
    port: int


def parse_url(text: str) -> Address:
    """Parse ``http://host:port`` or ``host:port``."""
    host, _, port = text.removeprefix("http://").rpartition(":")
    return Address(host, int(port))


class Response(NamedTuple):
    status: int
    headers: HTTPHeaders
    body: bytes


class _ResponseReader(HTTPMessageDelegate):
    """Collects a response; passes the chunks of an event stream to `on_events`."""

    def __init__(self, clock: Clock, on_headers, on_events) -> None:
        self.clock = clock
        self.on_headers = on_headers
        self.on_events = on_events
        self.last_data_s = clock.monotonic_s()
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.finished = False

    def headers_received(self, start_line, headers) -> None:
        self.last_data_s = self.clock.monotonic_s()
        self.status, self.headers = start_line.code, headers
        self.on_headers(headers)

    def data_received(self, chunk: bytes) -> None:
        self.last_data_s = self.clock.monotonic_s()
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
    """Send a request and return the response.

    Raises `ConnectionLost` if no data arrives for `silence_limit_s`, or if the
    connection fails or closes before the response is complete.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            stream = await TCPClient().connect(address.host, address.port)
    except (OSError, TimeoutError, StreamClosedError) as error:
        raise ConnectionLost(f"connect: {error!r}") from error
    reader = _ResponseReader(clock, on_headers, on_events)
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


async def _until_read(reader: _ResponseReader, reading, silence_limit_s: float) -> None:
    while True:
        wait_s = silence_limit_s - (reader.clock.monotonic_s() - reader.last_data_s)
        if wait_s <= 0:
            reading.cancel()
            raise ConnectionLost(f"no data for {silence_limit_s} s")
        done, _ = await asyncio.wait({reading}, timeout=wait_s)
        if done:
            reading.result()
            return
