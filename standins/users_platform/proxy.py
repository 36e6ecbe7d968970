"""Loopback TCP proxy that injects connection faults between two processes."""

import asyncio
import random
import socket
import struct
from contextlib import suppress

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultInjectingProxy:
    """Forwards connections to one port, subject to `fault`.

    - ``none``
    - ``delay``: each chunk is delayed by up to 0.3 s.
    - ``reset``: open and new connections are reset.
    - ``one_way``: data from the server is discarded.
    - ``silent``: all data of the connections open at this moment is discarded, even
      after the fault ends; new connections work.
    - ``cut_off``: the same, also for the connections opened during the fault.
    """

    def __init__(self, target_port: int, rng: random.Random):
        self.target_port = target_port
        self.rng = rng
        self.fault = "none"
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

    def set_fault(self, fault: str) -> None:
        self.fault = fault
        if fault == "reset":
            for writer in list(self._open):
                _reset(writer)
        elif fault in ("silent", "cut_off"):
            self._silenced |= self._open

    async def _serve(self, reader, writer) -> None:
        if self.fault == "reset":
            _reset(writer)
            return
        self._open.add(writer)
        if self.fault == "cut_off":
            self._silenced.add(writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                HOST, self.target_port
            )
            await asyncio.gather(
                self._copy(reader, server_writer, writer, is_response=False),
                self._copy(server_reader, writer, writer, is_response=True),
            )
        except OSError:
            # The target is unreachable; the client sees a closed connection.
            pass
        finally:
            self._open.discard(writer)
            self._silenced.discard(writer)
            writer.close()

    async def _copy(self, reader, writer, client, is_response: bool) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.fault == "delay":
                    await asyncio.sleep(self.rng.uniform(0.0, 0.3))
                if client in self._silenced:
                    continue
                if self.fault == "one_way" and is_response:
                    continue
                writer.write(chunk)
                await writer.drain()
        if client not in self._silenced:
            with suppress(OSError):
                writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
