"""HTTP exchange: one request and its response on one connection to a server.

The caller awaits the head of the response and then reads its body in chunks. A body
that is shorter than its declared length, or whose connection was reset, raises
`ExchangeFailed`, so that a truncated response is never taken for a complete one. A
server that sends bytes without end is given up: heads have a size and a time limit,
bodies a size limit and a least progress.
"""

import asyncio
import errno
import fcntl
import socket
import struct
import termios
import time
from collections import deque
from collections.abc import AsyncIterator
from enum import StrEnum
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
from egretshed.held_bytes.account import HeldBytes

# Backpressure: above this much unread data, no more is read from the connection.
READ_AHEAD_BYTES = 128 * 1024
# Heads of servers have a few hundred bytes; parsing a long one blocks the event loop.
MAX_HEADER_BYTES = 16 * 1024
# An error that is longer, or does not end in this time, is sent by a server in trouble.
MAX_ERROR_BYTES = 64 * 1024
ERROR_BODY_LIMIT_S = 2.0
# Statuses below this one are interim responses, which precede the actual one.
FIRST_FINAL_STATUS = 200


class ExchangeFailed(BackendError):
    """No complete response was received.

    `may_have_run` is False only if no byte of the request can have reached the server.
    """

    code = "exchange_failed"


class ConnectionRefused(ExchangeFailed):
    """Nothing listens at the address, while its host is reachable."""

    code = "connection_refused"


class OutgoingRequest(NamedTuple):
    """A request to send; `Content-Length` is not in `headers` but set from `body`."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


class ResponseHead(NamedTuple):
    status: int
    reason: str
    headers: httputil.HTTPHeaders


class Framing(StrEnum):
    """What delimits the body of a response (RFC 9112 section 6.3)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


class ConnectionEnd(StrEnum):
    """How a connection to a server ended, as its kernel reports it.

    `UNACKNOWLEDGED` is an end by this side's kernel: the other side did not acknowledge
    data or keep-alive probes in time.
    """

    NONE = "none"
    CLOSED = "closed"
    RESET = "reset"
    UNACKNOWLEDGED = "unacknowledged"


class LossDetection(NamedTuple):
    """When the kernel ends a connection whose other side acknowledges nothing.

    It does so once data has been unacknowledged for `unacknowledged_s`. While this side
    awaits a response, it sends keep-alive probes every `probe_interval_s`; these count
    as data. See ``tcp(7)``, ``TCP_USER_TIMEOUT`` and ``TCP_KEEPIDLE``. Packets that are
    lost are sent again after 0.2, 0.6, 1.4 and 3 s, so that a link that is silent for
    1.5 s brings nothing for 3 s::

        LossDetection(unacknowledged_s=5.0, probe_interval_s=1)
    """

    unacknowledged_s: float
    probe_interval_s: int


# For calls that may be made again, to another server or later.
QUICK_DETECTION = LossDetection(unacknowledged_s=0.8, probe_interval_s=1)
# For requests of callers. Their server may be sound behind a link that is silent for a
# second or two, and ending a request that cannot be repeated helps no caller.
PATIENT_DETECTION = LossDetection(unacknowledged_s=5.0, probe_interval_s=1)
KEEPALIVE_PROBES = 2


class ProgressLimit(NamedTuple):
    """Least progress of a body: `least_bytes` must arrive within each `window_s`.

    A limit on silence alone would never end a body of which a byte arrives now and
    then; a limit on the total time would cut a large body on a slow link::

        ProgressLimit(window_s=1.0, least_bytes=1024)
    """

    window_s: float
    least_bytes: int


class ResponseTimeouts(NamedTuple):
    """Limits for the response head and for the progress of the body.

    None is no limit.
    """

    head_s: float | None = None
    body: ProgressLimit | None = None


class ServerStream(IOStream):
    """Connection to a server that can be kept between two requests."""

    def is_quiet(self) -> bool:
        """Return whether the connection is open and holds no bytes to read.

        Bytes that arrive while no request is in flight belong to no request; after
        them, the next response cannot be told from a second copy of an earlier one.
        """
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False


class _ResponseDelegate(httputil.HTTPMessageDelegate):
    """Buffers the response that tornado parses until the exchange reads it.

    `held` counts its bytes.
    """

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.head: asyncio.Future[ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        # Keeps asyncio from logging an exception that nobody awaits any more.
        self.head.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.chunks: deque[bytes] = deque()
        self.end_reason: str | None = None
        self.received_s = time.monotonic()
        self._buffered_bytes = 0
        self._updated = asyncio.Event()
        self._may_read = asyncio.Event()
        self._may_read.set()

    def headers_received(self, start_line, headers) -> None:
        self.received_s = time.monotonic()
        if start_line.code < FIRST_FINAL_STATUS or self.head.done():
            return
        self.head.set_result(ResponseHead(start_line.code, start_line.reason, headers))

    async def data_received(self, chunk: bytes) -> None:
        self.received_s = time.monotonic()
        self.chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._updated.set()
        self.held.add(len(chunk))
        if self._buffered_bytes > READ_AHEAD_BYTES:
            self._may_read.clear()
            await self._may_read.wait()

    def finish(self) -> None:
        self.end("complete")

    def on_connection_close(self) -> None:
        self.end("connection closed")

    def end(self, reason: str) -> None:
        if self.end_reason is None:
            self.end_reason = reason
        self._updated.set()
        self._may_read.set()
        if not self.head.done():
            self.head.set_exception(ExchangeFailed(reason, may_have_run=True))

    def drop(self, reason: str) -> None:
        """Drop what was received, and end the response as incomplete."""
        self.end(reason)
        self.chunks.clear()
        self._buffered_bytes = 0

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk, or None once the body has ended.

        Its bytes remain counted as held.
        """
        while not self.chunks:
            if self.end_reason is not None:
                return None
            self._updated.clear()
            await self._updated.wait()
        chunk = self.chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._buffered_bytes <= READ_AHEAD_BYTES:
            self._may_read.set()
        return chunk


async def connect(
    address: str, timeout_s: float, detection: LossDetection = QUICK_DETECTION
) -> ServerStream:
    """Connect to ``HOST:PORT``; raise `ExchangeFailed`, with nothing sent.

    It is a `ConnectionRefused` if the host answered that nothing listens there.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, detection.probe_interval_s),
        (socket.TCP_KEEPINTVL, detection.probe_interval_s),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, int(detection.unacknowledged_s * 1000)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    stream = ServerStream(sock)
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect((host, int(port)))
    except (StreamClosedError, OSError, TimeoutError) as error:
        stream.close()
        cause = getattr(error, "real_error", None) or error
        is_refused = isinstance(cause, ConnectionRefusedError)
        error_type = ConnectionRefused if is_refused else ExchangeFailed
        raise error_type(
            f"cannot connect to {address}", may_have_run=False, address=address
        ) from error
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream


class Exchange:
    """Sends one request on `stream` and reads the response.

    `is_reused` tells that an earlier exchange has used the connection. The bytes of the
    body are counted in `held` until `note_consumed` or `close`.
    """

    def __init__(
        self,
        stream: ServerStream,
        body_limit_bytes: int,
        held: HeldBytes,
        is_reused: bool = False,
    ):
        self.stream = stream
        self.is_reused = is_reused
        params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=body_limit_bytes
        )
        self._connection = HTTP1Connection(stream, True, params)
        self._held = held
        held.give_up = self._give_up
        self._delegate = _ResponseDelegate(held)
        self._reader: asyncio.Task | None = None
        self._head: ResponseHead | None = None

    def _give_up(self) -> None:
        self._delegate.drop("given up to limit the memory of this node")
        self.stream.close()

    def note_consumed(self, size_bytes: int) -> None:
        """Count bytes of the body as passed on."""
        self._held.remove(size_bytes)

    def send(self, request: OutgoingRequest) -> None:
        """Start to write the request and, concurrently, to read the response."""
        headers = httputil.HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        start_line = httputil.RequestStartLine(
            request.method, request.target, "HTTP/1.1"
        )
        written = self._connection.write_headers(
            start_line, headers, request.body or None
        )
        written.add_done_callback(lambda f: f.cancelled() or f.exception())
        self._connection.finish()
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        try:
            await self._connection.read_response(self._delegate)
        except Exception as error:  # a malformed response fails the exchange
            self._delegate.end(repr(error))
        finally:
            self._delegate.end("connection closed")

    async def head(self, timeout_s: float | None = None) -> ResponseHead:
        """Return the response head; raise `ExchangeFailed` if none arrives."""
        try:
            async with asyncio.timeout(timeout_s):
                self._head = await asyncio.shield(self._delegate.head)
        except TimeoutError:
            raise ExchangeFailed(
                "no response within the time limit", may_have_run=True
            ) from None
        return self._head

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise `ExchangeFailed` if it is truncated."""
        while (chunk := await self._delegate.next_chunk()) is not None:
            yield chunk
        if self._delegate.end_reason != "complete":
            raise ExchangeFailed(f"response truncated: {self._delegate.end_reason}")
        if self.stream.error is not None and self.framing is Framing.CONNECTION:
            # A body without a declared length is complete only after an orderly close.
            raise ExchangeFailed("response truncated: connection reset")

    async def error_body(self) -> bytes:
        """Return the complete body of a short response, such as that of an error.

        Raises `ExchangeFailed` if it is truncated, or exceeds `MAX_ERROR_BYTES` or
        `ERROR_BODY_LIMIT_S`.
        """
        body = bytearray()
        try:
            async with asyncio.timeout(ERROR_BODY_LIMIT_S):
                async for chunk in self.body_chunks():
                    body += chunk
                    if len(body) > MAX_ERROR_BYTES:
                        raise ExchangeFailed(
                            f"body of an error has more than {MAX_ERROR_BYTES} bytes",
                            may_have_run=True,
                        )
        except TimeoutError:
            raise ExchangeFailed(
                f"body of an error took more than {ERROR_BODY_LIMIT_S} s",
                may_have_run=True,
            ) from None
        return bytes(body)

    async def body(self, limit: ProgressLimit | None = None) -> bytes:
        """Return the complete body; raise `ExchangeFailed` if it is truncated.

        With `limit`, a body without that progress fails as well. There is no limit on
        the total time, which may be long for a large body on a slow link.
        """
        received: list[bytes] = []
        try:
            if limit is None:
                async for chunk in self.body_chunks():
                    received.append(chunk)
            else:
                await self._read_with_progress(received, limit)
            return b"".join(received)
        finally:
            # Tracebacks of failed exchanges would keep the body for a while.
            received.clear()

    async def _read_with_progress(
        self, received: list[bytes], limit: ProgressLimit
    ) -> None:
        """Append the chunks of the body; raise `ExchangeFailed` without progress."""
        chunks = self.body_chunks()
        window_end_s, window_bytes = time.monotonic() + limit.window_s, 0
        while True:
            try:
                async with asyncio.timeout(window_end_s - time.monotonic()):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise ExchangeFailed(
                    f"only {window_bytes} bytes of the body in {limit.window_s} s",
                    may_have_run=True,
                ) from None
            received.append(chunk)
            window_bytes += len(chunk)
            if window_bytes >= limit.least_bytes:
                window_end_s, window_bytes = time.monotonic() + limit.window_s, 0

    @property
    def framing(self) -> Framing:
        """How the end of the body is found; `Framing.CONNECTION` without a head."""
        headers = self._head.headers if self._head else {}
        if "Transfer-Encoding" in headers:
            return Framing.CHUNKED
        if "Content-Length" in headers:
            return Framing.LENGTH
        return Framing.CONNECTION

    @property
    def silent_s(self) -> float:
        """Time since the head or a piece of the body arrived, or since the send."""
        return time.monotonic() - self._delegate.received_s

    @property
    def connection_end(self) -> ConnectionEnd:
        if isinstance(self.stream.error, OSError):
            if self.stream.error.errno == errno.ETIMEDOUT:
                return ConnectionEnd.UNACKNOWLEDGED
            return ConnectionEnd.RESET
        return ConnectionEnd.CLOSED if self.stream.closed() else ConnectionEnd.NONE

    def is_acknowledged(self) -> bool:
        """Return whether the other side's kernel has the whole request.

        True as well if this side's kernel cannot tell. See ``tcp(7)``, ``SIOCOUTQ``.
        """
        if self.stream.closed():
            return True
        if self.stream.writing():
            return False
        unacknowledged = bytearray(struct.calcsize("i"))
        try:
            fcntl.ioctl(self.stream.socket, termios.TIOCOUTQ, unacknowledged)
        except OSError:
            return True
        return not any(unacknowledged)

    def is_reusable(self) -> bool:
        """Return whether the connection can be used for another request."""
        head = self._head
        return (
            head is not None
            and self._delegate.end_reason == "complete"
            and self.framing is not Framing.CONNECTION
            and "close" not in _tokens(head.headers.get("Connection", ""))
            and not self.stream.writing()
            and self.stream.is_quiet()
        )

    def keep_alive_s(self) -> float | None:
        """Return the idle time that the server announced, or None."""
        for token in _tokens(self._head.headers.get("Keep-Alive", "")):
            name, _, value = token.partition("=")
            if name == "timeout" and value.isdecimal():
                return float(value)
        return None

    def close(self) -> None:
        """Close the connection, at which the server stops work on the request."""
        self._held.close()
        self.stream.close()
        self._delegate.drop("closed by this side")
        if self._reader is not None:
            self._reader.cancel()

    async def release(self) -> bool:
        """Wait for the reader to end; return whether the connection is reusable."""
        if self._reader is not None:
            await self._reader
        self._held.close()
        return self.is_reusable()


def _tokens(value: str) -> list[str]:
    """Return the lower-case items of a comma-separated header value."""
    return [token.strip().lower() for token in value.split(",")]
