"""Counts the answers of two software versions, by route and server."""

import math
from collections import (
    Counter,
    deque,
)
from collections.abc import Iterable
from dataclasses import (
    dataclass,
    field,
)
from typing import NamedTuple

# Answers are counted by their duration, in classes each this much longer.
CLASS_RATIO = 1.5
SHORTEST_S = 0.004
CLASSES = 26
# A version that was good for a while is judged by its answers of this time as well.
RECENT_S = 2.5
KEEP_PERIOD_S = 0.25
# Name that stands for all servers of the other versions.
OLD = ""


def duration_class(duration_s: float) -> int:
    """Return the class of a duration, from 0 to `CLASSES` - 1."""
    if duration_s <= SHORTEST_S:
        return 0
    found = 1 + int(math.log(duration_s / SHORTEST_S) / math.log(CLASS_RATIO))
    return min(CLASSES - 1, found)


@dataclass
class Answers:
    """Answers of one server, or of all servers of the other versions, on one route.

    `latency_counts` counts the complete ones by class of duration and `running_counts`
    the requests without one by that of their duration so far.
    """

    failures: int = 0
    latency_counts: Counter[int] = field(default_factory=Counter)
    running_counts: Counter[int] = field(default_factory=Counter)

    def add(self, other: "Answers") -> None:
        self.failures += other.failures
        self.latency_counts.update(other.latency_counts)
        self.running_counts.update(other.running_counts)

    @property
    def answered(self) -> int:
        return self.failures + self.latency_counts.total()

    @property
    def sent(self) -> int:
        return self.answered + self.running_counts.total()

    def slow(self, from_class: int) -> int:
        """Return the requests that took, or are taking, at least this class."""
        counts = (*self.latency_counts.items(), *self.running_counts.items())
        return sum(count for index, count in counts if index >= from_class)

    def quick(self, to_class: int) -> int:
        """Return the complete answers below a class."""
        counts = self.latency_counts.items()
        return sum(count for index, count in counts if index < to_class)

    def median_class(self) -> int:
        """Return the class of the median duration of the complete answers."""
        half, passed = self.latency_counts.total() / 2, 0
        for index, count in sorted(self.latency_counts.items()):
            passed += count
            if passed > half:
                return index
        return CLASSES - 1


class CellKey(NamedTuple):
    route: str
    server_id: str


Evidence = dict[CellKey, Answers]


def merge(parts: Iterable[Evidence]) -> Evidence:
    """Return the sum of what several nodes have seen."""
    total: Evidence = {}
    for part in parts:
        for key, answers in part.items():
            total.setdefault(key, Answers()).add(answers)
    return total


def recent(total: Evidence, earlier: Evidence) -> Evidence:
    """Return what came after an earlier total; the old version stays whole."""
    found: Evidence = {}
    for key, answers in total.items():
        before = earlier.get(key)
        if before is None or key.server_id == OLD:
            found[key] = answers
            continue
        found[key] = Answers(
            max(0, answers.failures - before.failures),
            answers.latency_counts - before.latency_counts,
            answers.running_counts,
        )
    return found


class EvidenceHistory:
    """Totals of the last `RECENT_S` seconds, to tell what is new in one."""

    def __init__(self) -> None:
        self._totals: deque[tuple[float, Evidence]] = deque()

    def recent(self, total: Evidence, now_s: float) -> Evidence:
        """Keep a total and return what it has more than that of `RECENT_S` before."""
        if not self._totals or now_s - self._totals[-1][0] >= KEEP_PERIOD_S:
            self._totals.append((now_s, total))
        while now_s - self._totals[0][0] > RECENT_S:
            self._totals.popleft()
        return recent(total, self._totals[0][1])
