"""Callers that keep their connection to a node open for many requests."""

import asyncio
import itertools
import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

_IDS = itertools.count(1)


def new_request_id() -> str:
    return f"{next(_IDS):016x}"


class Answer(NamedTuple):
    """What a caller saw. Status 0: the connection ended without a complete answer."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_s: float
    ended_s: float


class Caller:
    """One caller with one connection, which is opened again once it has ended."""

    def __init__(self, address: str, host: str = "h.example"):
        self.address = address
        self.host = host
        # Called with the id of each request before it is sent.
        self.on_sent: Callable[[str], None] = lambda request_id: None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        deadline_ms: int = 5000,
        key: str | None = "key-1",
        **headers: str,
    ) -> Answer:
        """Send one request and return its answer."""
        request_id = new_request_id()
        self.on_sent(request_id)
        fields = {
            "Host": self.host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **({"Authorization": f"Token {key}"} if key else {}),
            **({"Content-Length": str(len(body))} if method != "GET" else {}),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        content = ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body
        sent_s = time.monotonic()
        status, answer_headers, answer_body = 0, {}, b""
        try:
            if not self.is_open():
                host, _, port = self.address.rpartition(":")
                self._reader, self._writer = await asyncio.open_connection(host, port)
            self._writer.write(content)
            async with asyncio.timeout(deadline_ms / 1000 + 2.0):
                status, answer_headers, answer_body = await self._read(method)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            status = 0
            self.close()
        except asyncio.CancelledError:
            self.close()
            raise
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(
            request_id, status, answer_headers, answer_body, sent_s, time.monotonic()
        )

    async def _read(self, method: str) -> tuple[int, dict[str, str], bytes]:
        reader = self._reader
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *fields = head.rstrip("\r\n").split("\r\n")
        headers = {}
        for field in fields:
            name, _, value = field.partition(":")
            headers[name.strip().lower()] = value.strip()
        status = int(line.split(" ")[1])
        if "content-length" in headers:
            return (
                status,
                headers,
                await reader.readexactly(int(headers["content-length"])),
            )
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return status, headers, body
            body += chunk[:-2]

    def is_open(self) -> bool:
        """Return whether the connection is open, as far as this side knows."""
        if self._writer is None or self._writer.is_closing():
            return False
        return not self._reader.at_eof()

    def close(self) -> None:
        if self._writer is not None:
            with suppress(OSError):
                self._writer.close()
        self._writer = None
