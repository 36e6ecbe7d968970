"""Records shared between slots, routing and the operators' status pages."""

from typing import NamedTuple


class BorrowerId(NamedTuple):
    """One process of a node.

    A restarted node is another borrower, since calls of its earlier process may still
    be running.
    """

    node_id: str
    incarnation: int


class Slot(NamedTuple):
    """Permit for one call on a replica, until `Borrower.release`.

    `ends_s` is the latest end of the call on this node's monotonic clock.
    """

    replica_id: str
    attempt_id: str
    ends_s: float


class CallObservation(NamedTuple):
    """Observation of a server from one finished call.

    `seems_cold` is set if the call indicates that the server has turned cold.
    """

    completed: bool
    first_token_s: float = 0.0
    total_s: float = 0.0
    seems_cold: bool = False


class ReplicaView(NamedTuple):
    """State of a replica as this node knows it.

    `free` and `held` are slots on loan to this node, `running` its own calls. `limit`
    and `in_flight` (calls of all borrowers) are the owner's last report, `load_age_s`
    its age, infinite before the first one. `lends_after_s` is the time for which the
    owner lends no slots to any borrower, 0 if it has announced none.
    """

    replica_id: str
    free: int = 0
    held: int = 0
    running: int = 0
    limit: int = 0
    in_flight: int = 0
    warm: bool = False
    load_age_s: float = float("inf")
    lends_after_s: float = 0.0


class OwnedReplicaStatus(NamedTuple):
    """Status of a replica that this node owns.

    `lendable` includes the slots already lent. `committed` slots are lent or may still
    be used by running calls. `foreign_calls` run on loans of earlier owners.
    """

    replica_id: str
    pool: str
    warmth: str
    limit: int
    lendable: int
    committed: int
    foreign_calls: int
    in_flight: int
    borrowers: dict[str, int]
