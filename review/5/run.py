"""The store comes back from a copy in which a replica that leaves is still ready."""

import asyncio
import sys
import time
from pathlib import Path

from review.common.backends import (
    Backend,
    plain_handler,
)
from review.common.callers import Answer
from review.common.deployment import (
    BOUNDS,
    ZONES,
    Deployment,
    Record,
    plain_service,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
NODE = "edge-0"
BOOKERS = 6
# From the start of traffic.
COPY_AT_S = 1.0
LEAVE_AT_S = 3.0
STORE_AWAY_AT_S = 6.0
STORE_AWAY_S = 0.5
# The platform and the replicas write again what the copy lacks after one heartbeat.
REWRITE_S = 1.2
EXIT_AT_S = 10.0
END_AT_S = 11.0

CONFIGURATION = {
    "version": 1,
    "routes": [route("book", "non_idempotent", "dispatch-api", timeout_ms=5000)],
    "services": [plain_service("dispatch-api")],
    "tenants": [{"name": "north", "api_keys": ["key-1"], "priority": 1}],
}


async def book(deployment: Deployment, answers: list[Answer], end_s: float) -> None:
    caller = deployment.caller(NODE)
    while time.monotonic() < end_s:
        answers.append(await caller.request("POST", "/book/1", b"seat 4"))
        await asyncio.sleep(0.02)
    caller.close()


async def restore_store(record: Record, deployment: Deployment, copy, leaver) -> None:
    store = deployment.store
    record.note("store away")
    store.mode = "busy"
    await asyncio.sleep(STORE_AWAY_S)
    store.restore(copy)
    store.mode = "ok"
    record.note("store back from a copy", era=store.era)
    await asyncio.sleep(REWRITE_S)
    for backend in deployment.backends:
        if backend is not leaver:
            deployment.put_entry(backend)
    deployment.remove_entry(leaver)
    deployment.put_configuration(deployment.configuration)
    record.note("written again", removed=leaver.server_id)


async def play(record: Record, has_trouble: bool) -> int:
    handler = plain_handler(0.045)
    servers = [
        Backend(f"dispatch-{zone}", "dispatch-api", zone, handler) for zone in ZONES
    ]
    leaver = servers[0]
    answers: list[Answer] = []
    async with Deployment(record, CONFIGURATION, servers) as deployment:
        await asyncio.sleep(4.0)
        began_s = time.monotonic()

        async def until(at_s: float) -> None:
            await asyncio.sleep(began_s + at_s - time.monotonic())

        async with asyncio.TaskGroup() as group:
            for _ in range(BOOKERS):
                group.create_task(book(deployment, answers, began_s + END_AT_S))
            await until(COPY_AT_S)
            copy = deployment.store.copy()
            record.note("copy of the store taken")
            await until(LEAVE_AT_S)
            leaver.headers["Server-Leaving"] = "1"
            record.note("replica begins to leave", server=leaver.server_id)
            while not any("server-leaving" in a.headers for a in answers):
                await asyncio.sleep(0.02)
            deployment.remove_entry(leaver)
            record.note("entry removed", server=leaver.server_id)
            await until(STORE_AWAY_AT_S)
            if has_trouble:
                await restore_store(record, deployment, copy, leaver)
            await until(EXIT_AT_S)
            record.note("replica exits", server=leaver.server_id)
            leaver.crash()
    sent_s = {a.request_id: a.sent_s for a in answers}
    said_s = min(
        (a.ended_s for a in answers if a.headers.get("server-leaving") == "1"),
        default=None,
    )
    if said_s is None:
        raise RuntimeError("no answer with Server-Leaving was passed on")
    record.note("first answer with Server-Leaving passed on", at=said_s - began_s)
    limit_s = said_s + BOUNDS["drain_timeout_ms"] / 1000
    late = [a for a in leaver.arrivals if sent_s[a.request_id] > limit_s]
    arrived = {a.request_id for s in servers for a in s.arrivals}
    for answer in answers:
        record.note(
            "answered" if answer.status else "no answer",
            request=answer.request_id,
            status=answer.status,
            sent=round(answer.sent_s - began_s, 3),
            is_run=answer.request_id in arrived,
        )
    for arrival in late:
        record.note(
            "request reached the leaving replica",
            request=arrival.request_id,
            sent=round(sent_s[arrival.request_id] - began_s, 3),
            since_leaving_passed_on=round(sent_s[arrival.request_id] - said_s, 3),
        )
    return record.verdict(
        bool(late),
        f"{len(late)} requests reached the replica too late after Server-Leaving",
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
