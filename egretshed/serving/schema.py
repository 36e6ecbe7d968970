"""What the operators declare: routes, services, customers and limits on callers.

One `ServingConfiguration` is an immutable snapshot; the platform adapter decodes it.
"""

from enum import Enum
from typing import NamedTuple


class RouteType(Enum):
    """What may be run again on behalf of one client attempt."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """One of the services among which a route's requests are split."""

    service: str
    weight: float


class StageSpec(NamedTuple):
    """Work that precedes a request; `after` lists indexes of earlier stages."""

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """How requests of one host and path prefix are handled.

    `latency_target_s` is the latency objective: the time to the whole answer, or to the
    first event of a stream, for which an answer earns its whole credit.
    """

    name: str
    host: str
    path_prefix: str
    route_type: RouteType
    timeout_s: float
    latency_target_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    regions: tuple[str, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    event_interval_target_s: float = 0.0
    stages: tuple[StageSpec, ...] = ()

    @property
    def is_stream(self) -> bool:
        return self.route_type is RouteType.STREAM

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run may be sent once more."""
        return self.route_type is RouteType.IDEMPOTENT or self.is_resumable

    def sink_stages(self) -> tuple[int, ...]:
        """Return the stages whose results the request itself needs."""
        followed = {index for stage in self.stages for index in stage.after}
        return tuple(i for i in range(len(self.stages)) if i not in followed)


class EngineLimits(NamedTuple):
    """Figures of one replica of a model engine."""

    slots: int
    cache_tokens: int


class StageLimits(NamedTuple):
    """Figures of one replica of a stage service."""

    slots: int
    batch_items: int
    call_s: float
    item_s: float
    result_capacity_bytes: int
    result_ttl_s: float


class Service(NamedTuple):
    """A group of interchangeable backend servers."""

    name: str
    max_connections: int
    cold_requests_per_s: float
    engine: EngineLimits | None = None
    stage: StageLimits | None = None


class CallerLimits(NamedTuple):
    """What one caller may send, and how long it may take or stay idle."""

    header_bytes: int = 65536
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Customer(NamedTuple):
    """The holder of a key; its priority goes before the route's, where it has one."""

    name: str
    priority: int | None = None


class ServingConfiguration(NamedTuple):
    """One version of everything the operators declare."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers_by_key: dict[str, Customer]
    limits: CallerLimits = CallerLimits()
    requires_key: bool = False
