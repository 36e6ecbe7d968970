"""Resource use of a process from ``/proc``, metrics parsing and least-squares fits."""

import os
import re
import statistics
from collections import Counter
from pathlib import Path
from typing import NamedTuple

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BYTES_PER_KIB = 1024
SAMPLE_PATTERN = re.compile(
    r'^(\w+)(?:\{(?:\w+="([^"]*)"[^}]*)\})? (\S+)$', re.MULTILINE
)


class Fit(NamedTuple):
    """Least-squares line; `residual_std` is the standard deviation of the residuals."""

    intercept: float
    slope: float
    residual_std: float

    def predict(self, x: float) -> float:
        return self.intercept + self.slope * x


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Fit y over x; needs at least two distinct values of x."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [y - intercept - slope * x for x, y in points]
    return Fit(intercept, slope, statistics.pstdev(residuals))


class PlaneFit(NamedTuple):
    """Least-squares plane over two variables; `residual_std` as in `Fit`."""

    intercept: float
    x_slope: float
    y_slope: float
    residual_std: float


def fit_plane(points: list[tuple[float, float, float]]) -> PlaneFit:
    """Fit z over x and y, which must not be collinear.

    The slope over x is that of z over the residuals of x regressed on y.
    """
    xs, ys, zs = zip(*points, strict=True)
    x_slope = _partial_slope(xs, ys, zs)
    y_slope = _partial_slope(ys, xs, zs)
    offsets = [z - x_slope * x - y_slope * y for x, y, z in points]
    return PlaneFit(
        statistics.mean(offsets), x_slope, y_slope, statistics.pstdev(offsets)
    )


def _partial_slope(xs, others, zs) -> float:
    """Return the slope of zs over the part of xs that is not linear in others."""
    fit = fit_line(list(zip(others, xs, strict=True)))
    residuals = [x - fit.predict(o) for x, o in zip(xs, others, strict=True)]
    return statistics.linear_regression(residuals, zs).slope


def cpu_s(stat: str) -> float:
    """Return the user and system time in the text of ``/proc/<pid>/stat``.

    The second field is the command in parentheses and may contain spaces, so fields are
    counted from the last closing parenthesis.
    """
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_bytes(status: str) -> int:
    """Return the resident set size in the text of ``/proc/<pid>/status``."""
    return (
        int(re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)[1]) * BYTES_PER_KIB
    )


def process_cpu_s(pid: int) -> float:
    return cpu_s(Path(f"/proc/{pid}/stat").read_text())


def process_rss_bytes(pid: int) -> int:
    return rss_bytes(Path(f"/proc/{pid}/status").read_text())


def metric_values(text: str) -> Counter:
    """Return the values of a metrics page by name and first label.

    A key is ``name/label``, or ``name`` if there is no label; values that differ only
    in further labels are added up.
    """
    values: Counter = Counter()
    for name, label, value in SAMPLE_PATTERN.findall(text):
        values[f"{name}/{label}" if label else name] += float(value)
    return values
