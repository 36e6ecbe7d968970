"""A drill restores the store from a copy that still lists a replica that has left.

The replica's entry was removed, which all nodes followed; it goes on serving for a
while, as leaving replicas do. Then the store is away and comes back from a copy in
which the entry stands as ready, until it is removed again.
"""

import asyncio
import itertools
import sys
import time
from pathlib import Path

from review.common.backends import (
    Arrival,
    Backend,
    stream_handler,
)
from review.common.deployment import (
    BOUNDS,
    Deployment,
    Record,
    engine_service,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000
# The mean time until a replica writes, once each `heartbeat_ms` of 1,200.
WRITTEN_AGAIN_S = 0.6
# Nodes count the store as recovering for a while after their start.
SETTLED_S = 4.0
# From the copy to the removal of the entry, and from there to the drill.
COPY_AGE_S = 1.0
LEFT_BEFORE_DRILL_S = 1.0
AWAY_S = 2.0
# The bound is counted from the store's confirmation, plus this for the node's feed.
FEED_S = 0.5
# "a little longer (at times many seconds)"
LINGER_S = 2.2
# Streams like `route-ask` of the site: 25 events.
EVENTS = 25
EVENT_S = 0.04
CALLERS = 28
CALL_PERIOD_S = 0.2


def configuration() -> dict:
    ask = route(
        "ask",
        "streaming",
        "rota-llm",
        timeout_ms=10000,
        target_latency_ms=1700,
        target_itl_ms=600,
        priority=2,
        sticky=True,
    )
    return {
        "version": 3,
        "routes": [ask],
        "services": [engine_service("rota-llm")],
        "tenants": [{"name": "north", "api_keys": ["key-1"]}],
    }


async def play(record: Record, has_trouble: bool) -> int:
    zones = ("qc-east-a", "qc-east-b", "qc-east-c")
    backends = [
        Backend(f"i-llm-{n}", "rota-llm", zones[n], stream_handler(EVENTS, EVENT_S))
        for n in range(3)
    ]
    leaving = backends[0]
    sent_s: dict[str, float] = {}
    late: list[Arrival] = []
    left_s = float("inf")

    def note_run(arrival: Arrival) -> None:
        bound_s = left_s + FEED_S + DRAIN_S
        is_late = sent_s.get(arrival.request_id, 0.0) > bound_s
        if arrival.at_s > left_s:
            record.note(
                "the replica that left began to run",
                id=arrival.request_id,
                since_it_left_s=round(arrival.at_s - left_s, 3),
                is_late=is_late,
            )
        if is_late:
            late.append(arrival)

    leaving.on_run.append(note_run)
    async with Deployment(record, configuration(), backends) as deployment:
        failed: dict[str, int] = {}

        async def ask(number: int) -> None:
            names = deployment.node_names
            caller = deployment.caller(names[number % len(names)])
            caller.on_sent = lambda i: sent_s.__setitem__(i, time.monotonic())
            for count in itertools.count():
                answer = await caller.request(
                    "POST",
                    "/ask/x",
                    b"prompt",
                    deadline_ms=10000,
                    Model="m",
                    Token_Usage="1460,175",
                    Prefix_Hash=f"a{number:02x}{count:04x}:350,b{number:02x}{count:04x}:1110",
                )
                if answer.status != 200:
                    failed[answer.request_id] = answer.status
                    record.note(
                        "stream without its end or refused",
                        id=answer.request_id,
                        status=answer.status,
                    )
                await asyncio.sleep(CALL_PERIOD_S)

        asks = [asyncio.create_task(ask(n)) for n in range(CALLERS)]
        await asyncio.sleep(SETTLED_S)
        copy = deployment.store.copy()
        record.note("copy of the store made", version=copy.version)
        await asyncio.sleep(COPY_AGE_S)
        deployment.remove_entry(leaving)
        left_s = time.monotonic()
        record.note("entry removed, confirmed by the store", replica=leaving.server_id)
        await asyncio.sleep(LEFT_BEFORE_DRILL_S)
        if has_trouble:
            deployment.store.mode = "busy"
            record.note("drill: the store is away")
            await asyncio.sleep(AWAY_S)
            deployment.store.restore(copy)
            deployment.store.mode = "ok"
            record.note("drill: the store is back", era=deployment.store.era)
            await asyncio.sleep(WRITTEN_AGAIN_S)
            deployment.remove_entry(leaving)
            record.note("entry removed again", replica=leaving.server_id)
        await asyncio.sleep(max(0.0, left_s + DRAIN_S + LINGER_S - time.monotonic()))
        leaving.crash()
        record.note("the replica that left has exited", replica=leaving.server_id)
        await asyncio.sleep(1.5)
        for task in asks:
            task.cancel()
    lost = [a for a in late if a.request_id in failed]
    return record.verdict(
        bool(late),
        f"{len(late)} requests reached a replica over {DRAIN_S} s after it had left;"
        f" {len(lost)} of these streams were cut; {len(sent_s)} were sent",
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
