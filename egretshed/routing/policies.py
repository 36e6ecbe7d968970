"""Routing policies, which rank the candidates of a call.

A policy is added by registering a class under the name that the settings use::

    @POLICIES.register("first")
    class First:
        def rank(self, call, candidates, random): ...
"""

import itertools
from random import Random
from typing import Protocol

from egretshed.registry import Registry
from egretshed.routing.records import (
    Candidate,
    StageCall,
)

ScoredCandidate = tuple[float, Candidate]


class Policy(Protocol):
    def rank(
        self, call: StageCall, candidates: list[Candidate], random: Random
    ) -> list[ScoredCandidate]:
        """Return every candidate with its score, best (lowest) first."""


POLICIES: Registry[type[Policy]] = Registry("routing policy")

# Largest share of the predicted time to first token that a cached prefix saves. At 0.5,
# a replica with the prefix ranks below an idle one once its relative load exceeds 1.
MAX_PREFIX_SAVING = 0.5

# Extra round-trip time to a replica in another failure domain: twice the one-way delay
# of 1 ms between the domains of the present deployments.
CROSS_DOMAIN_DELAY_S = 0.002

# Seconds of time to first token that one unit of cost is worth. It is small, so that
# cost decides only between replicas of about the same speed.
COST_WEIGHT_S = 0.001


def relative_load(candidate: Candidate) -> float:
    """Return the calls per slot of the replica's limit: 0 is idle, 1 is full."""
    view = candidate.view
    return max(view.in_flight, view.running) / max(1, view.limit)


def _by_position(candidates: list[Candidate]) -> list[ScoredCandidate]:
    return [(float(index), item) for index, item in enumerate(candidates)]


@POLICIES.register("random")
class RandomPolicy:
    """Orders the replicas at random, which spreads calls evenly in the long run."""

    def rank(self, call, candidates, random):
        return _by_position(random.sample(candidates, len(candidates)))


@POLICIES.register("round_robin")
class RoundRobinPolicy:
    """Selects the replicas of a pool in turn."""

    def __init__(self) -> None:
        self._counters: dict[str, itertools.count] = {}

    def rank(self, call, candidates, random):
        ordered = sorted(candidates, key=lambda item: item.replica.replica_id)
        turn = next(self._counters.setdefault(call.pool, itertools.count()))
        start = turn % len(ordered)
        return _by_position(ordered[start:] + ordered[:start])


@POLICIES.register("least_loaded")
class LeastLoadedPolicy:
    """Selects the less loaded of two replicas drawn at random.

    If all nodes selected the least loaded replica by reports of the same age, they
    would overload it together. The power of two choices avoids that.
    """

    def rank(self, call, candidates, random):
        drawn = random.sample(candidates, len(candidates))
        return _by_position(sorted(drawn[:2], key=relative_load) + drawn[2:])


@POLICIES.register("predictive")
class PredictivePolicy:
    """Selects the replica with the lowest predicted time to first token plus cost."""

    def rank(self, call, candidates, random):
        drawn = random.sample(candidates, len(candidates))
        scores_s = [self.score_s(candidate) for candidate in drawn]
        best_s = min(scores_s)
        scored = [
            (best_s if _is_warming(candidate) else score_s, candidate)
            for score_s, candidate in zip(scores_s, drawn)
        ]
        return sorted(scored, key=lambda item: item[0])

    def score_s(self, candidate: Candidate) -> float:
        """Return the predicted time to first token plus the cost, in seconds."""
        saving = MAX_PREFIX_SAVING * candidate.prefix_match
        first_token_s = (
            candidate.first_token_s * (1 + relative_load(candidate)) * (1 - saving)
        )
        domain_delay_s = 0.0 if candidate.is_same_domain else CROSS_DOMAIN_DELAY_S
        cost = candidate.cost_per_busy_s * candidate.total_s
        return first_token_s + domain_delay_s + cost * COST_WEIGHT_S


def _is_warming(candidate: Candidate) -> bool:
    """Return whether the replica has a free slot and its server is not warm yet.

    Such a replica is ranked with the best. Ranked by its latency, a cold server would
    get no calls while others have slots, so it would neither warm up nor get a new
    latency estimate.
    """
    view = candidate.view
    return view.free > 0 and not view.warm
