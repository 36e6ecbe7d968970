"""Records that slots exchange with routing and with operators' status pages."""

from typing import NamedTuple


class BorrowerId(NamedTuple):
    """A restarted node is another borrower: its earlier calls may still run."""

    node_id: str
    incarnation: int


class Slot(NamedTuple):
    """Right to run one call on a replica; given back by `Borrower.release`."""

    replica_id: str
    attempt_id: str
    ends_s: float


class CallObservation(NamedTuple):
    """What a finished call showed of its server; times in seconds."""

    completed: bool
    first_token_s: float = 0.0
    total_s: float = 0.0
    seems_cold: bool = False


class ReplicaView(NamedTuple):
    """What this node knows of a replica.

    `limit` and `in_flight` (calls, all borrowers) are the owner's, `load_age_s` their
    age; it is infinite if the owner has not answered yet. `lends_after_s` is how long
    the owner will lend nothing to anyone, as far as it has said.
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
    """Status of a replica that this node owns; amounts in slots or calls."""

    replica_id: str
    pool: str
    warmth: str
    limit: int
    lendable: int
    committed: int
    foreign: int
    in_flight: int
    borrowers: dict[str, int]
