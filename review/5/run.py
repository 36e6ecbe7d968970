"""A node is stopped while callers still have connections to it open."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

from review.common.backends import (
    Arrival,
    Backend,
)
from review.common.callers import (
    Answer,
    Caller,
)
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
NODE = "edge-0"
CALLERS = 8
# Tokens of one event, and events of `route-ask`, as on the sheet of the site, which has
# up to 85 events and allows pauses of 600 ms.
TOKENS_PER_EVENT = 7
SHORT_EVENTS = 12
LONG_EVENTS = 60
EVENT_GAP_S = 0.1
SHORT_STREAMS = 4
SHORT_PAUSE_S = 0.5
# Requests that are sent later than this after the SIGTERM are not excused.
EXCUSED_S = 3.0
LONG_AT_S = 3.05

CONFIGURATION = {
    "version": 1,
    "routes": [
        route("ask", "streaming", "rota-llm", timeout_ms=10000, target_itl_ms=600)
    ],
    "services": [engine_service("rota-llm")],
    "tenants": [{"name": "north", "api_keys": ["key-1"], "priority": 1}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
_PARTS = itertools.count(0x1000)


async def generate(backend: Backend, arrival: Arrival, writer) -> None:
    """Stream as many tokens as the request names, at an even pace."""
    tokens = int(arrival.headers["token-usage"].split(",")[1])
    extra = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    writer.write(backend.head(arrival, 200, extra))
    for number in range(1, tokens // TOKENS_PER_EVENT + 1):
        await asyncio.sleep(EVENT_GAP_S)
        event = f"id: {number}\ndata: {arrival.request_id}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


class Sent(NamedTuple):
    kind: str
    answer: Answer


async def ask(caller: Caller, kind: str, events: int, sent: list[Sent]) -> None:
    answer = await caller.request(
        "POST",
        "/ask/1",
        b"",
        deadline_ms=10000,
        Model="m",
        Token_Usage=f"1460,{events * TOKENS_PER_EVENT}",
        Prefix_Hash=f"5a5a5a5a:350,{next(_PARTS):08x}:1110",
    )
    sent.append(Sent(kind, answer))


async def ask_short(caller: Caller, sent: list[Sent]) -> None:
    """Send some streams on one connection, which stays open."""
    for _ in range(SHORT_STREAMS):
        await ask(caller, "short", SHORT_EVENTS, sent)
        await asyncio.sleep(SHORT_PAUSE_S)


async def play(record: Record, has_trouble: bool) -> int:
    servers = [
        Backend(f"llm-{zone}-{number}", "rota-llm", zone, generate)
        for zone in ZONES
        for number in (1, 2)
    ]
    sent: list[Sent] = []
    async with Deployment(record, CONFIGURATION, servers) as deployment:
        await asyncio.sleep(4.0)
        node = deployment.processes[NODE]
        callers = [deployment.caller(NODE) for _ in range(CALLERS)]
        await asyncio.gather(*(ask_short(caller, sent) for caller in callers))
        term_s = time.monotonic()
        if has_trouble:
            node.send_signal(signal.SIGTERM)
            record.note("SIGTERM", node=NODE)
        await asyncio.sleep(term_s + LONG_AT_S - time.monotonic())
        kept = sum(caller.is_open() for caller in callers)
        record.note("connections still open", count=kept)
        long_streams = [ask(caller, "long", LONG_EVENTS, sent) for caller in callers]
        await asyncio.gather(*long_streams)
        if has_trouble:
            async with asyncio.timeout(BOUNDS["grace_period_s"]):
                await node.wait()
            ended_s = time.monotonic() - term_s
            record.note("node ended", status=node.returncode, within_s=round(ended_s))
        for caller in callers:
            caller.close()
    return judge(record, servers, sent, term_s)


def judge(
    record: Record, servers: list[Backend], sent: list[Sent], term_s: float
) -> int:
    ran = {a.request_id: a.server_id for s in servers for a in s.arrivals}
    lost = 0
    for kind, answer in sorted(sent, key=lambda s: s.answer.sent_s):
        since_s = answer.sent_s - term_s
        is_passed_on = answer.request_id in ran
        record.note(
            "answered" if answer.status else "cut",
            kind=kind,
            request=answer.request_id,
            sent_after_term=round(since_s, 3),
            status=answer.status,
            took_s=round(answer.ended_s - answer.sent_s, 2),
            passed_on_to=ran.get(answer.request_id, ""),
        )
        lost += not answer.status and is_passed_on and since_s > EXCUSED_S
    return record.verdict(
        lost > 0,
        f"{lost} streams that were sent later than {EXCUSED_S:.0f} s after the "
        "SIGTERM were passed on and cut",
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
