"""What this node knows of one incarnation of a backend server, each with its age.

A server that was listed anew under the same id with another start time, or at another
address, is another incarnation: nothing known of the earlier one holds for it.
"""

import math
from dataclasses import (
    dataclass,
    field,
)

from egretshed.servers.records import (
    ListedServer,
    ServerPhase,
)

# After a failed connection the server is left out this long, doubling up to the limit.
BACKOFF_MIN_S = 0.4
BACKOFF_MAX_S = 4.0
# Share of the newest observation in the moving averages of latency and failures.
OBSERVATION_SHARE = 0.2
# Time constant with which earlier observations lose their weight.
OBSERVATION_MEMORY_S = 4.0
LATENCY_UNKNOWN_S = 0.0


@dataclass
class ServerState:
    """One incarnation of a backend server."""

    listed: ListedServer
    cold_until_s: float = 0.0
    is_gone: bool = False
    lapsed_since_s: float | None = None
    backoff_until_s: float = 0.0
    failures_in_row: int = 0
    failure_share: float = 0.0
    latency_s: float = LATENCY_UNKNOWN_S
    observed_at_s: float = 0.0
    running: int = 0
    outstanding_prompt_s: float = 0.0
    reported_load: tuple[int, int, int] | None = None
    reported_at_s: float = 0.0
    cold_sends_s: list[float] = field(default_factory=list)

    @property
    def server_id(self) -> str:
        return self.listed.server_id

    @property
    def address(self) -> str:
        return str(self.listed.address)

    @property
    def failure_domain(self) -> str:
        return self.listed.failure_domain

    def is_cold(self, now_s: float) -> bool:
        return now_s < self.cold_until_s

    def may_get_work(self, now_s: float) -> bool:
        """Return whether new work may be sent, its coldness aside."""
        return (
            not self.is_gone
            and self.listed.phase is ServerPhase.READY
            and now_s >= self.backoff_until_s
        )

    def record_connection_failure(self, now_s: float) -> None:
        """Leave the server out for a while, longer with each failure in a row."""
        self.failures_in_row += 1
        pause_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** (self.failures_in_row - 1))
        self.backoff_until_s = now_s + pause_s

    def record_response(
        self, succeeded: bool, now_s: float, latency_s: float | None = None
    ) -> None:
        """Record an answer: its failure share and, if given, its latency.

        What was observed long ago counts less beside the new observation.
        """
        trust = math.exp(-(now_s - self.observed_at_s) / OBSERVATION_MEMORY_S)
        share = 1 - (1 - OBSERVATION_SHARE) * trust
        self.observed_at_s = now_s
        self.failures_in_row = 0
        observed = 0.0 if succeeded else 1.0
        self.failure_share += share * (observed - self.failure_share)
        if latency_s is None:
            return
        if self.latency_s == LATENCY_UNKNOWN_S:
            self.latency_s = latency_s
        else:
            self.latency_s += share * (latency_s - self.latency_s)

    def record_load(self, load: tuple[int, int, int], now_s: float) -> None:
        """Record the running and waiting requests and slots that were reported."""
        self.reported_load = load
        self.reported_at_s = now_s
