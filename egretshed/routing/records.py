"""Records of routing: the call to place, the candidates and the decision."""

from typing import NamedTuple

from egretshed.configuration.schema import Replica
from egretshed.slots.records import (
    ReplicaView,
    Slot,
)


class StageCall(NamedTuple):
    """One attempt to place.

    `remaining_s` is what the stage may take. `prefix` is the start of the prompt, by
    which engines cache. `excluded_replicas` were tried before; replicas in
    `excluded_domains` are used only if there is no other. Calls with a lower `priority`
    number get slots first.
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
    """A replica that may take the call.

    `first_token_s` and `total_s` are its measured usual times; `prefix_match` is the
    share of the call's prefix believed cached, from 0 to 1.
    """

    replica: Replica
    view: ReplicaView
    first_token_s: float
    total_s: float
    prefix_match: float
    is_near: bool
    cost_per_busy_s: float


class RoutingDecision(NamedTuple):
    """Where the call goes; it holds `slot` until `Router.observe`."""

    call: StageCall
    replica: Replica
    slot: Slot
    policy: str
    prefix_match: float
    decided_s: float
    is_trial: bool = False
