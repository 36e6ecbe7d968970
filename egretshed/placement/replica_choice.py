"""Chooses a replica of a plain service for one request.

Load pattern: a few replicas of different speed, one of which turns slow or fails part
of its requests while it reports itself healthy. The replica with the least expected
time to a good answer is chosen; what was learned long ago counts less, so that a
replica that has recovered is found again.
"""

import math
import random
import statistics
from collections.abc import Iterable
from typing import NamedTuple

# What was observed of a replica fades towards the usual with this time constant.
MEMORY_S = 4.0
# A reported load older than this says nothing of the queue now.
LOAD_AGE_LIMIT_S = 0.5
# Candidates that differ by less than this are drawn at random, against herding.
JITTER_SHARE = 0.15
# Expected time added for a replica that fails everything, in multiples of the usual.
FAILURE_WEIGHT = 6.0
UNKNOWN_LATENCY_S = 0.05


class ReplicaCandidate(NamedTuple):
    """One usable replica; ages tell how old the observations are."""

    server_id: str
    latency_s: float  # 0 if none was observed
    observed_age_s: float
    failure_share: float
    slots: int
    running_here: int
    reported_busy: int
    report_age_s: float


def expected_time_s(
    candidate: ReplicaCandidate, usual_s: float, usual_failures: float
) -> float:
    """Return the expected time to a good answer from one replica."""
    trust = math.exp(-candidate.observed_age_s / MEMORY_S)
    known_s = candidate.latency_s or usual_s
    latency_s = usual_s + (known_s - usual_s) * trust
    busy = candidate.running_here
    if candidate.report_age_s < LOAD_AGE_LIMIT_S:
        busy = max(busy, candidate.reported_busy)
    queued = max(0, busy + 1 - max(1, candidate.slots))
    waiting_s = latency_s * queued / max(1, candidate.slots)
    failures = max(0.0, candidate.failure_share - usual_failures) * trust
    return latency_s + waiting_s + FAILURE_WEIGHT * usual_s * failures


def choose_replica(
    candidates: Iterable[ReplicaCandidate], source: random.Random
) -> ReplicaCandidate | None:
    """Return the replica with the least expected time, or None if there is none."""
    candidates = list(candidates)
    if not candidates:
        return None
    known = [c.latency_s for c in candidates if c.latency_s > 0]
    usual_s = statistics.median_low(known) if known else UNKNOWN_LATENCY_S
    usual_failures = min(c.failure_share for c in candidates)

    def cost(candidate: ReplicaCandidate) -> float:
        jitter = source.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        return expected_time_s(candidate, usual_s, usual_failures) * jitter

    return min(candidates, key=cost)
