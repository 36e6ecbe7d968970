"""Figures of the requests that arrived within a time window of a run."""

from typing import NamedTuple

from bench.records import (
    RequestRecord,
    summarise,
)

ROW = "{:<14}{:>9}{:>9}{:>10}{:>6}{:>17}{:>11}"


class Window(NamedTuple):
    """A time window of a run, in monotonic time."""

    name: str
    start_s: float
    end_s: float

    def records(self, records: list[RequestRecord]) -> list[RequestRecord]:
        return [r for r in records if self.start_s <= r.planned_s < self.end_s]

    def attainment(self, records: list[RequestRecord]) -> float:
        """Return the share of the window's requests that were attained.

        It is 0 for a window without requests.
        """
        own = self.records(records)
        return sum(record.attained for record in own) / len(own) if own else 0.0


def print_windows(windows: list[Window], records: list[RequestRecord]) -> None:
    headings = ("requests of", "seconds", "offered", "attained", "lost")
    print(ROW.format(*headings, "first token p95", "total p95"))
    for window in windows:
        own = window.records(records)
        figures = summarise(own)["all"]
        print(
            ROW.format(
                window.name,
                f"{window.end_s - window.start_s:.1f}",
                len(own),
                f"{window.attainment(records):.2%}",
                lost_connections(own),
                _seconds(figures["first_token"]),
                _seconds(figures["total"]),
            )
        )


def lost_connections(records: list[RequestRecord]) -> int:
    return sum(a.outcome == "lost" for record in records for a in record.answers)


def _seconds(percentiles: dict[str, float]) -> str:
    return f"{percentiles['p95_s']:.2f} s" if percentiles else "-"
