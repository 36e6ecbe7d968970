"""Log line and counters of routing decisions."""

from typing import (
    Any,
    NamedTuple,
)

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.routing.policies import ScoredCandidate
from egretshed.routing.records import (
    Candidate,
    RoutingDecision,
    StageCall,
)

# Number of replicas for which slots are requested when none is free. Each may cost a
# message, and demand spread over all of a large pool would reach every owner.
DEMAND_REPLICAS = 4


class Ranking(NamedTuple):
    """Ranked candidates, best first, and the replicas that were rejected.

    `rejections` gives the reason by replica id; `unexamined` counts the replicas of a
    large pool that were not considered.
    """

    scored: list[ScoredCandidate]
    rejections: dict[str, str]
    unexamined: int = 0

    def preferred_ids(self) -> list[str]:
        """Return the ids of the best replicas, to request slots of."""
        best = self.scored[:DEMAND_REPLICAS]
        return [candidate.replica.replica_id for _, candidate in best]


def log_decision(
    env: Environment,
    call: StageCall,
    ranking: Ranking,
    decision: RoutingDecision | None,
) -> None:
    """Log the decision, and count the placed call by stage and replica."""
    chosen = decision.replica.replica_id if decision else None
    log_event(
        env.logger,
        "routing_decision",
        request_id=call.request_id,
        attempt_id=call.attempt_id,
        stage=call.stage,
        pool=call.pool,
        policy=env.settings.routing.policy,
        replica_id=chosen,
        candidates=[_candidate_fields(score, item) for score, item in ranking.scored],
        lost=_all_rejections(ranking, chosen),
        other_part=ranking.unexamined,
        remaining_s=round(call.remaining_s, 6),
    )
    if chosen is not None:
        env.metrics.counter(
            "routing_decisions_total",
            "Calls placed by stage and replica",
            ("stage", "replica"),
        ).labels(call.stage, chosen).inc()


def count_refused(env: Environment, call: StageCall) -> None:
    env.metrics.counter(
        "routing_refused_total", "Calls without a replica", ("stage",)
    ).labels(call.stage).inc()


def _candidate_fields(score: float, candidate: Candidate) -> dict[str, Any]:
    view = candidate.view
    has_load = view.load_age_s != float("inf")
    return {
        "replica_id": candidate.replica.replica_id,
        "score": round(score, 6),
        "free": view.free,
        "limit": view.limit,
        "in_flight": view.in_flight,
        "load_age_s": round(view.load_age_s, 3) if has_load else None,
        "prefix_match": round(candidate.prefix_match, 3),
    }


def _all_rejections(ranking: Ranking, chosen: str | None) -> dict[str, str]:
    """Return the reason for each replica that was not chosen.

    Candidates without a reason of their own were ranked lower than the chosen one.
    """
    ranked = (item.replica.replica_id for _, item in ranking.scored)
    rejections = {name: "ranked_lower" for name in ranked if name != chosen}
    return {**rejections, **ranking.rejections}
