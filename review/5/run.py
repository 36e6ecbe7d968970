"""A request crashes each replica that runs it, and its route moves between services."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

from review.common.backends import (
    Arrival,
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
SERVICES = ("dispatch-api", "client-billing", "fleet-telemetry", "contract-registry")
WORK_S = 0.045
CRASH_BODY = b"crashes"
CRASH_AFTER_S = 0.03
# A crashed replica is back, under the id and address that it had, after this time.
BACK_S = 1.5
# The route is moved to the next service after this many tries of the caller.
TRIES_PER_SERVICE = 2
TRIES = 10
PAUSE_S = 3.2
CRASHES_BEFORE = 3
ALLOWED_RETRIES = 3
SOUND_CALLERS = 4


def configuration(version: int, service: str) -> dict:
    return {
        "version": version,
        "routes": [route("book", "non_idempotent", service, timeout_ms=5000)],
        "services": [plain_service(name) for name in SERVICES],
        "tenants": [{"name": "north", "api_keys": ["key-1"], "priority": 1}],
    }


class Replicas:
    """Handler of all replicas; `CRASH_BODY` crashes the one that runs it."""

    def __init__(self, record: Record):
        self.record = record
        self.deployment: Deployment | None = None
        self.revivals: list[asyncio.Task] = []
        self._answer = plain_handler(WORK_S)

    async def __call__(self, backend: Backend, arrival: Arrival, writer) -> None:
        if arrival.body != CRASH_BODY:
            await self._answer(backend, arrival, writer)
            return
        await asyncio.sleep(CRASH_AFTER_S)
        self.record.note(
            "replica crashed", server=backend.server_id, request=arrival.request_id
        )
        if backend.is_listening:
            backend.crash()
            self.revivals.append(asyncio.create_task(self._revive(backend)))

    async def _revive(self, backend: Backend) -> None:
        await asyncio.sleep(BACK_S)
        backend.born_ms = int(time.time() * 1000)
        await backend.start()
        self.deployment.put_entry(backend)


async def book(deployment: Deployment, name: str, answers: list[Answer]) -> None:
    """Send sound bookings until cancelled."""
    caller = deployment.caller(name)
    for number in itertools.count():
        body = f"seat {number} of {name}".encode()
        answers.append(await caller.request("POST", "/book/1", body))
        await asyncio.sleep(0.02)


async def crash_replicas(
    record: Record, deployment: Deployment, has_trouble: bool
) -> None:
    """Send the request at one node after the other; move its route meanwhile."""
    names = itertools.cycle(deployment.node_names)
    for number in range(TRIES):
        moves, rest = divmod(number, TRIES_PER_SERVICE)
        if has_trouble and moves and not rest:
            service = SERVICES[moves % len(SERVICES)]
            deployment.put_configuration(configuration(1 + moves, service))
            await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000)
        name = next(names)
        caller = deployment.caller(name)
        answer = await caller.request("POST", "/book/1", CRASH_BODY)
        caller.close()
        record.note(
            "answered",
            node=name,
            request=answer.request_id,
            status=answer.status,
            retry_after=answer.headers.get("retry-after"),
        )
        await asyncio.sleep(PAUSE_S)


async def play(record: Record, has_trouble: bool) -> int:
    replicas = Replicas(record)
    servers = [
        Backend(f"{name}-{zone}", name, zone, replicas)
        for name in SERVICES
        for zone in ZONES
    ]
    sound: list[Answer] = []
    first = configuration(1, SERVICES[0])
    async with Deployment(record, first, servers) as deployment:
        replicas.deployment = deployment
        await asyncio.sleep(4.0)
        bookers = [
            asyncio.create_task(book(deployment, name, sound))
            for name in deployment.node_names[:SOUND_CALLERS]
        ]
        await crash_replicas(record, deployment, has_trouble)
        for booker in bookers:
            booker.cancel()
        if replicas.revivals:
            await asyncio.wait(replicas.revivals)
    arrivals = [a for s in servers for a in s.arrivals]
    ran = {a.request_id for a in arrivals}
    cut = [a for a in sound if a.status != 200 and a.request_id in ran]
    record.note("sound bookings", sent=len(sound), ran_and_lost=len(cut))
    runs = sorted(
        (a for a in arrivals if a.body == CRASH_BODY), key=lambda run: run.at_s
    )
    if len(runs) < CRASHES_BEFORE:
        raise RuntimeError("the request has not crashed three replicas")
    third_s = runs[CRASHES_BEFORE - 1].at_s + CRASH_AFTER_S
    late = [a for a in runs if a.at_s > third_s + BOUNDS["contact_ms"] / 1000]
    record.note("runs", servers=[a.server_id for a in runs], late=len(late))
    return record.verdict(
        len(late) > ALLOWED_RETRIES,
        f"{len(late)} retries reached replicas later than contact_ms after the third "
        f"crash; {len(runs)} replicas crashed, and {len(cut)} sound bookings with them",
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
