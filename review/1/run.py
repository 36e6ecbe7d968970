"""A version is tried and withdrawn, the store is restored, and all nodes restart.

The nodes keep a record in the store of the versions that services have had, for streams
that are taken up after all nodes have restarted. The drill puts an older record back.
"""

import asyncio
import sys
import time
from pathlib import Path

from review.common.backends import (
    Backend,
    stream_handler,
)
from review.common.deployment import (
    ZONES,
    Deployment,
    Record,
    engine_service,
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
# Seconds after the copy.
CANARY_AT_S = 0.3
STREAMS_AT_S = 1.6
LEAVE_AT_S = 2.0
DRILL_AT_S = 3.0
AWAY_S = 1.0
KILL_AFTER_S = 0.8
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
        "services": [engine_service("rota-llm")],
        "tenants": [{"name": "north", "api_keys": ["key-1"]}],
    }


def engine(number: int, version: str) -> Backend:
    handler = stream_handler(EVENTS, EVENT_S, names_version=True)
    name = f"i-llm-{version}-{number}"
    return Backend(name, "rota-llm", ZONES[number % 3], handler, version)


async def play(record: Record, has_trouble: bool) -> int:
    backends = [engine(n, "v1") for n in range(3)]
    async with Deployment(record, configuration(), backends) as deployment:
        await asyncio.sleep(4.0)
        store = deployment.store
        copy = store.copy()
        copied_s = time.monotonic()
        record.note("copy of the store made")

        async def until(at_s: float) -> None:
            await asyncio.sleep(max(0.0, copied_s + at_s - time.monotonic()))

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
        await until(DRILL_AT_S)
        if has_trouble:
            store.mode = "busy"
            record.note("drill: the store is away")
            await asyncio.sleep(AWAY_S)
            store.restore(copy)
            store.mode = "ok"
            record.note("drill: the store is back", era=store.era)
        await asyncio.sleep(KILL_AFTER_S)
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
