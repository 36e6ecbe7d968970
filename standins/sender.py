"""Callers that send one request after the other until their connection is refused."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from standins.http_server import LOOPBACK

SEND_PERIOD_S = 0.004
NO_ANSWER = "no answer"
# A refusal that does not tell its caller when to return.
NO_RETRY_AFTER = "503 without Retry-After"


class SentRequest(NamedTuple):
    """One request; `outcome` is the status of its answer, or `NO_ANSWER`."""

    request_id: str
    sent_s: float
    ended_s: float
    outcome: str


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bool]:
    """Return the status of a whole answer and whether its connection stays open.

    Raises `asyncio.IncompleteReadError` if the connection ends before the answer does.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
    if "transfer-encoding: chunked" in head:
        await _read_chunks(reader)
    else:
        length = int(head.partition("content-length: ")[2].split("\r\n")[0] or 0)
        await reader.readexactly(length)
    status = head.split(" ")[1]
    if status == "503" and "retry-after: " not in head:
        status = NO_RETRY_AFTER
    return status, "connection: close" not in head


async def _read_chunks(reader: asyncio.StreamReader) -> None:
    length = -1
    while length != 0:
        length = int(await reader.readuntil(b"\r\n"), 16)
        await reader.readexactly(length + len(b"\r\n"))


class Sender:
    """Sends requests to a port, on one connection or on a new one for each.

    `encode(request_id)` returns the bytes of a request.
    """

    def __init__(
        self, name: str, port: int, encode: Callable[[str], bytes], keeps: bool
    ):
        self.name = name
        self.port = port
        self.encode = encode
        self.keeps = keeps
        self.sent: list[SentRequest] = []

    async def run(self) -> None:
        connection = None
        count = 0
        while True:
            try:
                connection = connection or await asyncio.open_connection(
                    LOOPBACK, self.port
                )
            except ConnectionError:
                return
            count += 1
            request_id = f"{self.name}-{count}"
            sent_s = time.monotonic()
            outcome, stays_open = await self._send(connection, request_id)
            ended_s = time.monotonic()
            self.sent.append(SentRequest(request_id, sent_s, ended_s, outcome))
            if not (self.keeps and stays_open):
                connection[1].close()
                connection = None
            await asyncio.sleep(SEND_PERIOD_S)

    async def _send(self, connection, request_id: str) -> tuple[str, bool]:
        reader, writer = connection
        try:
            writer.write(self.encode(request_id))
            return await read_answer(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            return NO_ANSWER, False


def assert_all_answered(senders: list[Sender], stop_s: float) -> None:
    """Assert that each request got an answer; show the others relative to the stop."""
    sent = [request for sender in senders for request in sender.sent]
    lost = [request for request in sent if request.outcome == NO_ANSWER]
    late = [(r.request_id, round(r.sent_s - stop_s, 4)) for r in lost]
    assert not lost, late
