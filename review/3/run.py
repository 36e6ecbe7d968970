"""The operator takes the last tenants away; what happens to their keys?"""

import asyncio
import sys
import time
from pathlib import Path

from review.common.backends import (
    Backend,
    plain_handler,
)
from review.common.deployment import (
    ZONES,
    Deployment,
    Record,
    plain_service,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
TENANTS = [
    {"name": "north", "api_keys": ["key-1", "key-2"], "priority": 1},
    {"name": "south", "api_keys": ["key-3"], "priority": 1},
]
# `config_apply_ms` is 2,000; requests are sent well after that.
APPLY_S = 4.0


def configuration(version: int, tenants: list[dict]) -> dict:
    return {
        "version": version,
        "routes": [
            route("book", "non_idempotent", "dispatch-api"),
            route("read", "idempotent", "dispatch-api", max_attempts=2),
        ],
        "services": [plain_service("dispatch-api")],
        "tenants": tenants,
    }


async def play(record: Record, has_trouble: bool) -> int:
    handler = plain_handler(0.045)
    servers = [
        Backend(f"dispatch-{zone}", "dispatch-api", zone, handler) for zone in ZONES
    ]
    async with Deployment(record, configuration(1, TENANTS), servers) as deployment:
        await asyncio.sleep(1.0)
        await send_all(record, deployment, "before")
        if has_trouble:
            deployment.put_configuration(configuration(5, []))
        else:
            revoked = [{**t, "api_keys": []} for t in TENANTS]
            deployment.put_configuration(configuration(5, revoked))
        await asyncio.sleep(APPLY_S)
        changed_s = time.monotonic()
        await send_all(record, deployment, "after")
    ran = [a for s in servers for a in s.arrivals if a.at_s > changed_s]
    for arrival in ran:
        record.note(
            "ran without a valid key",
            server=arrival.server_id,
            request=arrival.request_id,
            target=arrival.target,
            tenant=arrival.headers.get("tenant"),
        )
    return record.verdict(
        bool(ran), f"{len(ran)} requests ran whose key no configuration in force holds"
    )


async def send_all(record: Record, deployment: Deployment, when: str) -> None:
    for name in deployment.node_names:
        caller = deployment.caller(name)
        for key in ("key-1", "key-3", "never-issued", None):
            answer = await caller.request("POST", "/book/1", b"seat 4", key=key)
            record.note(
                "answered",
                when=when,
                node=name,
                key=key,
                request=answer.request_id,
                status=answer.status,
            )
        caller.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
