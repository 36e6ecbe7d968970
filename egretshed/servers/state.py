"""State of one incarnation of a backend server as this node observes it.

A server that is listed under the same id with another start time or address is a new
incarnation, which inherits no state.
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
from egretshed.servers.signals import (
    LoadReport,
    RateLimit,
)
from egretshed.servers.slowness import (
    MachineSlowness,
    expected_slowness,
    limited,
)

# Exponential backoff after failed connections, during which the server gets no work.
BACKOFF_MIN_S = 0.4
BACKOFF_MAX_S = 4.0
# Enough to reach the maximum; the power of a longer series of failures overflows.
MAX_DOUBLINGS = 10
# Minimum weight of the newest observation in the averages of latency and failures.
MIN_OBSERVATION_WEIGHT = 0.2
# Time constant of the decay of earlier observations.
OBSERVATION_DECAY_S = 4.0
LATENCY_UNKNOWN_S = 0.0


@dataclass
class ServerState:
    """One incarnation of a backend server.

    `reported_load` is the load that the server last told, at `reported_at_s`, and
    `mean_slowness` the average of the slowness that it tells. `latency_slowness` is
    that over the responses of which `latency_s` is the average latency.
    `limit_told_s` is the time of the last notice about `rate_limit` between nodes,
    `last_sent_s` that of the last request of this node. The server wants no request of
    this node until `paused_until_s`; after that it is on trial, and gets one at a time
    until it takes one. Times are monotonic seconds of this node.
    """

    listed: ListedServer
    cold_until_s: float = 0.0
    is_gone: bool = False
    lapsed_since_s: float | None = None
    backoff_until_s: float = 0.0
    consecutive_failures: int = 0
    failure_share: float = 0.0
    latency_s: float = LATENCY_UNKNOWN_S
    latency_slowness: float = 1.0
    observed_at_s: float = 0.0
    running: int = 0
    outstanding_prompt_s: float = 0.0
    reported_load: LoadReport | None = None
    reported_at_s: float = 0.0
    mean_slowness: float = 1.0
    cold_sent_times_s: list[float] = field(default_factory=list)
    rate_limit: RateLimit | None = None
    limit_told_s: float = -math.inf
    last_sent_s: float = -math.inf
    paused_until_s: float = 0.0
    is_on_trial: bool = False

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

    def accepts_new_work(self, now_s: float) -> bool:
        """Return whether new work may be sent, apart from the limit if it is cold."""
        return (
            not self.is_gone
            and self.listed.phase is ServerPhase.READY
            and now_s >= self.backoff_until_s
            and not self.is_paused(now_s)
        )

    def is_paused(self, now_s: float) -> bool:
        return now_s < self.paused_until_s

    def pause(self, until_s: float) -> None:
        self.paused_until_s = max(self.paused_until_s, until_s)
        self.is_on_trial = True

    def record_connection_failure(self, now_s: float) -> None:
        """Start a backoff, which doubles with each consecutive failure."""
        doublings = min(self.consecutive_failures, MAX_DOUBLINGS)
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**doublings)
        self.consecutive_failures += 1
        self.backoff_until_s = now_s + backoff_s

    def record_response(
        self, succeeded: bool, now_s: float, latency_s: float | None = None
    ) -> None:
        """Update the failure share and, if given, the latency from a response.

        The weight of the earlier average decays with the time since its last update.
        """
        decay = math.exp(-(now_s - self.observed_at_s) / OBSERVATION_DECAY_S)
        weight = 1 - (1 - MIN_OBSERVATION_WEIGHT) * decay
        self.observed_at_s = now_s
        self.consecutive_failures = 0
        failure = 0.0 if succeeded else 1.0
        self.failure_share += weight * (failure - self.failure_share)
        if latency_s is None:
            return
        if self.latency_s == LATENCY_UNKNOWN_S:
            weight = 1.0
        self.latency_s += weight * (latency_s - self.latency_s)
        newest = self.machine(now_s).newest
        self.latency_slowness += weight * (newest - self.latency_slowness)

    def record_load(self, load: LoadReport, now_s: float) -> None:
        """Record a report that was made at `now_s`, unless a later one is known."""
        if self.reported_load is not None and now_s < self.reported_at_s:
            return
        decay = math.exp(-(now_s - self.reported_at_s) / OBSERVATION_DECAY_S)
        weight = 1 - (1 - MIN_OBSERVATION_WEIGHT) * decay
        if self.reported_load is None:
            weight = 1.0
        self.mean_slowness += weight * (limited(load.slowness) - self.mean_slowness)
        self.reported_load = load
        self.reported_at_s = now_s

    def machine(self, now_s: float) -> MachineSlowness:
        """Return what the server's reports tell about the speed of its machine."""
        if self.reported_load is None:
            return MachineSlowness()
        age_s = max(0.0, now_s - self.reported_at_s)
        newest = limited(self.reported_load.slowness)
        return MachineSlowness(self.mean_slowness, newest, age_s)

    def slowness(self, now_s: float) -> float:
        """Return how long work on the server's machine takes now, 1.0 as usual."""
        return expected_slowness(self.machine(now_s))
