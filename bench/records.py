"""Client-side records of requests, and their summary."""

from collections import Counter
from collections.abc import Iterable
from typing import (
    Any,
    NamedTuple,
)

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_S = 1e6
LONGEST_US = 600 * 1_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


class Answer(NamedTuple):
    """Result of one submission: the final answer, or how the connection was lost.

    `outcome` is one of `docs/api.md`, or ``lost`` or ``refused``; times are monotonic.
    """

    request_id: str
    node_id: str
    sent_s: float
    received_s: float
    outcome: str
    reason: str
    retry_after_s: float | None


class RequestRecord:
    """One planned request from its arrival to its last answer; times are monotonic."""

    def __init__(self, customer_id: str, kind: str, planned_s: float, end_s: float):
        self.customer_id = customer_id
        self.kind = kind
        self.planned_s = planned_s
        self.end_s = end_s
        self.started_s = planned_s
        self.answered_s: float | None = None
        self.first_token_s: float | None = None
        self.token_gaps_us: list[int] = []
        self.answers: list[Answer] = []
        self.tokens = 0
        self.resets = 0
        self.outcome = "no_answer"
        self.request_id = ""
        self.faults: list[str] = []

    @property
    def attained(self) -> bool:
        """Whether the caller got its complete, correct answer within the deadline."""
        return (
            self.outcome == "complete"
            and not self.faults
            and self.answered_s is not None
            and self.answered_s <= self.end_s
        )

    def to_body(self) -> dict[str, Any]:
        body = {k: v for k, v in vars(self).items() if k != "token_gaps_us"}
        body["answers"] = [answer._asdict() for answer in self.answers]
        return {**body, "attained": self.attained}


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds."""
    return HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)


def _percentiles_s(values_us: Iterable[float]) -> dict[str, float]:
    histogram = make_histogram()
    for value_us in values_us:
        histogram.record_value(min(LONGEST_US, max(1, int(value_us))))
    if not histogram.get_total_count():
        return {}
    return {
        f"p{percentile:g}_s": histogram.get_value_at_percentile(percentile)
        / MICROSECONDS_PER_S
        for percentile in PERCENTILES
    }


def summarise(records: list[RequestRecord]) -> dict[str, Any]:
    """Return figures of all requests and of each kind, and attainment by customer.

    A token gap is the time between tokens as read; tokens that arrive in one event
    count with a gap of 1 microsecond.
    """
    kinds = sorted({record.kind for record in records})
    return {
        "all": _figures(records),
        "kinds": {k: _figures([r for r in records if r.kind == k]) for k in kinds},
        "customers": {
            c: _figures([r for r in records if r.customer_id == c])["attainment"]
            for c in sorted({record.customer_id for record in records})
        },
    }


def _figures(records: list[RequestRecord]) -> dict[str, Any]:
    attained = sum(record.attained for record in records)
    first = [
        (r.first_token_s - r.planned_s) * MICROSECONDS_PER_S
        for r in records
        if r.first_token_s is not None
    ]
    total = [
        (r.answered_s - r.planned_s) * MICROSECONDS_PER_S
        for r in records
        if r.outcome == "complete"
    ]
    late = [(r.started_s - r.planned_s) * MICROSECONDS_PER_S for r in records]
    return {
        "offered": len(records),
        "attained": attained,
        "attainment": attained / len(records) if records else None,
        "outcomes": dict(Counter(r.outcome for r in records)),
        "answers": dict(Counter(a.outcome for r in records for a in r.answers)),
        "tokens": sum(r.tokens for r in records),
        "resets": sum(r.resets for r in records),
        "first_token": _percentiles_s(first),
        "token_gap": _percentiles_s(g for r in records for g in r.token_gaps_us),
        "total": _percentiles_s(total),
        "driver_lateness": _percentiles_s(late),
    }
