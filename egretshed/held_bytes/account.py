"""Account of the bytes that a node holds for others, with a limit for each kind.

Each response, request and answer has a limit of its own; the account limits their sum.
When a kind exceeds its share, its largest holder is given up. So a few that send bytes
without end are ended before the many sound ones, and a service in trouble takes nothing
from callers' requests or from the calls between nodes, servers and store.

Load pattern: all servers of a service answer every request with bytes without end, as
fast as the link allows, while requests for other services go on.
"""

import os
from collections.abc import Callable
from enum import StrEnum

from egretshed.environment import Environment
from egretshed.logs import log_event

BYTES_PER_MB = 1024 * 1024


class HeldKind(StrEnum):
    """What bytes are held for."""

    # Responses that are kept until they are complete.
    RESPONSES = "responses"
    # Events of streams that are not complete or not forwarded yet.
    STREAMS = "streams"
    # Responses to the calls of this node: to stage servers, the store, for reports.
    CALLS = "calls"
    # Requests of callers, from their first byte until they are answered.
    REQUESTS = "requests"
    # Answers that callers have not taken yet.
    ANSWERS = "answers"


# Shares of the memory of a process. An idle one uses an eighth of 300 MB, and what is
# held takes up to twice its size while it is copied.
SHARES = {
    HeldKind.RESPONSES: 0.10,
    HeldKind.STREAMS: 0.08,
    HeldKind.CALLS: 0.06,
    HeldKind.REQUESTS: 0.08,
    HeldKind.ANSWERS: 0.06,
}


class HeldBytes:
    """Bytes of one response, request or answer.

    `give_up` ends the holder and is called at most once. None is for one that cannot be
    ended any more.
    """

    __slots__ = ("account", "kind", "size_bytes", "give_up")

    def __init__(
        self,
        account: "ByteAccount | None",
        kind: HeldKind,
        give_up: Callable[[], None] | None,
    ):
        self.account = account
        self.kind = kind
        self.size_bytes = 0
        self.give_up = give_up

    def add(self, size_bytes: int) -> None:
        """Count further bytes; the largest holder of the kind may be given up."""
        self.size_bytes += size_bytes
        if self.account is not None:
            self.account.note_added(self, size_bytes)

    def remove(self, size_bytes: int) -> None:
        """Count bytes as not held any more."""
        removed = min(size_bytes, self.size_bytes)
        self.size_bytes -= removed
        if self.account is not None:
            self.account.note_removed(self, removed)

    def close(self) -> None:
        """Count nothing any more; also if called again."""
        self.remove(self.size_bytes)
        self.account = None
        self.give_up = None


class ByteAccount:
    """Sum of the held bytes by kind.

    Example::

        held = account.open(HeldKind.RESPONSES, exchange.close)
        held.add(len(chunk))  # may close the exchange of another response
        held.close()
    """

    def __init__(self, env: Environment):
        self.env = env
        memory_bytes = usable_memory_mb(env.settings.node.memory_mb) * BYTES_PER_MB
        self.limits_bytes = {k: int(memory_bytes * s) for k, s in SHARES.items()}
        self.sizes_bytes = dict.fromkeys(HeldKind, 0)
        self._holders: dict[HeldKind, set[HeldBytes]] = {k: set() for k in HeldKind}
        gauge = env.metrics.gauge(
            "held_bytes", "Bytes held for callers and servers", ("kind",)
        )
        self._gauges = {kind: gauge.labels(kind.value) for kind in HeldKind}
        limit = env.metrics.gauge(
            "held_bytes_limit", "Limits on the held bytes", ("kind",)
        )
        for kind, limit_bytes in self.limits_bytes.items():
            limit.labels(kind.value).set(limit_bytes)

    def open(
        self, kind: HeldKind, give_up: Callable[[], None] | None = None
    ) -> HeldBytes:
        """Return a new holder without bytes."""
        return HeldBytes(self, kind, give_up)

    def note_added(self, held: HeldBytes, size_bytes: int) -> None:
        kind = held.kind
        self._holders[kind].add(held)
        self.sizes_bytes[kind] += size_bytes
        self._gauges[kind].set(self.sizes_bytes[kind])
        while self.sizes_bytes[kind] > self.limits_bytes[kind]:
            if not self._give_up_largest(kind):
                return

    def note_removed(self, held: HeldBytes, size_bytes: int) -> None:
        self.sizes_bytes[held.kind] -= size_bytes
        self._gauges[held.kind].set(self.sizes_bytes[held.kind])
        if not held.size_bytes:
            self._holders[held.kind].discard(held)

    def holder_count(self) -> int:
        """Return how many holders have bytes now."""
        return sum(len(holders) for holders in self._holders.values())

    def _give_up_largest(self, kind: HeldKind) -> bool:
        """Give up the largest holder of a kind; return False if none can be."""
        holders = (h for h in self._holders[kind] if h.give_up is not None)
        largest = max(holders, key=lambda h: h.size_bytes, default=None)
        if largest is None:
            return False
        log_event(
            self.env.logger,
            "held_bytes_given_up",
            kind=kind.value,
            size_bytes=largest.size_bytes,
            held_bytes=self.sizes_bytes[kind],
            limit_bytes=self.limits_bytes[kind],
            holders=len(self._holders[kind]),
        )
        self.env.metrics.counter(
            "held_bytes_given_up_total",
            "Holders that were given up since their kind held too many bytes",
            ("kind",),
        ).labels(kind.value).inc()
        give_up = largest.give_up
        largest.close()
        give_up()
        return True


def usable_memory_mb(memory_mb: float) -> float:
    """Return the limit of the settings, or the memory of the VM if that is less."""
    vm_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return min(memory_mb, vm_bytes / BYTES_PER_MB)
