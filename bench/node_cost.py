"""What the nodes themselves cost, read from the system and their metrics.

CPU is user and system time of the daemon's process from ``/proc/<pid>/stat``, and
memory its highest resident set from ``/proc/<pid>/status``. Bytes between nodes are
`egretshed_peer_sent_bytes_total` and `egretshed_peer_received_bytes_total` added up.
"""

import os
from pathlib import Path
from typing import NamedTuple

from bench.check import samples
from bench.cluster import Cluster
from egretshed.clock import Clock

KILOBYTES_PER_MB = 1024
# Fields after the command name in /proc/<pid>/stat; user time is field 14 of all.
USER_TIME = 11
SYSTEM_TIME = 12
PEER_BYTES = ("egretshed_peer_sent_bytes_total", "egretshed_peer_received_bytes_total")


class Sample(NamedTuple):
    """State of the running nodes at one moment, by node id."""

    at_s: float
    cpu_s: dict[str, float]
    peer_bytes: dict[str, float]
    memory_mb: dict[str, float]


class ControlCost(NamedTuple):
    """Per node, highest over the nodes: share of a core, bytes/s and memory."""

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
    """Return the cost of the nodes that ran at both moments."""
    seconds = after.at_s - before.at_s
    names = before.cpu_s.keys() & after.cpu_s.keys()
    return ControlCost(
        _highest((after.cpu_s[n] - before.cpu_s[n]) / seconds for n in names),
        _highest((after.peer_bytes[n] - before.peer_bytes[n]) / seconds for n in names),
        _highest(after.memory_mb[n] for n in names),
    )


def _highest(values) -> float:
    return round(max(values, default=0.0), 4)


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that the process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME]) + int(fields[SYSTEM_TIME])
    return ticks / os.sysconf("SC_CLK_TCK")


def peak_memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KILOBYTES_PER_MB
    return 0.0


def _peer_bytes(text: str) -> float:
    return sum(sample.value for name in PEER_BYTES for sample in samples(text, name))
