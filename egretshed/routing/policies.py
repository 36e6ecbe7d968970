"""Policies that rank the candidates of a call, best first.

Another policy is added by a class registered under the name that settings use::

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

Scored = tuple[float, Candidate]


class Policy(Protocol):
    def rank(
        self, call: StageCall, candidates: list[Candidate], random: Random
    ) -> list[Scored]:
        """Return every candidate with its score, best (lowest) first."""


POLICIES: Registry[type[Policy]] = Registry("routing policy")

# Most of the predicted first token time that a cached prefix can save. At 0.5 a replica
# with the prefix loses to an idle one as soon as it has twice its load.
MAX_PREFIX_SAVING = 0.5

# Extra delay of a replica in another failure domain, both ways: twice the 1 ms that the
# present deployments have between domains.
FAR_DELAY_S = 0.002

# Seconds of first token time that one unit of cost weighs. Cost decides between
# replicas that are about as fast.
COST_WEIGHT_S = 0.001


def load(candidate: Candidate) -> float:
    """Return calls per slot of the limit: 0 is idle, 1 is full."""
    view = candidate.view
    return max(view.in_flight, view.running) / max(1, view.limit)


def _in_order(candidates: list[Candidate]) -> list[Scored]:
    return [(float(index), item) for index, item in enumerate(candidates)]


@POLICIES.register("random")
class RandomPolicy:
    """Spreads calls evenly over a long time."""

    def rank(self, call, candidates, random):
        return _in_order(random.sample(candidates, len(candidates)))


@POLICIES.register("round_robin")
class RoundRobinPolicy:
    """Takes the replicas of a pool in turn."""

    def __init__(self) -> None:
        self._turns: dict[str, itertools.count] = {}

    def rank(self, call, candidates, random):
        ordered = sorted(candidates, key=lambda item: item.replica.replica_id)
        turn = next(self._turns.setdefault(call.pool, itertools.count()))
        start = turn % len(ordered)
        return _in_order(ordered[start:] + ordered[:start])


@POLICIES.register("least_loaded")
class LeastLoadedPolicy:
    """Takes the less loaded of two replicas drawn at random.

    Nodes that all take the least loaded replica of an equally old report overload it
    together; two choices avoid that.
    """

    def rank(self, call, candidates, random):
        drawn = random.sample(candidates, len(candidates))
        return _in_order(sorted(drawn[:2], key=load) + drawn[2:])


@POLICIES.register("predictive")
class PredictivePolicy:
    """Takes the replica with the least predicted time to first token and cost."""

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
        """Return seconds to first token, with the cost in seconds added."""
        saving = MAX_PREFIX_SAVING * candidate.prefix_match
        first_token_s = candidate.first_token_s * (1 + load(candidate)) * (1 - saving)
        distance_s = 0.0 if candidate.is_near else FAR_DELAY_S
        cost = candidate.cost_per_busy_s * candidate.total_s
        return first_token_s + distance_s + cost * COST_WEIGHT_S


def _is_warming(candidate: Candidate) -> bool:
    """Whether a call is worth more there than its delay, since it warms the server up.

    Ranked by its times, a server that was cold got no calls while others had slots,
    so it neither became warm nor were its times measured again.
    """
    view = candidate.view
    return view.free > 0 and not view.warm
