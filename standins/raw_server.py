"""Loopback servers that send arbitrary bytes, for tests of connections."""

import asyncio
import socket
import struct
from collections.abc import (
    Awaitable,
    Callable,
)
from typing import Any

from standins.behave_loop import run
from standins.http_server import LOOPBACK

RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def start_raw_server(context: Any, serve: Serve) -> str:
    """Run `serve(reader, writer)` for each connection until the scenario ends.

    Returns the address of the server, as ``host:port``.
    """

    async def start() -> asyncio.Server:
        return await asyncio.start_server(serve, LOOPBACK, 0)

    server = run(context, start())
    context.add_cleanup(server.close)
    return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection instead of closing it."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    writer.transport.abort()


class LateWriter:
    """Writes bytes to a connection after a delay, until it is closed."""

    def __init__(self, writer: asyncio.StreamWriter, delay_s: float):
        self.writer = writer
        self.delay_s = delay_s
        self._tasks: set[asyncio.Task] = set()

    def write(self, content: bytes) -> None:
        if not self.delay_s:
            self.writer.write(content)
            return
        self._tasks.add(asyncio.create_task(self._write_later(content)))

    async def _write_later(self, content: bytes) -> None:
        await asyncio.sleep(self.delay_s)
        self.writer.write(content)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.writer.close()
