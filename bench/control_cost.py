"""Measures the cost of the control plane per node, with real daemons on loopback.

For each fleet size, a cluster is started and measured idle, then under light load. The
cost of an idle node is that of the control plane alone. The slope over the request rate
is the additional cost of a request, for relaying it and for the slot loans that it
needs. CPU time comes from ``/proc``, the other figures from each node's metrics page.

Example::

    PYTHONPATH=. python -m bench.control_cost --sizes 7 14 28 --write control.json
"""

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import msgspec

from bench.cluster import Cluster
from bench.driver import LoadDriver
from bench.process_cost import (
    Fit,
    fit_line,
    fit_plane,
    metric_values,
    process_cpu_s,
    process_rss_bytes,
)
from bench.processes import ProcessNotReady
from bench.schedule import (
    Load,
    plan_requests,
    read_deployment,
)

MAX_NODES = 28
# Another process can bind a chosen port before the daemon does.
START_ATTEMPTS = 4
DEPLOYMENT = Path("examples/laurentien")
REQUESTS_METRIC = "egretshed_requests_total"
SENT_FRAMES_METRIC = "egretshed_peer_sent_frames_total/"
SENT_BYTES_METRIC = "egretshed_peer_sent_bytes_total"
RECEIVED_BYTES_METRIC = "egretshed_peer_received_bytes_total"
FRAME_BYTES_METRIC = "egretshed_peer_sent_frame_bytes_total/"
LOAD_POLLS_METRIC = "egretshed_slots_load_polls_total"
PLATFORM_CALLS_METRIC = "egretshed_platform_calls_total/"


class NodeCost(NamedTuple):
    """Cost of one node over one interval.

    Rates are per second; `cpu` is in cores. `frames` and `frame_bytes` are by message
    type, `platform_calls` by operation. `fleet_rate` is the offered load of the whole
    fleet in requests/s, and `requests` the rate of requests that this node finished.
    """

    nodes: int
    fleet_rate: float
    requests: float
    cpu: float
    rss_bytes: int
    sent_bytes: float
    received_bytes: float
    frames: dict[str, float]
    frame_bytes: dict[str, float]
    platform_calls: dict[str, float]
    load_polls: float

    @property
    def total_frames(self) -> float:
        return sum(self.frames.values())

    @property
    def total_platform_calls(self) -> float:
        return sum(self.platform_calls.values())


async def start_cluster(
    nodes: int, options, folder: Path, cluster_type: type[Cluster] = Cluster
) -> Cluster:
    """Start a cluster, with new ports if a daemon does not start."""
    for attempt in range(START_ATTEMPTS):
        cluster = cluster_type(options.deployment, nodes, folder, options.seed)
        try:
            await cluster.start()
            return cluster
        except ProcessNotReady:
            if attempt + 1 == START_ATTEMPTS:
                raise


async def measure_size(nodes: int, options: argparse.Namespace) -> list[NodeCost]:
    """Return the cost of each node, idle and at each request rate."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = await start_cluster(nodes, options, Path(folder))
        try:
            await asyncio.sleep(options.settle_s)
            costs = await _measure_interval(cluster, 0.0, options)
            for rate in options.rates:
                costs += await _measure_interval(cluster, rate, options)
        finally:
            await cluster.stop()
    return costs


async def _measure_interval(cluster: Cluster, rate: float, options) -> list[NodeCost]:
    # Reads metrics outside the CPU interval, since rendering a page takes CPU time.
    pages_before = await cluster.metrics()
    cpu_before = _cpu_by_node(cluster)
    started_s = cluster.clock.monotonic_s()
    await _apply_load(cluster, rate, options)
    seconds = cluster.clock.monotonic_s() - started_s
    cpu_after = _cpu_by_node(cluster)
    pages_after = await cluster.metrics()
    return [
        _node_cost(
            cluster,
            name,
            rate,
            (cpu_after[name] - cpu_before[name]) / seconds,
            _rates(pages_before[name], pages_after[name], seconds),
        )
        for name in cluster.processes
    ]


async def _apply_load(cluster: Cluster, rate: float, options) -> None:
    if not rate:
        await asyncio.sleep(options.seconds)
        return
    deployment = read_deployment(options.deployment)
    driver = LoadDriver(cluster.clock, deployment, cluster.entry_addresses())
    load = Load(rate, options.seconds, seed=options.seed, run=f"rate-{rate}")
    await driver.run(plan_requests(deployment, load))


def _cpu_by_node(cluster: Cluster) -> dict[str, float]:
    return {
        name: process_cpu_s(process.process.pid)
        for name, process in cluster.processes.items()
    }


def _rates(before: str, after: str, seconds: float) -> Counter:
    increases = metric_values(after)
    increases.subtract(metric_values(before))
    return Counter({name: value / seconds for name, value in increases.items()})


def _node_cost(
    cluster: Cluster, name: str, rate: float, cpu: float, rates: Counter
) -> NodeCost:
    def by_label(prefix: str) -> dict[str, float]:
        return {
            key.removeprefix(prefix): value
            for key, value in rates.items()
            if key.startswith(prefix) and value
        }

    return NodeCost(
        nodes=len(cluster.processes),
        fleet_rate=rate,
        requests=sum(by_label(f"{REQUESTS_METRIC}/").values()),
        cpu=cpu,
        rss_bytes=process_rss_bytes(cluster.processes[name].process.pid),
        sent_bytes=rates[SENT_BYTES_METRIC],
        received_bytes=rates[RECEIVED_BYTES_METRIC],
        frames=by_label(SENT_FRAMES_METRIC),
        frame_bytes=by_label(FRAME_BYTES_METRIC),
        platform_calls=by_label(PLATFORM_CALLS_METRIC),
        load_polls=rates[LOAD_POLLS_METRIC],
    )


REPORTED_FIELDS = {
    "cpu": ("% of a core", 100.0),
    "rss_bytes": ("MB", 1e-6),
    "sent_bytes": ("bytes/s", 1.0),
    "received_bytes": ("bytes/s", 1.0),
    "total_frames": ("frames/s", 1.0),
    "total_platform_calls": ("calls/s", 1.0),
    "load_polls": ("polls/s", 1.0),
}


def print_report(costs: list[NodeCost]) -> None:
    print("per node and second, mean over all nodes")
    for nodes, rate in sorted({(c.nodes, c.fleet_rate) for c in costs}):
        group = [c for c in costs if (c.nodes, c.fleet_rate) == (nodes, rate)]
        print(f"{nodes} nodes, {rate:g} requests/s offered to the fleet:")
        print(f"  requests finished: {_mean(group, 'requests'):.3f}")
        for field, (unit, factor) in REPORTED_FIELDS.items():
            print(f"  {field}: {_mean(group, field) * factor:.2f} {unit}")
        for field in ("frames", "frame_bytes", "platform_calls"):
            print(f"  {field}: {_mean_by_label(group, field)}")
    idle = [c for c in costs if not c.fleet_rate]
    if len({c.nodes for c in idle}) > 1:
        print("idle, linear fit over the number of nodes:")
        for field, (unit, factor) in REPORTED_FIELDS.items():
            points = [(c.nodes, getattr(c, field) * factor) for c in idle]
            print(f"  {field}: {_format_fit(fit_line(points), unit, 'node')}")
        plane = fit_plane([(c.load_polls, c.nodes, c.cpu * 100) for c in idle])
        print(
            f"  cpu: {plane.intercept:.3f} % of a core + {plane.x_slope:.4f} per load "
            f"poll/s + {plane.y_slope:.4f} per node, "
            f"standard deviation of residuals {plane.residual_std:.3f}"
        )
    if any(c.fleet_rate for c in costs):
        points = [(c.requests, c.cpu * 100) for c in costs]
        print(
            "cpu over request rate: "
            f"{_format_fit(fit_line(points), '% of a core', 'request/s')}"
        )


def _mean(group: list[NodeCost], field: str) -> float:
    return sum(getattr(c, field) for c in group) / len(group)


def _mean_by_label(group: list[NodeCost], field: str) -> dict[str, float]:
    total: Counter = Counter()
    for cost in group:
        total.update(getattr(cost, field))
    return {name: round(value / len(group), 2) for name, value in total.most_common()}


def _format_fit(fit: Fit, unit: str, per: str) -> str:
    return (
        f"{fit.intercept:.4g} {unit} + {fit.slope:.4g} per {per}, "
        f"standard deviation of residuals {fit.residual_std:.3g}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, default=DEPLOYMENT)
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 14, 28])
    parser.add_argument("--rates", type=float, nargs="*", default=[5.0, 10.0])
    parser.add_argument("--settle-s", type=float, default=15.0)
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="length of an interval"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--write", type=Path)
    parser.add_argument(
        "--read", type=Path, help="only print the report of an earlier run"
    )
    options = parser.parse_args()
    if options.read:
        fields = msgspec.json.decode(options.read.read_bytes())
        print_report([NodeCost(**cost) for cost in fields])
        return
    if max(options.sizes) > MAX_NODES:
        parser.error(f"at most {MAX_NODES} nodes on one machine")
    costs = []
    for nodes in options.sizes:
        costs += asyncio.run(measure_size(nodes, options))
    print_report(costs)
    if options.write:
        body = [cost._asdict() for cost in costs]
        options.write.write_bytes(msgspec.json.encode(body))


if __name__ == "__main__":
    main()
