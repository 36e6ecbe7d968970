"""Loopback proxy between two nodes that records, repeats, reflects or drops data."""

import asyncio


class RecordingProxy:
    """Forwards connections to `target_port` and records the data of the clients.

    The mode ``pass`` forwards all data. After the first chunk of a client, ``repeat``
    forwards each chunk twice and ``reflect`` returns it to the client instead.
    """

    def __init__(self, target_port: int):
        self.target_port = target_port
        self.mode = "pass"
        self.connections = 0
        self.chunks: list[bytes] = []
        self._last_stalled = 0
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def stall_connections(self) -> None:
        """Drop all further data of the connections that are open now."""
        self._last_stalled = self.connections

    async def stop(self) -> None:
        self.server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        self._tasks.append(asyncio.current_task())
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        await asyncio.gather(
            self._forward(number, reader, server_writer, client_writer=writer),
            self._forward(number, server_reader, writer),
        )

    async def _forward(self, number, source, target, client_writer=None) -> None:
        first = True
        while data := await source.read(65536):
            if number <= self._last_stalled:
                continue
            if client_writer is not None:
                self.chunks.append(data)
            if client_writer is not None and not first and self.mode == "reflect":
                client_writer.write(data)
            else:
                repeats = (
                    2 if client_writer and not first and self.mode == "repeat" else 1
                )
                target.write(data * repeats)
            first = False
        target.close()
