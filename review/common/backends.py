"""Backend servers of the users' platform on loopback, with one handler each.

A server echoes `Request-Id`, signs its answers, refuses requests that name another
replica with 421, and notes each request that it begins to run.
"""

import asyncio
import json
import time
from collections.abc import (
    Awaitable,
    Callable,
)
from contextlib import suppress
from typing import NamedTuple

HOST = "127.0.0.1"
MAX_HEAD_BYTES = 256 * 1024


class Arrival(NamedTuple):
    """One request as a server received it; `at_s` is monotonic."""

    at_s: float
    server_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("request-id", "")


Handler = Callable[["Backend", Arrival, asyncio.StreamWriter], Awaitable[None]]


class Backend:
    """One replica; `handler` answers the requests that are meant for it."""

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        handler: Handler,
        version: str = "v1",
    ):
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.handler = handler
        self.version = version
        self.port = 0
        self.born_ms = int(time.time() * 1000)
        self.headers: dict[str, str] = {}
        self.arrivals: list[Arrival] = []
        self.on_run: list[Callable[[Arrival], None]] = []
        self.sequence = 0
        self.cold_remaining_ms = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    @property
    def is_listening(self) -> bool:
        return self._server is not None

    def entry(self, state: str = "ready") -> dict:
        """Return the entry of this replica in the platform's store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": state,
            "cold_remaining_ms": self.cold_remaining_ms,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def start(self) -> None:
        """Listen, at the port of an earlier start if there was one."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """End at once: the listener and all connections are gone."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            with suppress(OSError):
                writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *fields = head.rstrip("\r\n").split("\r\n")
        method, target, _ = line.split(" ", 2)
        headers = {}
        for field in fields:
            name, _, value = field.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        arrival = Arrival(
            time.monotonic(), self.server_id, method, target, headers, body
        )
        if target == "/report":
            report = {
                "queued": 0,
                "active": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
            self.answer(writer, arrival, 200, json.dumps(report).encode())
        elif headers.get("expect-replica", self.server_id) != self.server_id:
            self.answer(writer, arrival, 421, b"")
        else:
            self.arrivals.append(arrival)
            for callback in self.on_run:
                callback(arrival)
            await self.handler(self, arrival, writer)
        await writer.drain()
        return not writer.is_closing()

    def head(
        self, arrival: Arrival, status: int, extra: dict[str, str] | None = None
    ) -> bytes:
        """Return the head of an answer, signed, without a length."""
        fields = {
            "Request-Id": arrival.request_id,
            "Replica-Signature": f"sig-{arrival.request_id}",
            **self.headers,
            **(extra or {}),
        }
        lines = [f"HTTP/1.1 {status} -", *(f"{n}: {v}" for n, v in fields.items())]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")

    def answer(
        self,
        writer: asyncio.StreamWriter,
        arrival: Arrival,
        status: int,
        body: bytes,
        extra: dict[str, str] | None = None,
    ) -> None:
        length = {"Content-Length": str(len(body))}
        writer.write(self.head(arrival, status, {**length, **(extra or {})}) + body)


def plain_handler(work_s: float) -> Handler:
    """Return a handler that answers with the id of the request after `work_s`."""

    async def handle(backend: Backend, arrival: Arrival, writer) -> None:
        await asyncio.sleep(work_s)
        body = f"answer to {arrival.request_id}".encode()
        backend.answer(writer, arrival, 200, body)

    return handle


def stream_handler(events: int, gap_s: float, names_version: bool = False) -> Handler:
    """Return a handler that streams events, in chunks.

    With `names_version` each event ends with the version of the server's software.
    """

    async def handle(backend: Backend, arrival: Arrival, writer) -> None:
        extra = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(backend.head(arrival, 200, extra))
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(gap_s)
            data = arrival.request_id
            if names_version:
                data = f"{data} {backend.version}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    return handle
