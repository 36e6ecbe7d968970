"""Configuration that operators declare: routes, services, customers and limits.

A `ServingConfiguration` is an immutable snapshot, decoded by the platform adapter.
"""

from enum import Enum
from typing import NamedTuple


class RouteType(Enum):
    """Type of a route: decides what may be retried within one client request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service and its share of the requests of a route, by relative weight."""

    service: str
    weight: float


class StageSpec(NamedTuple):
    """Stage that runs before a request.

    `after` lists the indexes of the stages whose results it needs. `result_bytes` is
    the declared size of its result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """Handling of the requests of one host and path prefix.

    `latency_target_s` is the latency objective: the time to the complete response, or
    to the first event of a stream, within which a response earns full credit.
    `event_interval_target_s` is the objective for the time between events of a stream.
    A route without services is known, and its requests are refused.
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
        """Return whether a request that may have run may be sent again."""
        return self.route_type is RouteType.IDEMPOTENT or self.is_resumable

    def sink_stages(self) -> tuple[int, ...]:
        """Return the stages whose results the request itself needs, by index.

        These are the stages that no other stage depends on.
        """
        required = {index for stage in self.stages for index in stage.after}
        return tuple(i for i in range(len(self.stages)) if i not in required)


class EngineLimits(NamedTuple):
    """Capacity of one replica of a model engine."""

    slots: int
    cache_tokens: int


class StageLimits(NamedTuple):
    """Capacity and call times of one replica of a stage service.

    A call of n items takes `call_s + n * item_s`. Results stay on the replica for
    `result_ttl_s`, within `result_capacity_bytes`.
    """

    slots: int
    batch_items: int
    call_s: float
    item_s: float
    result_capacity_bytes: int
    result_ttl_s: float


class Service(NamedTuple):
    """Group of interchangeable backend servers."""

    name: str
    max_connections: int
    cold_requests_per_s: float
    engine: EngineLimits | None = None
    stage: StageLimits | None = None


class CallerLimits(NamedTuple):
    """Limits on the size and time of requests of one caller."""

    header_bytes: int = 65536
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Customer(NamedTuple):
    """Holder of an API key. Its priority, if set, overrides that of the route."""

    name: str
    priority: int | None = None


class ServingConfiguration(NamedTuple):
    """One version of the complete configuration that operators declare.

    With `requires_key`, requests to routes that are not public need a known key.
    `customer_names` lists the customers as declared, also those without a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers_by_key: dict[str, Customer]
    limits: CallerLimits = CallerLimits()
    requires_key: bool = False
    customer_names: tuple[str, ...] = ()
