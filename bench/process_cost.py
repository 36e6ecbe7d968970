"""What a process has used, as the kernel and its metrics page tell, and line fits."""

import os
import re
import statistics
from collections import Counter
from pathlib import Path
from typing import NamedTuple

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024
SAMPLE = re.compile(r'^(\w+)(?:\{(?:\w+="([^"]*)"[^}]*)\})? (\S+)$', re.MULTILINE)


class Fit(NamedTuple):
    """Least-squares line; `spread` is the standard deviation of the residuals."""

    base: float
    slope: float
    spread: float

    def at(self, x: float) -> float:
        return self.base + self.slope * x


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Fit y over x; needs at least two different x."""
    xs, ys = zip(*points, strict=True)
    slope, base = statistics.linear_regression(xs, ys)
    rests = [y - base - slope * x for x, y in points]
    return Fit(base, slope, statistics.pstdev(rests))


class PlaneFit(NamedTuple):
    """Least-squares plane over two causes; `spread` as in `Fit`."""

    base: float
    first: float
    second: float
    spread: float


def fit_plane(points: list[tuple[float, float, float]]) -> PlaneFit:
    """Fit z over x and y, which must not lie on one line.

    The slope over x is that of z over the part of x that y does not explain.
    """
    xs, ys, zs = zip(*points, strict=True)
    first = _slope_beyond(xs, ys, zs)
    second = _slope_beyond(ys, xs, zs)
    rests = [z - first * x - second * y for x, y, z in points]
    return PlaneFit(statistics.mean(rests), first, second, statistics.pstdev(rests))


def _slope_beyond(xs, others, zs) -> float:
    explained = fit_line(list(zip(others, xs, strict=True)))
    rests = [x - explained.at(o) for x, o in zip(xs, others, strict=True)]
    return statistics.linear_regression(rests, zs).slope


def cpu_s(stat: str) -> float:
    """Return user and system time of the text of ``/proc/<pid>/stat``.

    The second field is the command in parentheses, which may contain spaces.
    """
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_bytes(status: str) -> int:
    """Return the resident size of the text of ``/proc/<pid>/status``."""
    return int(re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)[1]) * KIB


def process_cpu_s(pid: int) -> float:
    return cpu_s(Path(f"/proc/{pid}/stat").read_text())


def process_rss_bytes(pid: int) -> int:
    return rss_bytes(Path(f"/proc/{pid}/status").read_text())


def metric_values(text: str) -> Counter:
    """Return the values of a metrics page by name and first label, ``name/label``."""
    values: Counter = Counter()
    for name, label, value in SAMPLE.findall(text):
        values[f"{name}/{label}" if label else name] += float(value)
    return values
