"""Schema of the objects that operators declare and of the snapshot built from them.

Objects are transmitted and stored as JSON under the id ``<kind>/<name>``. A
`Configuration` is their validated, immutable form, which the other packages read.
"""

from typing import (
    Any,
    Literal,
    NamedTuple,
)

ObjectId = str
ObjectBody = dict[str, Any]

EngineRole = Literal["engine", "encoder", "retriever", "reranker", "service"]
OperatorRight = Literal["read", "plan", "confirm"]


class FailureDomain(NamedTuple):
    """`out` is True while the domain is out of service by an operator's order."""

    region: str
    out: bool = False


class Model(NamedTuple):
    version: str
    adapters: tuple[str, ...] = ()


class Replica(NamedTuple):
    """One backend server; `url` is its base URL."""

    replica_id: str
    url: str
    failure_domain: str
    draining: bool = False
    checks_fencing: bool = True


class Pool(NamedTuple):
    """Replicas that serve the same pipeline stage or single service.

    A replica may run `cold_slots` concurrent calls during a cold start and up to
    `warm_slots` once it is warm, which it is after `warm_up_calls` completed calls.
    """

    role: EngineRole
    replicas: tuple[Replica, ...]
    cold_slots: int
    warm_slots: int
    adapter: str = "plain_json"
    model: str = ""
    warm_up_calls: int = 20
    progress_limit_s: float = 2.0
    cost_per_busy_s: float = 1.0


class Stage(NamedTuple):
    """One step of a pipeline; `options` are passed to the backend server."""

    name: str
    pool: str
    options: dict[str, Any] = {}


class Pipeline(NamedTuple):
    stages: tuple[Stage, ...]


class RequestKind(NamedTuple):
    """How requests of one kind are served; set exactly one of `pipeline` and `service`.

    `service` names a pool. Requests with a lower `priority` number are served first.
    """

    deadline_s: float
    pipeline: str = ""
    service: str = ""
    priority: int = 5
    repeatable: bool = True
    max_tokens: int = 256


class Customer(NamedTuple):
    """`key_digests` hold results of `egretshed.configuration.keys.digest_key`."""

    key_digests: tuple[str, ...]
    share: float = 1.0


class Operator(NamedTuple):
    key_digests: tuple[str, ...]
    rights: tuple[OperatorRight, ...]


OBJECT_KINDS: dict[str, type] = {
    "failure_domains": FailureDomain,
    "models": Model,
    "pools": Pool,
    "pipelines": Pipeline,
    "kinds": RequestKind,
    "customers": Customer,
    "operators": Operator,
}


class Configuration(NamedTuple):
    """Validated snapshot of one version; the other fields map names to objects."""

    version: int
    failure_domains: dict[str, FailureDomain]
    models: dict[str, Model]
    pools: dict[str, Pool]
    pipelines: dict[str, Pipeline]
    kinds: dict[str, RequestKind]
    customers: dict[str, Customer]
    operators: dict[str, Operator]

    def is_in_service(self, replica: Replica) -> bool:
        """Return whether the declared state allows new work on the replica.

        The replica must not be draining and its failure domain must be in service.
        """
        domain = self.failure_domains.get(replica.failure_domain)
        return domain is not None and not domain.out and not replica.draining


EMPTY_CONFIGURATION = Configuration(0, {}, {}, {}, {}, {}, {}, {})
