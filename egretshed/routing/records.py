"""Data types of routing: the call to place, its candidates and the decision."""

from typing import NamedTuple

from egretshed.configuration.schema import Replica
from egretshed.slots.records import (
    ReplicaView,
    Slot,
)


class StageCall(NamedTuple):
    """One attempt of a stage that needs a replica.

    The stage may take `remaining_s` seconds. `prefix` is the key by which engines cache
    the start of the prompt. Replicas in `excluded_replicas` were tried before and are
    not used; those in `excluded_domains` are used only if there is no other. Calls with
    a lower `priority` number get slots first.
    """

    request_id: str
    attempt_id: str
    customer_id: str
    stage: str
    pool: str
    remaining_s: float
    prefix: str = ""
    excluded_replicas: frozenset[str] = frozenset()
    excluded_domains: frozenset[str] = frozenset()
    priority: int = 0


class Candidate(NamedTuple):
    """A replica that the call may be placed on.

    `first_token_s` and `total_s` are averages of measured times, 0 without any.
    `prefix_match` is the share of the call's prefix that is expected to be cached, from
    0 to 1. `is_same_domain` tells whether it is in the failure domain of this node.
    """

    replica: Replica
    view: ReplicaView
    first_token_s: float
    total_s: float
    prefix_match: float
    is_same_domain: bool
    cost_per_busy_s: float


class RoutingDecision(NamedTuple):
    """The chosen replica; the call holds `slot` until `Router.observe` or `release`.

    `is_trial` marks the trial call of an open circuit breaker.
    """

    call: StageCall
    replica: Replica
    slot: Slot
    policy: str
    prefix_match: float
    decided_at_s: float
    is_trial: bool = False
