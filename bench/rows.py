"""The row of one run, from everything that it recorded."""

from collections import Counter
from typing import (
    Any,
    NamedTuple,
)

from bench.check import (
    Breach,
    Observed,
)
from bench.costs import (
    cost_by_stage,
    wasted_share,
)
from bench.node_cost import ControlCost
from bench.records import (
    RequestRecord,
    summarise,
)

MS_PER_S = 1000
DIGITS = 4
MAX_BREACHES = 20


class RunMeasurements(NamedTuple):
    """What one run recorded.

    `idle` and `loaded` are the nodes' cost before and during the load. `failure` is
    why the scenario could not do what it is about, or empty. `harness_cpu_share` is
    the share of a core of the load driver and of all stand-ins together: near 1 they,
    not the nodes, limit the run.
    """

    observed: Observed
    records: list[RequestRecord]
    start_s: float
    events: list[tuple[float, str]]
    failure: str
    idle: ControlCost
    loaded: ControlCost
    harness_cpu_share: dict[str, float]


def make_row(
    measured: RunMeasurements,
    bound: int,
    breaches: list[Breach],
    cost_per_busy_s: dict[str, float],
) -> dict[str, Any]:
    """Return the figures of a run.

    `goodput_share` is the number of requests answered in time over `bound`, the most
    that could be (`bench.capacity.Capacity.max_requests_in_time`). `control_cpu_share`
    is the CPU share of the busiest node without any load, `control_bytes_per_s` the
    bytes of the busiest node to and from other nodes under load, and
    `control_memory_mb` the highest resident set of a node (`bench.node_cost`).
    Percentiles come from HDR histograms with 3 significant digits (`bench.records`).
    """
    observed = measured.observed
    summary = summarise(measured.records)
    figures = summary["all"]
    stages = cost_by_stage(observed.servers, observed.callers, cost_per_busy_s)
    return {
        "offered": figures["offered"],
        "attained": figures["attained"],
        "attainment_share": _rounded(figures["attainment"]),
        "bound": bound,
        "goodput_share": _rounded(figures["attained"] / bound),
        "first_token_p95_s": figures["first_token"].get("p95_s"),
        "between_tokens_p95_ms": _milliseconds(figures["token_gap"].get("p95_s")),
        "latency": {
            name: figures[name]
            for name in ("first_token", "token_gap", "total", "driver_lateness")
        },
        "outcomes": figures["outcomes"],
        "refusals": figures["answers"].get("not_run", 0),
        "reasons": _reasons(measured.records),
        "resets": figures["resets"],
        "kinds": {name: _kind(kind) for name, kind in summary["kinds"].items()},
        "customers": summary["customers"],
        "cost_by_stage": stages,
        "wasted_share": _rounded(wasted_share(stages)),
        "promises_broken": dict(Counter(breach.promise for breach in breaches)),
        "breaches": [breach._asdict() for breach in breaches[:MAX_BREACHES]],
        "control_cpu_share": measured.idle.cpu_share,
        "control_bytes_per_s": measured.loaded.bytes_per_s,
        "control_memory_mb": measured.loaded.memory_mb,
        "loaded_cpu_share": measured.loaded.cpu_share,
        "harness_cpu_share": measured.harness_cpu_share,
        "events": measured.events,
        "failure": measured.failure,
        "series": attainment_by_second(measured.records, measured.start_s),
    }


def attainment_by_second(
    records: list[RequestRecord], start_s: float
) -> list[tuple[int, int, int]]:
    """Return (second of arrival, offered, attained), by second."""
    offered: Counter[int] = Counter()
    attained: Counter[int] = Counter()
    for record in records:
        second = int(record.planned_s - start_s)
        offered[second] += 1
        attained[second] += record.attained
    return [(second, offered[second], attained[second]) for second in sorted(offered)]


def _reasons(records: list[RequestRecord]) -> dict[str, int]:
    """Return the number of answers by outcome and reason, except complete ones."""
    return dict(
        Counter(
            f"{answer.outcome}: {answer.reason}"
            for record in records
            for answer in record.answers
            if answer.outcome != "complete"
        )
    )


def _kind(figures: dict[str, Any]) -> dict[str, Any]:
    return {
        "offered": figures["offered"],
        "attainment": _rounded(figures["attainment"]),
        "first_token_p95_s": figures["first_token"].get("p95_s"),
        "total_p95_s": figures["total"].get("p95_s"),
    }


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * MS_PER_S, DIGITS)


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, DIGITS)
