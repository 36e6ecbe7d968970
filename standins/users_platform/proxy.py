"""A loopback proxy that harms connections from outside the processes that use them."""

import asyncio
import random
import socket
import struct
from contextlib import suppress

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultInjectingProxy:
    """Forwards to one port; each connection suffers what `harm` says now.

    `harm` is ``none``, ``delay``, ``reset`` (new and open connections), ``one_way``
    (what the server answers is lost) or ``silent`` (open connections go silent for
    good, new ones work).
    """

    def __init__(self, target_port: int, source: random.Random):
        self.target_port = target_port
        self.source = source
        self.harm = "none"
        self.port = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self._server.close()
        for writer in list(self._open):
            writer.close()

    def set_fault(self, harm: str) -> None:
        self.harm = harm
        if harm == "reset":
            for writer in list(self._open):
                _reset(writer)
        elif harm == "silent":
            self._silenced |= self._open

    async def _serve(self, reader, writer) -> None:
        if self.harm == "reset":
            _reset(writer)
            return
        self._open.add(writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                HOST, self.target_port
            )
            await asyncio.gather(
                self._copy(reader, server_writer, writer, is_answer=False),
                self._copy(server_reader, writer, writer, is_answer=True),
            )
        except OSError:
            # The target is gone; its client sees a closed connection.
            pass
        finally:
            self._open.discard(writer)
            self._silenced.discard(writer)
            writer.close()

    async def _copy(self, reader, writer, client, is_answer: bool) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.harm == "delay":
                    await asyncio.sleep(self.source.uniform(0.0, 0.3))
                if client in self._silenced:
                    continue
                if self.harm == "one_way" and is_answer:
                    continue
                writer.write(chunk)
                await writer.drain()
        if client not in self._silenced:
            with suppress(OSError):
                writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
