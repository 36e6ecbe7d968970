"""Cost by stage from the records of the backend servers."""

from collections import defaultdict
from typing import Any

FIELDS = ("busy_s", "tokens", "cached_tokens", "wasted_busy_s", "wasted_tokens", "cost")
DIGITS = 3

Totals = dict[str, float]


def cost_by_stage(
    servers: list[dict[str, Any]],
    callers: list[dict[str, Any]],
    cost_per_busy_s: dict[str, float],
) -> dict[str, Any]:
    """Return totals by pool, each also by customer.

    `busy_s` adds up the durations of calls (slot-seconds), `tokens` counts generated
    ones, and `cost` is `busy_s` times the pool's `cost_per_busy_s`. Work is wasted if
    its call did not complete or its request was not answered in time. `server_busy_s`
    is how long servers had at least one call.
    """
    attained = {(c["customer_id"], c["request_id"]) for c in callers if c["attained"]}
    stages: dict[str, Totals] = defaultdict(_zero)
    customers: dict[str, dict[str, Totals]] = defaultdict(lambda: defaultdict(_zero))
    server_busy_s: dict[str, float] = defaultdict(float)
    for server in servers:
        pool = server["pool"]
        server_busy_s[pool] += server["busy_s"]
        for call in server["calls"]:
            work = _work_of(call, attained, cost_per_busy_s.get(pool, 0.0))
            _add(stages[pool], work)
            _add(customers[pool][call["customer_id"]], work)
    return {
        pool: {
            **_rounded(stages[pool]),
            "server_busy_s": round(busy_s, DIGITS),
            "customers": {n: _rounded(t) for n, t in sorted(customers[pool].items())},
        }
        for pool, busy_s in sorted(server_busy_s.items())
    }


def wasted_share(stages: dict[str, Any]) -> float:
    """Return which share of the cost of all stages was wasted, 0 if there was none."""
    total = sum(stage["cost"] for stage in stages.values())
    wasted = sum(
        stage["cost"] * stage["wasted_busy_s"] / stage["busy_s"]
        for stage in stages.values()
        if stage["busy_s"]
    )
    return wasted / total if total else 0.0


def _work_of(call: dict[str, Any], attained: set, cost_per_busy_s: float) -> Totals:
    busy_s = (call["end_s"] or call["start_s"]) - call["start_s"]
    key = (call["customer_id"], call["request_id"])
    is_wasted = call["outcome"] != "completed" or key not in attained
    return {
        "busy_s": busy_s,
        "tokens": call["tokens"],
        "cached_tokens": call["cached_tokens"],
        "wasted_busy_s": busy_s * is_wasted,
        "wasted_tokens": call["tokens"] * is_wasted,
        "cost": busy_s * cost_per_busy_s,
    }


def _zero() -> Totals:
    return dict.fromkeys(FIELDS, 0.0)


def _add(totals: Totals, work: Totals) -> None:
    for field, value in work.items():
        totals[field] += value


def _rounded(totals: Totals) -> Totals:
    return {field: round(value, DIGITS) for field, value in totals.items()}
