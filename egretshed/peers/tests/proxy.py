"""A loopback relay between two nodes that records, repeats, reflects or drops bytes."""

import asyncio


class Relay:
    """Connects callers of `port` to `target_port`.

    `mode` is ``pass``, ``repeat`` (each later client chunk twice) or ``reflect`` (back
    to the client). `silence` ends all traffic of the connections that are open now.
    """

    def __init__(self, target_port: int):
        self.target_port = target_port
        self.mode = "pass"
        self.connections = 0
        self.chunks: list[bytes] = []
        self._silent_up_to = 0
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        self._silent_up_to = self.connections

    async def stop(self) -> None:
        self.server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        self._tasks.append(asyncio.current_task())
        up, down = await asyncio.open_connection("127.0.0.1", self.target_port)
        await asyncio.gather(
            self._relay(number, reader, down, back=writer),
            self._relay(number, up, writer),
        )

    async def _relay(self, number, source, target, back=None) -> None:
        first = True
        while data := await source.read(65536):
            if number <= self._silent_up_to:
                continue
            if back is not None:
                self.chunks.append(data)
            if back is not None and not first and self.mode == "reflect":
                back.write(data)
            else:
                repeats = 2 if back and not first and self.mode == "repeat" else 1
                target.write(data * repeats)
            first = False
        target.close()
