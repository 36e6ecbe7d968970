"""Measures the CPU time of one daemon per request and per streamed token.

Callers stream requests of four stages through one node, several at a time. The CPU time
per request, less that of the idle node, is fitted linearly over the number of tokens:
the intercept is the cost of a request, the slope that of a token. The measurement is
repeated for several values of `streams.coalesce_s`.

Example::

    PYTHONPATH=. python -m bench.relay_cost --coalesce-s 0.000001 0.005 --streams 1 8
"""

import argparse
import asyncio
import itertools
import tempfile
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from bench.cluster import (
    Cluster,
    address_of,
)
from bench.control_cost import start_cluster
from bench.http_stream import exchange
from bench.process_cost import (
    fit_line,
    process_cpu_s,
)
from bench.schedule import read_deployment
from bench.sse import SseParser

DEPLOYMENT = Path("examples/laurentien")
KIND = "rota_rebuild"
REQUEST_TIMEOUT_S = 30.0
WARM_UP_S = 8.0
PROMPT = "record " * 40


class RelayCluster(Cluster):
    """A cluster whose nodes have the `streams.coalesce_s` set on this class."""

    coalesce_s = 0.005

    def _settings(self, vm) -> dict[str, Any]:
        return {**super()._settings(vm), "streams": {"coalesce_s": self.coalesce_s}}


class RelayCost(NamedTuple):
    """Requests and CPU time of the node in one interval.

    `cpu_s` is in seconds and less that of an idle node. `tokens` and `events` are those
    that the callers received. `failed` counts requests that did not complete.
    """

    coalesce_s: float
    streams: int
    requested_tokens: int
    requests: int
    failed: int
    tokens: int
    events: int
    cpu_s: float


class StreamingLoad:
    """Sends streaming requests one after another, and counts what it receives.

    Run `run_until` several times concurrently for several streams.
    """

    def __init__(self, cluster: Cluster, requested_tokens: int, run: str):
        self.cluster = cluster
        self.requested_tokens = requested_tokens
        self.run = run
        keys = read_deployment(cluster.deployment).customer_keys
        self.key = next(iter(keys.values()))
        self.request_numbers = itertools.count()
        self.requests = self.failed = self.tokens = self.events = 0

    async def run_until(self, end_s: float) -> None:
        while self.cluster.clock.monotonic_s() < end_s:
            await self.send_request()

    async def send_request(self) -> None:
        parser = SseParser()
        complete = False

        def on_events(chunk: bytes) -> None:
            nonlocal complete
            for event in parser.feed(chunk):
                self.events += 1
                self.tokens += len(event.data.get("tokens", ()))
                complete |= event.data.get("outcome") == "complete"

        body = {
            "request_id": f"{self.run}-{next(self.request_numbers)}",
            "kind": KIND,
            "body": {"prompt": PROMPT, "max_tokens": self.requested_tokens},
            "stream": True,
        }
        await exchange(
            self.cluster.clock,
            address_of(self.cluster.vms[0]),
            "POST",
            "/v1/requests",
            {"Authorization": f"Bearer {self.key}"},
            msgspec.json.encode(body),
            REQUEST_TIMEOUT_S,
            on_events=on_events,
        )
        self.requests += complete
        self.failed += not complete


async def measure(coalesce_s: float, options) -> list[RelayCost]:
    RelayCluster.coalesce_s = coalesce_s
    with tempfile.TemporaryDirectory() as folder:
        cluster = await start_cluster(1, options, Path(folder), RelayCluster)
        try:
            await asyncio.sleep(WARM_UP_S)
            await run_load(cluster, max(options.streams), 16, "warm", options.seconds)
            idle_cpu = await measure_idle_cpu(cluster, options.seconds)
            return [
                await measure_interval(
                    cluster, streams, tokens, options.seconds, idle_cpu
                )
                for streams in options.streams
                for tokens in options.tokens
            ]
        finally:
            await cluster.stop()


def node_cpu_s(cluster: Cluster) -> float:
    (node,) = cluster.processes.values()
    return process_cpu_s(node.process.pid)


async def measure_idle_cpu(cluster: Cluster, seconds: float) -> float:
    """Return the CPU use of the idle node, in cores."""
    before_s = node_cpu_s(cluster)
    await asyncio.sleep(seconds)
    return (node_cpu_s(cluster) - before_s) / seconds


async def measure_interval(
    cluster, streams: int, tokens: int, seconds: float, idle_cpu: float
) -> RelayCost:
    before_s = node_cpu_s(cluster)
    started_s = cluster.clock.monotonic_s()
    run = f"run-{streams}-{tokens}"
    load = await run_load(cluster, streams, tokens, run, seconds)
    elapsed_s = cluster.clock.monotonic_s() - started_s
    return RelayCost(
        cluster.coalesce_s,
        streams,
        tokens,
        load.requests,
        load.failed,
        load.tokens,
        load.events,
        node_cpu_s(cluster) - before_s - idle_cpu * elapsed_s,
    )


async def run_load(cluster, streams: int, tokens: int, run: str, seconds: float):
    load = StreamingLoad(cluster, tokens, run)
    end_s = cluster.clock.monotonic_s() + seconds
    await asyncio.gather(*(load.run_until(end_s) for _ in range(streams)))
    return load


def print_report(costs: list[RelayCost]) -> None:
    print("coalesce  streams  tokens  requests   failed  tokens/event  ms/request")
    for c in costs:
        print(
            f"{c.coalesce_s:8g}  {c.streams:7d}  {c.requested_tokens:6d}  "
            f"{c.requests:8d}  {c.failed:7d}  {c.tokens / max(1, c.events):12.2f}  "
            f"{1000 * c.cpu_s / max(1, c.requests):10.2f}"
        )
    for coalesce_s, streams in sorted({(c.coalesce_s, c.streams) for c in costs}):
        points = [
            (c.tokens / c.requests, 1000 * c.cpu_s / c.requests)
            for c in costs
            if (c.coalesce_s, c.streams) == (coalesce_s, streams) and c.requests
        ]
        if len(points) > 1:
            fit = fit_line(points)
            print(
                f"coalesce {coalesce_s:g} s, {streams} streams: "
                f"{fit.intercept:.2f} ms per request + "
                f"{1000 * fit.slope:.1f} us per token, "
                f"standard deviation of residuals {fit.residual_std:.2f} ms"
            )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, default=DEPLOYMENT)
    parser.add_argument(
        "--coalesce-s", type=float, nargs="+", default=[0.000001, 0.005]
    )
    parser.add_argument("--streams", type=int, nargs="+", default=[1, 8])
    parser.add_argument("--tokens", type=int, nargs="+", default=[8, 64, 192])
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="length of an interval"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    costs = []
    for coalesce_s in options.coalesce_s:
        costs += asyncio.run(measure(coalesce_s, options))
    print_report(costs)


if __name__ == "__main__":
    main()
