"""A model replica in trouble answers 500 with a body that does not end."""

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path

from review.common.backends import (
    Arrival,
    Backend,
    plain_handler,
    stream_handler,
)
from review.common.callers import Answer
from review.common.deployment import (
    ZONES,
    Deployment,
    Record,
    engine_service,
    plain_service,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
NODE = "edge-0"
# `memory_mb` of a machine.
MEMORY_MB = 300
# All bodies of the replica in trouble together; the link of a machine has 1,000 Mbit/s.
SICK_BYTES_PER_S = 400e6 / 8
CHUNK_BYTES = 64 * 1024
BOOKERS = 12
BOOK_WORK_S = 0.3
# 10 a second is what the whole deployment gets of its three kinds of model requests.
ASKERS = 40
ASK_PERIOD_S = 0.1
EVENTS = 25
EVENT_GAP_S = 0.16
PLAY_S = 15.0
WATCH_PERIOD_S = 0.02
# More lost requests than this break the rule.
ALLOWED_LOST = 3

CONFIGURATION = {
    "version": 1,
    "routes": [
        route("book", "non_idempotent", "dispatch-api", timeout_ms=5000),
        route("ask", "streaming", "rota-llm", timeout_ms=10000, target_itl_ms=600),
    ],
    "services": [plain_service("dispatch-api"), engine_service("rota-llm")],
    "tenants": [{"name": "north", "api_keys": ["key-1"], "priority": 1}],
}


class Link:
    """The rate at which the replica in trouble sends, on all its connections."""

    def __init__(self) -> None:
        self._free_s = time.monotonic()

    async def send(self, size_bytes: int) -> None:
        self._free_s = max(self._free_s, time.monotonic()) + (
            size_bytes / SICK_BYTES_PER_S
        )
        await asyncio.sleep(self._free_s - time.monotonic())


class SickEngine:
    """Handler of the replica in trouble; `is_endless` tells whether its body ends."""

    def __init__(self, is_endless: bool):
        self.is_endless = is_endless
        self.link = Link()
        self.open_bodies = 0
        self.sent_bytes = 0

    async def __call__(self, backend: Backend, arrival: Arrival, writer) -> None:
        if not self.is_endless:
            backend.answer(writer, arrival, 500, b"out of memory")
            return
        writer.write(backend.head(arrival, 500, {"Connection": "close"}))
        self.open_bodies += 1
        try:
            while not writer.is_closing():
                await self.link.send(CHUNK_BYTES)
                writer.write(b"\xa5" * CHUNK_BYTES)
                self.sent_bytes += CHUNK_BYTES
                await writer.drain()
        finally:
            self.open_bodies -= 1


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process that is its own."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def enforce_memory(record: Record, deployment: Deployment, sick) -> None:
    """End a process that exceeds its memory, as the platform does."""
    peaks_mb = dict.fromkeys(deployment.node_names, 0.0)
    try:
        while True:
            for name, process in deployment.processes.items():
                used_mb = memory_mb(process.pid) if process.returncode is None else 0.0
                peaks_mb[name] = max(peaks_mb[name], used_mb)
                if used_mb > MEMORY_MB:
                    await deployment.kill_node(
                        name,
                        f"{used_mb:.0f} MB, over {MEMORY_MB} MB, with "
                        f"{sick.open_bodies} bodies open",
                    )
            await asyncio.sleep(WATCH_PERIOD_S)
    finally:
        for name, peak_mb in peaks_mb.items():
            record.note("peak memory", node=name, mb=round(peak_mb))


async def book(deployment: Deployment, answers: list[Answer], end_s: float) -> None:
    caller = deployment.caller(NODE)
    while time.monotonic() < end_s:
        answer = await caller.request("POST", "/book/1", b"seat 4")
        answers.append(answer)
        if answer.status == 0:
            return  # its node is gone
    caller.close()


async def ask(deployment: Deployment, answers: list[Answer], rng) -> None:
    caller = deployment.caller(NODE)
    part = f"{rng.getrandbits(32):08x}"
    answers.append(
        await caller.request(
            "POST",
            "/ask/1",
            b"which lots are left",
            deadline_ms=10000,
            Model="m",
            Token_Usage="1460,170",
            Prefix_Hash=f"{rng.getrandbits(32):08x}:350,{part}:1110",
        )
    )
    caller.close()


async def play(record: Record, has_trouble: bool) -> int:
    sick = SickEngine(has_trouble)
    book_handler, ask_handler = (
        plain_handler(BOOK_WORK_S),
        stream_handler(EVENTS, EVENT_GAP_S),
    )
    sound = [
        *(Backend(f"dispatch-{z}", "dispatch-api", z, book_handler) for z in ZONES),
        *(Backend(f"llm-{z}", "rota-llm", z, ask_handler) for z in ZONES[:2]),
    ]
    servers = [*sound, Backend("llm-sick", "rota-llm", ZONES[2], sick)]
    booked: list[Answer] = []
    asked: list[Answer] = []
    rng = random.Random(4)
    async with Deployment(record, CONFIGURATION, servers) as deployment:
        watch = asyncio.create_task(enforce_memory(record, deployment, sick))
        await asyncio.sleep(4.0)
        end_s = time.monotonic() + PLAY_S
        async with asyncio.TaskGroup() as group:
            for _ in range(BOOKERS):
                group.create_task(book(deployment, booked, end_s))
            await asyncio.sleep(1.0)
            for _ in range(ASKERS):
                group.create_task(ask(deployment, asked, rng))
                await asyncio.sleep(ASK_PERIOD_S)
        watch.cancel()
        await asyncio.wait({watch})
    record.note("the replica in trouble sent", mb=sick.sent_bytes // 1_000_000)
    ran = {a.request_id: a.server_id for s in sound for a in s.arrivals}
    lost = [a for a in booked if a.status == 0 and a.request_id in ran]
    for answer in sorted([*booked, *asked], key=lambda a: a.sent_s):
        record.note(
            "answered" if answer.status else "no answer",
            request=answer.request_id,
            status=answer.status,
            took_s=round(answer.ended_s - answer.sent_s, 3),
            ran_at=ran.get(answer.request_id, ""),
        )
    return record.verdict(
        len(lost) > ALLOWED_LOST,
        f"{len(lost)} bookings were passed on to sound replicas and not answered",
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
