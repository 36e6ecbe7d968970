"""One request and its answer on one connection to a server.

The answer's head is awaited first, then its body is read piece by piece. A body that
ends before its announced length, or with a connection that was reset, raises
`ExchangeFailed`: it never looks complete.
"""

import asyncio
import socket
from collections import deque
from collections.abc import AsyncIterator
from typing import NamedTuple

from tornado import httputil
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.iostream import (
    IOStream,
    StreamClosedError,
)

from egretshed.errors import BackendError

# Unacknowledged bytes end a connection to a machine that has gone after this time; the
# default of the kernel is a quarter of an hour.
USER_TIMEOUT_MS = 800
# Probes on a connection that waits for an answer find a lost machine in about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A sender that is faster than the reader is held back beyond this many bytes.
READ_AHEAD_BYTES = 256 * 1024
MAX_HEADER_BYTES = 64 * 1024


class ExchangeFailed(BackendError):
    """No whole answer was received.

    `may_have_run` is False only if no byte of the request can have reached the server.
    """

    code = "exchange_failed"


class OutgoingRequest(NamedTuple):
    """`headers` hold everything but the framing, which follows from `body`."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


class ResponseHead(NamedTuple):
    status: int
    reason: str
    headers: httputil.HTTPHeaders


class ResponseTimeouts(NamedTuple):
    """How long an answer may take to begin, and to pause; None waits for ever."""

    head_s: float | None = None
    read_s: float | None = None


class _Delegate(httputil.HTTPMessageDelegate):
    """Hands what tornado parses to the exchange that awaits it."""

    def __init__(self) -> None:
        self.head: asyncio.Future[ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        # A head that nobody awaits any more must not be reported as unhandled.
        self.head.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.pieces: deque[bytes] = deque()
        self.ended: str | None = None
        self._waiting_bytes = 0
        self._changed = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()

    def headers_received(self, start_line, headers) -> None:
        if start_line.code == 100 or self.head.done():
            return
        self.head.set_result(ResponseHead(start_line.code, start_line.reason, headers))

    async def data_received(self, chunk: bytes) -> None:
        self.pieces.append(chunk)
        self._waiting_bytes += len(chunk)
        self._changed.set()
        if self._waiting_bytes > READ_AHEAD_BYTES:
            self._room.clear()
            await self._room.wait()

    def finish(self) -> None:
        self.end("complete")

    def on_connection_close(self) -> None:
        self.end("connection closed")

    def end(self, how: str) -> None:
        if self.ended is None:
            self.ended = how
        self._changed.set()
        self._room.set()
        if not self.head.done():
            self.head.set_exception(ExchangeFailed(how, may_have_run=True))

    async def next_piece(self) -> bytes | None:
        """Return the next piece, or None once the body has ended."""
        while not self.pieces:
            if self.ended is not None:
                return None
            self._changed.clear()
            await self._changed.wait()
        piece = self.pieces.popleft()
        self._waiting_bytes -= len(piece)
        if self._waiting_bytes <= READ_AHEAD_BYTES:
            self._room.set()
        return piece


async def connect(address: str, timeout_s: float) -> IOStream:
    """Return a connection to ``HOST:PORT``; raise `ExchangeFailed` (nothing sent)."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    stream = IOStream(sock)
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect((host, int(port)))
    except (StreamClosedError, OSError, TimeoutError) as error:
        stream.close()
        raise ExchangeFailed(
            f"cannot connect to {address}", may_have_run=False, address=address
        ) from error
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream


class Exchange:
    """Sends one request on `stream` and reads its answer."""

    def __init__(self, stream: IOStream, body_limit_bytes: int):
        self.stream = stream
        params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=body_limit_bytes
        )
        self._connection = HTTP1Connection(stream, True, params)
        self._delegate = _Delegate()
        self._reader: asyncio.Task | None = None
        self._head: ResponseHead | None = None

    def send(self, request: OutgoingRequest) -> None:
        """Write the request; the answer may come before it is all written."""
        headers = httputil.HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        line = httputil.RequestStartLine(request.method, request.target, "HTTP/1.1")
        written = self._connection.write_headers(line, headers, request.body or None)
        written.add_done_callback(lambda f: f.cancelled() or f.exception())
        self._connection.finish()
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        try:
            await self._connection.read_response(self._delegate)
        except Exception as error:  # Whatever cannot be parsed is no answer.
            self._delegate.end(repr(error))
        finally:
            self._delegate.end("connection closed")

    async def head(self, limit_s: float | None = None) -> ResponseHead:
        """Return the status and headers; raise `ExchangeFailed`."""
        try:
            async with asyncio.timeout(limit_s):
                self._head = await asyncio.shield(self._delegate.head)
        except TimeoutError:
            raise ExchangeFailed("no answer in time", may_have_run=True) from None
        return self._head

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise `ExchangeFailed` if it is cut."""
        while (piece := await self._delegate.next_piece()) is not None:
            yield piece
        if self._delegate.ended != "complete":
            raise ExchangeFailed(f"answer cut: {self._delegate.ended}")
        if self.stream.error is not None and not self._is_framed():
            # Without a length only an orderly close tells that the body is whole.
            raise ExchangeFailed("answer cut: connection reset")

    async def body(self, read_s: float | None = None) -> bytes:
        """Return the whole body; raise `ExchangeFailed` if it pauses for too long.

        A large answer over a slow link takes its time; only silence tells of a loss.
        """
        found = []
        pieces = self.body_chunks()
        while True:
            try:
                async with asyncio.timeout(read_s):
                    found.append(await anext(pieces))
            except StopAsyncIteration:
                return b"".join(found)
            except TimeoutError:
                raise ExchangeFailed("answer stopped on its way") from None

    def _is_framed(self) -> bool:
        headers = self._head.headers if self._head else {}
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        head = self._head
        return (
            head is not None
            and self._delegate.ended == "complete"
            and self._is_framed()
            and head.headers.get("Connection", "").lower() != "close"
            and not self.stream.closed()
            and not self.stream.writing()
        )

    def close(self) -> None:
        """End the connection; the server stops work on the request."""
        self.stream.close()
        self._delegate.end("closed by this side")
        if self._reader is not None:
            self._reader.cancel()

    async def release(self) -> bool:
        """Wait for the parser to let go; return whether the stream is reusable."""
        if self._reader is not None:
            await self._reader
        return self.is_reusable()
