"""Metrics of one node; names start with the component's prefix.

Values are kept in plain objects, and `prometheus_client` is imported when they are
first read: its import would take a tenth of the processor time of a start, and after a
power failure nothing is served before the start. Every node has its own metrics, so
that several nodes can run in one process. `bounded_label` limits the number of label
values, such as those of customers.
"""

from bisect import bisect_left
from collections.abc import Iterator
from typing import (
    TYPE_CHECKING,
    Any,
)

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

MAX_LABEL_VALUES = 64
OVERFLOW_LABEL = "other"
LATENCY_BUCKETS_S = (0.005, 0.02, 0.064, 0.1, 0.25, 0.5, 0.96, 2.0, 4.0, 6.0, 15.0)
PREFIX = "egretshed_"


class Number:
    """Value of a counter or a gauge for one combination of label values."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        self.value += amount

    def dec(self, amount: float = 1.0) -> None:
        self.value -= amount

    def set(self, value: float) -> None:
        self.value = value


class Distribution:
    """Histogram of observed seconds for one combination of label values.

    `bucket_counts` are not cumulative; the last one counts what is above all bounds.
    """

    __slots__ = ("bucket_counts", "total")

    def __init__(self) -> None:
        self.bucket_counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        self.bucket_counts[bisect_left(LATENCY_BUCKETS_S, value)] += 1
        self.total += value


class Metric:
    """One metric; without labels it forwards to its only value.

    Example::

        metric.labels("book", "answered").inc()
    """

    def __init__(self, kind: str, name: str, help_: str, label_names: tuple[str, ...]):
        self.kind = kind
        self.name = name
        self.help = help_
        self.label_names = label_names
        self.values: dict[tuple[str, ...], Number | Distribution] = {}
        if not label_names:
            self.labels()

    def labels(self, *values: Any) -> Any:
        """Return the `Number` or `Distribution` of these label values."""
        found = self.values.get(values)
        if found is None:
            if len(values) != len(self.label_names):
                raise ValueError(f"{self.name} has the labels {self.label_names}")
            found = Distribution() if self.kind == "histogram" else Number()
            self.values[values] = found
        return found

    def inc(self, amount: float = 1.0) -> None:
        self.labels().inc(amount)

    def dec(self, amount: float = 1.0) -> None:
        self.labels().dec(amount)

    def set(self, value: float) -> None:
        self.labels().set(value)

    def observe(self, value: float) -> None:
        self.labels().observe(value)


class Metrics:
    """Metrics of a node; a metric is created when it is first used."""

    def __init__(self) -> None:
        self._by_name: dict[str, Metric] = {}
        self._label_values: dict[str, set[str]] = {}
        self._registry: CollectorRegistry | None = None

    def counter(self, name: str, help_: str, labels: tuple[str, ...] = ()) -> Metric:
        return self._get("counter", name, help_, labels)

    def gauge(self, name: str, help_: str, labels: tuple[str, ...] = ()) -> Metric:
        return self._get("gauge", name, help_, labels)

    def histogram(self, name: str, help_: str, labels: tuple[str, ...] = ()) -> Metric:
        return self._get("histogram", name, help_, labels)

    def bounded_label(self, label: str, value: str) -> str:
        """Return `value`, or ``other`` once the label has MAX_LABEL_VALUES values."""
        seen = self._label_values.setdefault(label, set())
        if value in seen:
            return value
        if len(seen) >= MAX_LABEL_VALUES:
            return OVERFLOW_LABEL
        seen.add(value)
        return value

    @property
    def registry(self) -> "CollectorRegistry":
        """The metrics as a registry of `prometheus_client`, with present values."""
        if self._registry is None:
            from prometheus_client import CollectorRegistry

            self._registry = CollectorRegistry(auto_describe=False)
            self._registry.register(self)
        return self._registry

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        from prometheus_client import generate_latest

        return generate_latest(self.registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; called by the registry."""
        for metric in self._by_name.values():
            yield _family(metric)

    def _get(self, kind: str, name: str, help_: str, labels: tuple[str, ...]) -> Metric:
        metric = self._by_name.get(name)
        if metric is None:
            metric = self._by_name[name] = Metric(kind, name, help_, labels)
        return metric


def _family(metric: Metric) -> Any:
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
    )

    families = {
        "counter": CounterMetricFamily,
        "gauge": GaugeMetricFamily,
        "histogram": HistogramMetricFamily,
    }
    name = PREFIX + metric.name
    family = families[metric.kind](name, metric.help, labels=metric.label_names)
    for values, value in list(metric.values.items()):
        labels = [str(label) for label in values]
        if isinstance(value, Distribution):
            buckets = _cumulative_buckets(value)
            family.add_metric(labels, buckets=buckets, sum_value=value.total)
        else:
            family.add_metric(labels, value.value)
    return family


def _cumulative_buckets(distribution: Distribution) -> list[tuple[str, float]]:
    """Return the upper bound and cumulative count of each bucket."""
    from prometheus_client.utils import floatToGoString

    buckets = []
    count = 0
    bounds = (*LATENCY_BUCKETS_S, float("inf"))
    for bound, in_bucket in zip(bounds, distribution.bucket_counts, strict=True):
        count += in_bucket
        buckets.append((floatToGoString(bound), float(count)))
    return buckets
