"""Claims of this process until their outcome is stored, and a cache of outcomes."""

from collections import OrderedDict
from enum import Enum

from egretshed.claims.records import Claim

STORED_OUTCOMES_LIMIT_BYTES = 16 * 1024 * 1024


class TrackedClaimState(Enum):
    """State of a claim in this process.

    - WRITING: its row is being written; the claim is not decided yet.
    - BLOCKED: undecided after a failed write that may still take effect.
    - IDLE: this process owns the claim but no run has it, as its submission was
      answered ``not_run``.
    - RUNNING: handed out to a run.
    - DONE: it has an outcome that is not stored yet.
    """

    WRITING = "writing"
    BLOCKED = "blocked"
    IDLE = "idle"
    RUNNING = "running"
    DONE = "done"


class TrackedClaim:
    """A claim that this process has requested; `body` is its outcome as JSON.

    `version` is the last known version of its table row.
    """

    __slots__ = ("body", "claim", "idle_since_s", "state", "version")

    def __init__(self, claim: Claim, state: TrackedClaimState, version: int):
        self.claim = claim
        self.state = state
        self.version = version
        self.body = b""
        self.idle_since_s = 0.0


class StoredOutcomeCache:
    """Cache of outcomes that are stored in the table; evicts the oldest by size."""

    def __init__(self, limit_bytes: int = STORED_OUTCOMES_LIMIT_BYTES):
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
