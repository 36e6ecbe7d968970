"""Chooses a replica for one request to a service that is not a model engine.

Load pattern: a few replicas of different speed, one of which becomes slow or fails some
of its requests while it reports itself healthy. The replica with the least expected
time to a successful response is chosen. Observations lose weight with age, so that a
replica that has recovered gets requests again.

Many nodes may read the same report at the same moment, and would all move to the
replica whose machine is the fastest now. Where the reports differ, each replica gets a
share of the requests by its expected time.
"""

import math
import random
import statistics
from collections.abc import Iterable
from typing import NamedTuple

# Time constant with which observations of a replica decay to the usual values.
OBSERVATION_TIME_CONSTANT_S = 4.0
# A load report older than this is ignored.
MAX_LOAD_AGE_S = 0.5
# Expected times are randomized by up to this share, against herding on one replica.
JITTER_SHARE = 0.15
# Where machines differ, the share of a replica falls with this power of its time.
SHARE_EXPONENT = 2.0
# Expected time added for a replica that fails all requests, in multiples of the usual
# latency.
FAILURE_PENALTY_FACTOR = 6.0
UNKNOWN_LATENCY_S = 0.05


class ReplicaCandidate(NamedTuple):
    """One usable replica with its observed latency and failures and reported load.

    `latency_s` was observed while the machine reported `latency_slowness`; `slowness`
    is what is expected of it now.
    """

    server_id: str
    latency_s: float  # 0 if none was observed
    observed_age_s: float
    failure_share: float
    slots: int
    running_here: int
    reported_busy: int
    report_age_s: float
    latency_slowness: float = 1.0
    slowness: float = 1.0

    @property
    def own_latency_s(self) -> float:
        """Latency while the machine is as usual, 0 if none was observed."""
        return self.latency_s / self.latency_slowness


def expected_time_s(
    candidate: ReplicaCandidate, usual_s: float, usual_failures: float
) -> float:
    """Return the expected time to a successful response from one replica.

    `usual_s` and `usual_failures` are the latency and the failure share of a healthy
    replica, on a machine that is as usual.
    """
    trust = math.exp(-candidate.observed_age_s / OBSERVATION_TIME_CONSTANT_S)
    observed_s = candidate.own_latency_s or usual_s
    latency_s = (usual_s + (observed_s - usual_s) * trust) * candidate.slowness
    busy = candidate.running_here
    if candidate.report_age_s < MAX_LOAD_AGE_S:
        busy = max(busy, candidate.reported_busy)
    queued = max(0, busy + 1 - max(1, candidate.slots))
    waiting_s = latency_s * queued / max(1, candidate.slots)
    failures = max(0.0, candidate.failure_share - usual_failures) * trust
    return latency_s + waiting_s + FAILURE_PENALTY_FACTOR * usual_s * failures


def choose_replica(
    candidates: Iterable[ReplicaCandidate], rng: random.Random
) -> ReplicaCandidate | None:
    """Return a replica with a short expected time, or None without candidates.

    It is the least apart from some jitter, if no machine is known to differ; or else
    one of double the expected time of another gets a quarter of its requests.
    """
    candidates = list(candidates)
    if not candidates:
        return None
    known = [c.own_latency_s for c in candidates if c.latency_s > 0]
    usual_s = statistics.median_low(known) if known else UNKNOWN_LATENCY_S
    usual_failures = min(c.failure_share for c in candidates)
    differ = len({c.slowness for c in candidates}) > 1

    def cost(candidate: ReplicaCandidate) -> float:
        if differ:
            spread = rng.weibullvariate(1, SHARE_EXPONENT)
        else:
            spread = rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        return expected_time_s(candidate, usual_s, usual_failures) * spread

    return min(candidates, key=cost)
