"""What operators declare: objects by kind and name, and the snapshot built from them.

Objects travel and are stored as JSON by id ``<kind>/<name>``; a `Configuration` is the
immutable, checked form that the other slices read.
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
    """`out` is True while operators have taken the domain out of service."""

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
    """Replicas that serve the same stage or plain service.

    `cold_slots` is what a server carries during a cold start, `warm_slots` at most when
    warm; `warm_up_calls` completed calls take it from one to the other.
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
    """A pipeline step; `options` go to the backend server with the call."""

    name: str
    pool: str
    options: dict[str, Any] = {}


class Pipeline(NamedTuple):
    stages: tuple[Stage, ...]


class RequestKind(NamedTuple):
    """Rules of one kind of request; exactly one of `pipeline` and `service` is set.

    Lower `priority` numbers go first.
    """

    deadline_s: float
    pipeline: str = ""
    service: str = ""
    priority: int = 5
    repeatable: bool = True
    max_tokens: int = 256


class Customer(NamedTuple):
    """`key_digests` are from `egretshed.configuration.keys.digest_key`."""

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
    """Checked snapshot of one version; each field maps names to objects."""

    version: int
    failure_domains: dict[str, FailureDomain]
    models: dict[str, Model]
    pools: dict[str, Pool]
    pipelines: dict[str, Pipeline]
    kinds: dict[str, RequestKind]
    customers: dict[str, Customer]
    operators: dict[str, Operator]

    def is_in_service(self, replica: Replica) -> bool:
        """Whether the replica may get new work as far as operators have declared."""
        domain = self.failure_domains.get(replica.failure_domain)
        return domain is not None and not domain.out and not replica.draining


EMPTY_CONFIGURATION = Configuration(0, {}, {}, {}, {}, {}, {}, {})
