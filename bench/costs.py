"""Cost by stage, computed from the records of the backend servers."""

from collections import defaultdict
from typing import Any

FIELDS = ("busy_s", "tokens", "cached_tokens", "wasted_busy_s", "wasted_tokens", "cost")
ROUNDED_DIGITS = 3

Totals = dict[str, float]


def cost_by_stage(
    servers: list[dict[str, Any]],
    callers: list[dict[str, Any]],
    cost_per_busy_s: dict[str, float],
) -> dict[str, Any]:
    """Return totals by pool, and within each pool also by customer.

    `busy_s` is the sum of the durations of calls (slot-seconds), `tokens` the number of
    generated tokens, and `cost` is `busy_s` times the pool's `cost_per_busy_s`. Work is
    wasted if its call did not complete or its request was not answered in time.
    `server_busy_s` is the time during which a server had at least one call, added up
    over the pool's servers.
    """
    attained = {(c["customer_id"], c["request_id"]) for c in callers if c["attained"]}
    stages: dict[str, Totals] = defaultdict(_zero_totals)
    customers: dict[str, dict[str, Totals]] = defaultdict(
        lambda: defaultdict(_zero_totals)
    )
    server_busy_s: dict[str, float] = defaultdict(float)
    for server in servers:
        pool = server["pool"]
        server_busy_s[pool] += server["busy_s"]
        for call in server["calls"]:
            call_totals = _call_totals(call, attained, cost_per_busy_s.get(pool, 0.0))
            _add(stages[pool], call_totals)
            _add(customers[pool][call["customer_id"]], call_totals)
    return {
        pool: {
            **_rounded(stages[pool]),
            "server_busy_s": round(busy_s, ROUNDED_DIGITS),
            "customers": {n: _rounded(t) for n, t in sorted(customers[pool].items())},
        }
        for pool, busy_s in sorted(server_busy_s.items())
    }


def wasted_share(stages: dict[str, Any]) -> float:
    """Return the wasted share of the cost of all stages, 0 if there was no cost."""
    total = sum(stage["cost"] for stage in stages.values())
    wasted = sum(
        stage["cost"] * stage["wasted_busy_s"] / stage["busy_s"]
        for stage in stages.values()
        if stage["busy_s"]
    )
    return wasted / total if total else 0.0


def _call_totals(call: dict[str, Any], attained: set, cost_per_busy_s: float) -> Totals:
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


def _zero_totals() -> Totals:
    return dict.fromkeys(FIELDS, 0.0)


def _add(totals: Totals, call_totals: Totals) -> None:
    for field, value in call_totals.items():
        totals[field] += value


def _rounded(totals: Totals) -> Totals:
    return {field: round(value, ROUNDED_DIGITS) for field, value in totals.items()}
