"""Bytes on connections of callers that are not processed yet, and late answers."""

import contextlib
import socket

from tornado import httputil
from tornado.iostream import IOStream


def has_buffered_bytes(stream: IOStream) -> bool:
    """Return whether bytes were read that do not complete the awaited part."""
    return stream._read_buffer_size > 0 and stream.reading()


def has_unread_bytes(stream: IOStream) -> bool:
    """Return whether bytes have arrived that tornado has not passed on yet.

    They are in the socket, or the awaited part was read from it and its reader runs in
    the next turn of the event loop. After the loop was blocked, a timer that has
    become due runs before either is processed.
    """
    if stream.closed():
        return False
    if not stream.reading():
        return True
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def answer_incomplete(
    stream: IOStream, status: int, headers: list[tuple[str, str]], body: bytes
) -> None:
    """Answer a request that has not arrived completely, and send no more.

    The connection stays open, because bytes that arrive at a closed one would reset it,
    and the caller might lose the answer.
    """
    lines = [
        f"HTTP/1.1 {status} {httputil.responses.get(status, '-')}",
        *(f"{name}: {value}" for name, value in headers),
        "Connection: close",
        f"Content-Length: {len(body)}",
    ]
    stream.write("\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body)
    if not stream.writing():
        with contextlib.suppress(OSError):  # the caller has reset the connection
            stream.socket.shutdown(socket.SHUT_WR)
