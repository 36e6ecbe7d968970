"""Clients that take their stream up again after its channel was broken."""

import asyncio
import itertools
import time
from typing import NamedTuple

from review.common.callers import new_request_id
from review.common.deployment import (
    Deployment,
    Record,
)

# The first request and one retry, as on the sheet of the site.
MAX_REQUESTS = 2
# Pause after a connection that was not established.
RECONNECT_S = 0.5


class TakeUp(NamedTuple):
    """A request that took a stream up again; `sent_s` is monotonic."""

    node: str
    sent_s: float
    status: int
    has_gone_on: bool


class StreamClient:
    """One client that takes its stream up again until it is complete.

    It sends its requests to the nodes in turn, honours `Retry-After`, and gives up
    after `deadline_s`, or after `MAX_REQUESTS`; connections that are not established do
    not count as requests. `take_ups` holds the node, the time and the status of each
    request that took the stream up again.
    """

    def __init__(
        self, deployment: Deployment, record: Record, number: int, deadline_s: float
    ):
        self.deployment = deployment
        self.record = record
        self.number = number
        self.deadline_s = deadline_s
        self.request_count = 0
        self.take_ups: list[TakeUp] = []
        self.events: list[tuple[int, str]] = []
        self.first_id = ""
        self.is_complete = False

    @property
    def versions(self) -> list[str]:
        return list(dict.fromkeys(version for _, version in self.events))

    async def run(self) -> None:
        end_s = time.monotonic() + self.deadline_s
        names = self.deployment.node_names
        for attempt in itertools.count():
            left_s = end_s - time.monotonic()
            has_given_up = self.request_count >= MAX_REQUESTS or left_s < 0.2
            if self.is_complete or has_given_up:
                return
            name = names[(self.number + attempt) % len(names)]
            pause_s = await self._attempt(name, left_s)
            await asyncio.sleep(pause_s)

    async def _attempt(self, name: str, left_s: float) -> float:
        """Send one request; return the pause before the next."""
        request_id = new_request_id()
        caller = self.deployment.caller(name)
        fields = {
            "Host": caller.host,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(left_s * 1000)),
            "Authorization": "Token key-1",
            "Content-Length": "6",
            "Model": "m",
            "Token-Usage": "2890,280",
            "Prefix-Hash": f"aa{self.number:02x}:2520,bb{self.number:02x}:370",
        }
        if self.events:
            fields["Last-Event-Id"] = str(self.events[-1][0])
            fields["Resumes"] = self.first_id
        lines = ["POST /digest/x HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
        host, _, port = caller.address.rpartition(":")
        before = len(self.events)
        sent_s = time.monotonic()
        status, headers = 0, {}
        try:
            async with asyncio.timeout(left_s):
                reader, writer = await asyncio.open_connection(host, port)
                self.request_count += 1
                writer.write(("\r\n".join(lines) + "\r\n\r\nprompt").encode())
                status, headers = await self._read(reader, request_id)
        except ConnectionRefusedError:
            return RECONNECT_S
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        if before:
            has_gone_on = len(self.events) > before
            self.take_ups.append(TakeUp(name, sent_s, status, has_gone_on))
        if len(self.events) > before or not self.events or status not in (0, 503):
            self.record.note(
                "stream",
                client=self.number,
                id=request_id,
                resumes=fields.get("Resumes"),
                after=fields.get("Last-Event-Id"),
                node=name,
                status=status,
                events=[f"{n}:{v}" for n, v in self.events[before:]],
                is_complete=self.is_complete,
            )
        return float(headers.get("retry-after", "0.3"))

    async def _read(self, reader, request_id: str) -> tuple[int, dict[str, str]]:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *fields = head.rstrip("\r\n").split("\r\n")
        headers = {}
        for field in fields:
            field_name, _, value = field.partition(":")
            headers[field_name.strip().lower()] = value.strip()
        status = int(line.split(" ")[1])
        if status != 200:
            return status, headers
        text = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            text += (await reader.readexactly(size + 2))[:-2]
            *events, text = text.split(b"\n\n")
            for event in events:
                self._add(event.decode(), request_id)
        await reader.readexactly(2)
        self.is_complete = True
        return status, headers

    def _add(self, event: str, request_id: str) -> None:
        number, data = event.split("\n")
        if not self.events:
            self.first_id = request_id
        version = data.rpartition(" ")[2]
        self.events.append((int(number.partition(": ")[2]), version))
