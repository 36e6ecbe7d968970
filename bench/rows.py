"""Builds the result row of one run from its records."""

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
    """Records and measurements of one run.

    `idle` and `loaded` are the resource usage of the nodes before and during the load.
    `failure` says why the scenario's events could not be carried out; it is empty if
    they were. `harness_cpu_share` has the share of a core that the load driver used,
    and that of the process of all stand-ins: near 1 they limit the run, not the nodes.
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

    `goodput_share` is the number of requests answered in time divided by `bound`, an
    upper bound of that number (`bench.capacity.Capacity.max_requests_in_time`).
    `control_cpu_share` is the CPU share of the busiest node without load,
    `control_bytes_per_s` the traffic of the busiest node to and from other nodes under
    load, and `control_memory_mb` the largest resident set of a node
    (`bench.node_cost`). Percentiles come from HDR histograms with 3 significant digits
    (`bench.records`).
    """
    observed = measured.observed
    summary = summarise(measured.records)
    figures = summary["all"]
    stages = cost_by_stage(observed.servers, observed.callers, cost_per_busy_s)
    return {
        "offered": figures["offered"],
        "attained": figures["attained"],
        "attainment_share": _round(figures["attainment"]),
        "bound": bound,
        "goodput_share": _round(figures["attained"] / bound),
        "first_token_p95_s": figures["first_token"].get("p95_s"),
        "between_tokens_p95_ms": _to_ms(figures["token_gap"].get("p95_s")),
        "latency": {
            name: figures[name]
            for name in ("first_token", "token_gap", "total", "driver_lateness")
        },
        "outcomes": figures["outcomes"],
        "refusals": figures["answers"].get("not_run", 0),
        "reasons": _count_reasons(measured.records),
        "resets": figures["resets"],
        "kinds": {name: _kind_figures(kind) for name, kind in summary["kinds"].items()},
        "customers": summary["customers"],
        "cost_by_stage": stages,
        "wasted_share": _round(wasted_share(stages)),
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
    """Return (second, offered, attained) for each second with arrivals, in order."""
    offered: Counter[int] = Counter()
    attained: Counter[int] = Counter()
    for record in records:
        second = int(record.planned_s - start_s)
        offered[second] += 1
        attained[second] += record.attained
    return [(second, offered[second], attained[second]) for second in sorted(offered)]


def _count_reasons(records: list[RequestRecord]) -> dict[str, int]:
    """Count the answers that are not complete, by outcome and reason."""
    return dict(
        Counter(
            f"{answer.outcome}: {answer.reason}"
            for record in records
            for answer in record.answers
            if answer.outcome != "complete"
        )
    )


def _kind_figures(figures: dict[str, Any]) -> dict[str, Any]:
    return {
        "offered": figures["offered"],
        "attainment": _round(figures["attainment"]),
        "first_token_p95_s": figures["first_token"].get("p95_s"),
        "total_p95_s": figures["total"].get("p95_s"),
    }


def _to_ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * MS_PER_S, DIGITS)


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, DIGITS)
