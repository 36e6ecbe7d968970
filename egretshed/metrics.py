"""Prometheus metrics of one node; names start with the component's prefix.

Every node has its own registry, so that several nodes can run in one process.
`bounded_label` limits the number of label values, such as those of customers.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

MAX_LABEL_VALUES = 64
OVERFLOW_LABEL = "other"
LATENCY_BUCKETS_S = (0.005, 0.02, 0.064, 0.1, 0.25, 0.5, 0.96, 2.0, 4.0, 6.0, 15.0)


class Metrics:
    """Metrics registry of a node; a metric is created when it is first used."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._by_name: dict[str, Counter | Gauge | Histogram] = {}
        self._label_values: dict[str, set[str]] = {}

    def counter(self, name: str, help_: str, labels: tuple[str, ...] = ()) -> Counter:
        return self._get(Counter, name, help_, labels)

    def gauge(self, name: str, help_: str, labels: tuple[str, ...] = ()) -> Gauge:
        return self._get(Gauge, name, help_, labels)

    def histogram(
        self, name: str, help_: str, labels: tuple[str, ...] = ()
    ) -> Histogram:
        return self._get(Histogram, name, help_, labels, buckets=LATENCY_BUCKETS_S)

    def bounded_label(self, label: str, value: str) -> str:
        """Return `value`, or ``other`` once the label has MAX_LABEL_VALUES values."""
        seen = self._label_values.setdefault(label, set())
        if value in seen:
            return value
        if len(seen) >= MAX_LABEL_VALUES:
            return OVERFLOW_LABEL
        seen.add(value)
        return value

    def render(self) -> bytes:
        return generate_latest(self.registry)

    def _get(self, kind, name, help_, labels, **options):
        metric = self._by_name.get(name)
        if metric is None:
            metric = kind(
                f"egretshed_{name}", help_, labels, registry=self.registry, **options
            )
            self._by_name[name] = metric
        return metric
