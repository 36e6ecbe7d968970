"""A received request, and the reply that is written to its caller."""

import asyncio
import socket
import struct
from typing import NamedTuple

from tornado import httputil
from tornado.iostream import StreamClosedError

from egretshed.errors import CallerGone
from egretshed.held_bytes.account import HeldBytes

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

    def __init__(self, connection: httputil.HTTPConnection, held: HeldBytes):
        self.connection = connection
        # Counts the bytes of an answer that the caller has not taken yet.
        self.held = held
        held.give_up = self.abort
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
        self.held.add(len(body or b""))
        written.add_done_callback(self._note_written)
        if body is not None:
            self.finish()

    def _note_written(self, written: asyncio.Future) -> None:
        self.held.remove(self.held.size_bytes)
        if self.is_finished:
            self.held.close()
        # Keeps asyncio from logging an exception that nobody awaits any more.
        written.cancelled() or written.exception()

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body; raise `CallerGone` if the caller disconnected."""
        self.held.add(len(chunk))
        try:
            await self.connection.write(chunk)
        except StreamClosedError as error:
            self.disconnected.set()
            raise CallerGone() from error
        finally:
            self.held.remove(len(chunk))

    def finish(self) -> None:
        self.is_finished = True
        self.connection.finish()
        if not self.held.size_bytes:
            self.held.close()

    def abort(self) -> None:
        """End the connection so that the caller sees the response as incomplete.

        Where the end of the connection delimits the body, only a reset shows that.
        """
        self.is_finished = True
        self.is_aborted = True
        self.held.close()
        if (
            self.is_started
            and not self.can_chunk
            and not self.connection.stream.closed()
        ):
            self.connection.stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.connection.stream.close()
