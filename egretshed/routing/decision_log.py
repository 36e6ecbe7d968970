"""The log line and counters of each routing decision."""

from typing import (
    Any,
    NamedTuple,
)

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.routing.policies import Scored
from egretshed.routing.records import (
    Candidate,
    RoutingDecision,
    StageCall,
)

# Replicas asked for a slot when none is free. Each one asked may cost a message, and
# demand that is spread over a whole large pool would reach every owner.
DEMAND_REPLICAS = 4


class Ranking(NamedTuple):
    """Usable candidates, best first, and why each other replica seen lost.

    `other_part` counts the replicas of a large pool that were not looked at.
    """

    scored: list[Scored]
    lost: dict[str, str]
    other_part: int = 0

    def wanted(self) -> list[str]:
        """Return the replicas worth waiting for."""
        best = self.scored[:DEMAND_REPLICAS]
        return [candidate.replica.replica_id for _, candidate in best]


def log_decision(
    env: Environment,
    call: StageCall,
    ranking: Ranking,
    decision: RoutingDecision | None,
) -> None:
    """Write the line and count the call by stage and replica."""
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
        candidates=[_seen(score, item) for score, item in ranking.scored],
        lost=_all_lost(ranking, chosen),
        other_part=ranking.other_part,
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


def _seen(score: float, candidate: Candidate) -> dict[str, Any]:
    view = candidate.view
    known = view.load_age_s != float("inf")
    return {
        "replica_id": candidate.replica.replica_id,
        "score": round(score, 6),
        "free": view.free,
        "limit": view.limit,
        "in_flight": view.in_flight,
        "load_age_s": round(view.load_age_s, 3) if known else None,
        "prefix_match": round(candidate.prefix_match, 3),
    }


def _all_lost(ranking: Ranking, chosen: str | None) -> dict[str, str]:
    """Return why each replica but the chosen one lost; the rest ranked lower."""
    ranked = (item.replica.replica_id for _, item in ranking.scored)
    lost = {name: "ranked_lower" for name in ranked if name != chosen}
    return {**lost, **ranking.lost}
