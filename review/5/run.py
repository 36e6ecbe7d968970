"""A write of the nodes is performed late, a version is tried, and all nodes restart.

The nodes keep a record in the store of the versions that services have had, for streams
that are taken up after all nodes have restarted. The late write puts an older one back.
"""

import asyncio
import sys
import time
from pathlib import Path

from review.common.backends import (
    Backend,
    plain_handler,
    stream_handler,
)
from review.common.deployment import (
    ZONES,
    Deployment,
    Record,
    engine_service,
    plain_service,
    route,
    run_case,
)
from review.common.stream_clients import StreamClient

FOLDER = Path(__file__).resolve().parent
EVENTS = 40
EVENT_S = 0.2
STREAMS = 24
# The longest of the site.
DEADLINE_S = 10.0
RECORD_TABLE = "egretshed_nodes"
RECORD_KEY = "!versions"
# The pages: "done 1 to 6 s later".
LATE_S = 4.4
# Seconds after the replica of another service.
CANARY_AT_S = 1.0
STREAMS_AT_S = 1.9
LEAVE_AT_S = 2.4
KILL_AT_S = 5.2
MIXED_LIMIT = 2


def configuration() -> dict:
    return {
        "version": 3,
        "routes": [
            route(
                "digest",
                "streaming",
                "rota-llm",
                timeout_ms=int(DEADLINE_S * 1000),
                target_latency_ms=1900,
                target_itl_ms=600,
                priority=0,
                max_attempts=2,
                resumable=True,
                sticky=True,
            )
        ],
        "services": [engine_service("rota-llm"), plain_service("dispatch-api")],
        "tenants": [{"name": "north", "api_keys": ["key-1"]}],
    }


def engine(number: int, version: str) -> Backend:
    handler = stream_handler(EVENTS, EVENT_S, names_version=True)
    name = f"i-llm-{version}-{number}"
    return Backend(name, "rota-llm", ZONES[number % 3], handler, version)


def booking(version: str) -> Backend:
    handler = plain_handler(0.045)
    return Backend(f"i-booking-{version}", "dispatch-api", ZONES[0], handler, version)


def perform_next_write_late(deployment: Deployment, record: Record) -> None:
    """Let the next write of the record have no answer, and be performed `LATE_S` later.

    It has no condition, so that there is none that may not hold any more.
    """
    store, loop = deployment.store, asyncio.get_running_loop()
    put = store.put

    def put_late(table: str, key: str, value: bytes | None, part: str) -> None:
        put(table, key, value, part)
        record.note("the late write was performed", key=key, value=value)

    def put_or_lose(table: str, key: str, value: bytes | None, part: str = "") -> None:
        if (table, key) != (RECORD_TABLE, RECORD_KEY):
            put(table, key, value, part)
            return
        store.put = put
        loop.call_later(LATE_S, put_late, table, key, value, part)
        # The connection of this call is closed without an answer.
        store.mode = "lost"
        loop.call_soon(setattr, store, "mode", "ok")
        record.note("a write has no answer", key=key, value=value)

    store.put = put_or_lose


async def play(record: Record, has_trouble: bool) -> int:
    backends = [engine(n, "v1") for n in range(3)]
    backends.append(booking("v1"))
    async with Deployment(record, configuration(), backends) as deployment:
        await asyncio.sleep(4.0)
        if has_trouble:
            perform_next_write_late(deployment, record)
        newcomer = booking("v2")
        await newcomer.start()
        deployment.put_entry(newcomer)
        backends.append(newcomer)
        began_s = time.monotonic()
        record.note("a replica of dispatch-api has a newer version")

        async def until(at_s: float) -> None:
            await asyncio.sleep(max(0.0, began_s + at_s - time.monotonic()))

        await until(CANARY_AT_S)
        canaries = [engine(n, "v2") for n in range(2)]
        for canary in canaries:
            await canary.start()
            deployment.put_entry(canary)
            backends.append(canary)
        record.note("two replicas of v2 serve as well")
        await until(STREAMS_AT_S)
        clients = [
            StreamClient(deployment, record, n, DEADLINE_S) for n in range(STREAMS)
        ]
        runs = [asyncio.create_task(client.run()) for client in clients]
        await until(LEAVE_AT_S)
        for canary in canaries:
            deployment.remove_entry(canary)
        record.note("the entries of v2 are removed, its replicas serve on for a while")
        await until(KILL_AT_S)
        for name in deployment.node_names:
            await deployment.kill_node(name, "all nodes lose power")
        for canary in canaries:
            canary.crash()
        record.note("the replicas of v2 have exited")
        for name in deployment.node_names:
            await deployment.start_node(name)
        await deployment.wait_ready(*deployment.node_names)
        record.note("all nodes are back")
        await asyncio.wait(runs, timeout=DEADLINE_S)
        for run in runs:
            run.cancel()
    mixed = [c for c in clients if len(c.versions) > 1]
    for client in mixed:
        record.note("MIXED STREAM", client=client.number, versions=client.versions)
    began_at_v2 = [c for c in clients if c.versions[:1] == ["v2"]]
    complete = sum(c.is_complete for c in clients)
    return record.verdict(
        len(mixed) > MIXED_LIMIT,
        f"{len(mixed)} streams hold events of two versions; of {len(clients)},"
        f" {len(began_at_v2)} began at v2 and {complete} were completed",
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
