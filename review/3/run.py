"""All nodes are killed while a service has replicas of two software versions.

The callers take their streams up again once the nodes are back for `contact_ms`.
"""

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from review.common.backends import (
    HOST,
    Backend,
    stream_handler,
)
from review.common.callers import new_request_id
from review.common.deployment import (
    BOUNDS,
    ZONES,
    Deployment,
    Record,
    engine_service,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
STREAMS = 28
EVENTS = 30
EVENT_GAP_S = 0.1
KILL_AFTER_S = 1.0
RESTART_S = 0.5
# The callers' deadline of the kind of request `route-ask`.
DEADLINE_S = 10.0
RESUME_MARGIN_S = 0.3
MIN_STREAMS = 12

CONFIGURATION = {
    "version": 1,
    "routes": [
        route(
            "digest",
            "streaming",
            "rota-llm",
            timeout_ms=10000,
            resumable=True,
            max_attempts=2,
            target_itl_ms=600,
        )
    ],
    "services": [engine_service("rota-llm")],
    "tenants": [{"name": "north", "api_keys": ["key-1"], "priority": 1}],
}


class Part(NamedTuple):
    """What one try of a caller brought."""

    request_id: str
    status: int
    event_ids: list[int]
    is_complete: bool


class Reader:
    """A caller that reads one stream; it keeps its path, prompt and body."""

    def __init__(self, number: int, rng: random.Random):
        self.target = f"/digest/{number}"
        self.prompt = f"{rng.getrandbits(32):08x}:350,{rng.getrandbits(32):08x}:1110"
        self.first: Part | None = None
        self.second: Part | None = None

    async def read(
        self, address: str, left_s: float, fields: dict, for_s: float | None = None
    ) -> Part:
        """Read the stream; with `for_s` the caller breaks it off after that time."""
        request_id = new_request_id()
        head = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Authorization": "Token key-1",
            "Deadline-Ms": str(int(left_s * 1000)),
            "Model": "m",
            "Token-Usage": "1460,170",
            "Prefix-Hash": self.prompt,
            "Content-Length": "0",
            **fields,
        }
        lines = [f"POST {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        status, text = 0, b""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(for_s or left_s):
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, port)
                try:
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                    while chunk := await reader.read(65536):
                        text += chunk
                        if text.endswith(b"\r\n0\r\n\r\n"):
                            break
                        if b"\r\nContent-Length:" in text:
                            break
                finally:
                    writer.close()
        if text.startswith(b"HTTP/1.1 "):
            status = int(text[9:12])
        ids = [
            int(line[4:])
            for line in text.decode("latin1").split("\n")
            if line.startswith("id: ")
        ]
        return Part(request_id, status, ids, text.endswith(b"\r\n0\r\n\r\n"))


async def play(record: Record, has_trouble: bool) -> int:
    handler = stream_handler(EVENTS, EVENT_GAP_S)
    servers = [
        Backend(f"llm-{zone}-{version}", "rota-llm", zone, handler, version)
        for zone in ZONES
        for version in ("v7", "v8")
    ]
    rng = random.Random(5)
    readers = [Reader(number, rng) for number in range(STREAMS)]
    fresh = [Reader(number, rng) for number in range(STREAMS, 2 * STREAMS)]
    async with Deployment(record, CONFIGURATION, servers) as deployment:
        names = deployment.node_names
        addresses = [f"{HOST}:{deployment.ports[name][0]}" for name in names]
        await asyncio.sleep(4.0)
        began_s = time.monotonic()

        async def first_try(reader: Reader, address: str) -> None:
            for_s = None if has_trouble else KILL_AFTER_S
            reader.first = await reader.read(address, DEADLINE_S, {}, for_s)

        tries = [
            asyncio.create_task(first_try(reader, addresses[n % len(addresses)]))
            for n, reader in enumerate(readers)
        ]
        await asyncio.sleep(KILL_AFTER_S)
        if has_trouble:
            for name in names:
                deployment.processes[name].kill()
            for name in names:
                await deployment.kill_node(name, "all nodes are killed at once")
        await asyncio.wait(tries)
        await asyncio.sleep(RESTART_S)
        if has_trouble:
            for name in names:
                await deployment.start_node(name)
            await deployment.wait_ready(*names)
            record.note("all nodes are ready again")
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + RESUME_MARGIN_S)
        left_s = DEADLINE_S - (time.monotonic() - began_s)
        return await take_up(record, readers, fresh, addresses, left_s)


async def take_up(record, readers, fresh, addresses, left_s: float) -> int:
    """Take the cut streams up at other nodes, and begin as many new ones beside."""
    cut = [r for r in readers if r.first.event_ids and not r.first.is_complete]
    record.note("streams cut", count=len(cut), left_s=round(left_s, 2))

    async def resume(reader: Reader, address: str) -> None:
        fields = {
            "Last-Event-Id": str(reader.first.event_ids[-1]),
            "Resumes": reader.first.request_id,
        }
        reader.second = await reader.read(address, left_s, fields)

    async def begin(reader: Reader, address: str) -> None:
        reader.first = await reader.read(address, DEADLINE_S, {})

    count = len(addresses)
    await asyncio.gather(
        *(resume(r, addresses[(n + 1) % count]) for n, r in enumerate(cut)),
        *(begin(r, addresses[n % count]) for n, r in enumerate(fresh)),
    )
    for reader in cut:
        record.note(
            "taken up",
            first_request=reader.first.request_id,
            last_event=reader.first.event_ids[-1],
            request=reader.second.request_id,
            status=reader.second.status,
            events=len(reader.second.event_ids),
            is_complete=reader.second.is_complete,
        )
    for reader in fresh:
        record.note(
            "new stream",
            request=reader.first.request_id,
            status=reader.first.status,
            events=len(reader.first.event_ids),
        )
    if len(cut) < MIN_STREAMS:
        raise RuntimeError("too few streams were cut")
    went_on = sum(bool(r.second.event_ids) for r in cut) / len(cut)
    began = sum(bool(r.first.event_ids) for r in fresh) / len(fresh)
    return record.verdict(
        went_on < began / 2,
        f"{went_on:.0%} of {len(cut)} streams that were taken up went on, "
        f"{began:.0%} of {len(fresh)} new streams began",
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
