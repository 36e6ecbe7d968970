"""What this process knows of its own claims."""

from collections import OrderedDict
from enum import Enum

from egretshed.claims.records import Claim

STORED_OUTCOMES_BYTES = 16 * 1024 * 1024


class TrackedClaimState(Enum):
    """WRITING: not decided yet. BLOCKED: the write may still take effect. IDLE: ours,
    but its submission was answered `not_run`. RUNNING: given to a run. DONE: has an
    outcome that is not stored yet.
    """

    WRITING = "writing"
    BLOCKED = "blocked"
    IDLE = "idle"
    RUNNING = "running"
    DONE = "done"


class TrackedClaim:
    """A claim that this process has asked for; `body` is its outcome as JSON.

    `version` is the version of its table row as far as known.
    """

    __slots__ = ("body", "claim", "idle_since_s", "state", "version")

    def __init__(self, claim: Claim, state: TrackedClaimState, version: int):
        self.claim = claim
        self.state = state
        self.version = version
        self.body = b""
        self.idle_since_s = 0.0


class StoredBodies:
    """Outcomes that the table has, kept up to `limit_bytes`, oldest dropped first."""

    def __init__(self, limit_bytes: int = STORED_OUTCOMES_BYTES):
        self._limit_bytes = limit_bytes
        self._bodies: OrderedDict[str, tuple[Claim, bytes]] = OrderedDict()
        self._bytes = 0

    def add(self, claim: Claim, body: bytes) -> None:
        self._bodies[claim.key] = (claim, body)
        self._bytes += len(body)
        while self._bytes > self._limit_bytes:
            _, (_, dropped) = self._bodies.popitem(last=False)
            self._bytes -= len(dropped)

    def get(self, key: str) -> tuple[Claim, bytes] | None:
        return self._bodies.get(key)
