"""CPU, memory and peer traffic of the nodes, read from ``/proc`` and their metrics.

CPU time is the user and system time of the daemon process from ``/proc/<pid>/stat``,
memory is its peak resident set size from ``/proc/<pid>/status``. Peer traffic is the
sum of `egretshed_peer_sent_bytes_total` and `egretshed_peer_received_bytes_total`.
"""

import os
from pathlib import Path
from typing import NamedTuple

from bench.check import metric_samples
from bench.cluster import Cluster
from egretshed.clock import Clock

KIB_PER_MIB = 1024
# Indices into the fields after the command name in /proc/<pid>/stat; counted from the
# start of the line and from 1, user time is field 14.
USER_TIME_INDEX = 11
SYSTEM_TIME_INDEX = 12
PEER_BYTES_METRICS = (
    "egretshed_peer_sent_bytes_total",
    "egretshed_peer_received_bytes_total",
)


class Sample(NamedTuple):
    """Resource counters of the running nodes at one time, by node id."""

    at_s: float
    cpu_s: dict[str, float]
    peer_bytes: dict[str, float]
    memory_mb: dict[str, float]


class ControlCost(NamedTuple):
    """Maximum over the nodes of the share of a core, peer traffic and memory."""

    cpu_share: float
    bytes_per_s: float
    memory_mb: float


async def take_sample(clock: Clock, cluster: Cluster) -> Sample:
    texts = await cluster.metrics()
    pids = {n: p.process.pid for n, p in cluster.processes.items()}
    return Sample(
        clock.monotonic_s(),
        {name: cpu_s(pid) for name, pid in pids.items()},
        {name: _peer_bytes(text) for name, text in texts.items()},
        {name: peak_memory_mb(pid) for name, pid in pids.items()},
    )


def cost_between(before: Sample, after: Sample) -> ControlCost:
    """Return the cost of the nodes that are in both samples."""
    seconds = after.at_s - before.at_s
    names = before.cpu_s.keys() & after.cpu_s.keys()
    return ControlCost(
        _rounded_max((after.cpu_s[n] - before.cpu_s[n]) / seconds for n in names),
        _rounded_max(
            (after.peer_bytes[n] - before.peer_bytes[n]) / seconds for n in names
        ),
        _rounded_max(after.memory_mb[n] for n in names),
    )


def _rounded_max(values) -> float:
    return round(max(values, default=0.0), 4)


def cpu_s(pid: int) -> float:
    """Return the user and system time of the process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_INDEX]) + int(fields[SYSTEM_TIME_INDEX])
    return ticks / os.sysconf("SC_CLK_TCK")


def peak_memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KIB_PER_MIB
    return 0.0


def _peer_bytes(text: str) -> float:
    return sum(
        sample.value
        for name in PEER_BYTES_METRICS
        for sample in metric_samples(text, name)
    )
