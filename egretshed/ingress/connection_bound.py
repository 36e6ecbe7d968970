"""How many connections a door keeps open, and which one is closed for a new one.

Load pattern: clients open connections until the process has no descriptor left, and
send nothing, or stop half-way through a request.
"""

import resource
from collections.abc import Iterable
from enum import IntEnum
from typing import (
    Any,
    NamedTuple,
)

from egretshed.held_bytes.account import (
    BYTES_PER_MB,
    usable_memory_mb,
)
from egretshed.settings.schema import NodeSettings

# Memory of an open connection, and the share of a process that all may take.
CONNECTION_COST_BYTES = 16 * 1024
CONNECTION_MEMORY_SHARE = 0.12
# A door keeps this many in any case.
MIN_CONNECTIONS = 16
# Shares of the descriptors by door. The rest is for servers, peers, the store, the
# listeners and files.
SHARES = {
    "callers": 0.5,
    "directory": 0.08,
    "readiness": 0.03,
    "metrics": 0.03,
    "peers": 0.04,
}


class OpenPhase(IntEnum):
    """What a connection waits for; the first ones are closed first."""

    CLOSING = 0
    IDLE = 1
    HEAD = 2
    BODY = 3
    RUNNING = 4


class OpenConnection(NamedTuple):
    """Phase of a connection, and when it made progress last."""

    phase: OpenPhase
    since_s: float
    key: Any


def order_to_close(
    connections: Iterable[OpenConnection], may_end_running: bool = False
) -> list[OpenConnection]:
    """Return the connections that may be closed for a new one, the first one first.

    One whose request is being run is closed only with `may_end_running`::

        order_to_close([OpenConnection(OpenPhase.IDLE, 3.0, a), ...])
    """
    closable = (
        c for c in connections if may_end_running or c.phase is not OpenPhase.RUNNING
    )
    return sorted(closable, key=lambda c: (c.phase, c.since_s))


def may_hold_request(phase: OpenPhase) -> bool:
    """Return whether bytes that have arrived may be a whole request."""
    return phase in (OpenPhase.IDLE, OpenPhase.RUNNING)


def usable_descriptors(max_descriptors: int) -> int:
    """Return the limit of the settings, or that of the process if it is less."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [n for n in (max_descriptors, soft) if n > 0]
    return min(limits, default=max_descriptors)


def connection_limit(door: str, node: NodeSettings) -> int:
    """Return how many connections a door keeps open at most."""
    memory_bytes = usable_memory_mb(node.memory_mb) * BYTES_PER_MB
    by_memory = memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_COST_BYTES
    by_descriptors = usable_descriptors(node.max_descriptors)
    share = SHARES[door]
    return max(
        MIN_CONNECTIONS, int(min(by_descriptors, by_memory / SHARES["callers"]) * share)
    )
