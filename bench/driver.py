"""Open-loop load generator over HTTP: arrivals do not wait for responses.

`python -m bench.driver --deployment examples/laurentien --entry 127.0.0.1:8080
--rate 5 --seconds 30 --burst 10:40 --seed 1 --write result.json` prints a summary and
writes it, with the record of every request, to `result.json`.
"""

import argparse
import asyncio
from pathlib import Path

import msgspec

from bench.addresses import AddressCache
from bench.caller import Caller
from bench.http_stream import (
    Address,
    parse_url,
)
from bench.records import (
    RequestRecord,
    summarise,
)
from bench.schedule import (
    Burst,
    Deployment,
    Load,
    PlannedRequest,
    plan_requests,
    read_deployment,
)
from egretshed.clock import (
    Clock,
    SystemClock,
)


class LoadDriver:
    """Sends planned requests at their scheduled times.

    Each customer is one caller with an address cache of its own, which starts from
    `bootstrap_addresses`.
    """

    def __init__(
        self, clock: Clock, deployment: Deployment, bootstrap_addresses: list[Address]
    ):
        self.clock = clock
        self.deployment = deployment
        self.callers = {
            name: Caller(clock, AddressCache(clock, bootstrap_addresses, name), key)
            for name, key in deployment.customer_keys.items()
        }
        self._stopped = False

    def stop(self) -> None:
        """Send no more requests; those in progress run to their final response."""
        self._stopped = True

    async def run(self, plan: list[PlannedRequest]) -> list[RequestRecord]:
        """Return one record per request, in plan order, once all requests have ended.

        Requests that are due after `stop` are not sent and have no record.
        """
        start_s = self.clock.monotonic_s()
        tasks = []
        for planned in plan:
            wait_s = start_s + planned.at_s - self.clock.monotonic_s()
            if wait_s > 0:
                await self.clock.sleep(wait_s)
            if self._stopped:
                break
            tasks.append(asyncio.create_task(self._run_one(planned, start_s)))
        return list(await asyncio.gather(*tasks))

    async def _run_one(self, planned: PlannedRequest, start_s: float) -> RequestRecord:
        caller = self.callers[planned.customer_id]
        profile = self.deployment.kinds[planned.kind]
        return await caller.run(planned, profile, start_s)


def parse_burst(text: str) -> Burst:
    at_s, _, requests = text.partition(":")
    return Burst(float(at_s), int(requests))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, required=True)
    parser.add_argument(
        "--entry", type=parse_url, action="append", required=True, help="host:port"
    )
    parser.add_argument("--rate", type=float, default=5.0, help="requests per second")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--burst", type=parse_burst, action="append", default=[], help="at_s:requests"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--run", default="run", help="prefix of the request ids")
    parser.add_argument("--write", type=Path)
    options = parser.parse_args()
    load = Load(
        options.rate,
        options.seconds,
        tuple(options.burst),
        options.seed,
        options.run,
    )
    deployment = read_deployment(options.deployment)
    driver = LoadDriver(SystemClock(), deployment, options.entry)
    records = asyncio.run(driver.run(plan_requests(deployment, load)))
    summary = summarise(records)
    print(msgspec.json.format(msgspec.json.encode(summary), indent=2).decode())
    if options.write:
        body = {"summary": summary, "requests": [r.to_body() for r in records]}
        options.write.write_bytes(msgspec.json.encode(body))


if __name__ == "__main__":
    main()
