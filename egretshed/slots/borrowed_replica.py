"""The borrower's record of one replica: its loan, calls and demand."""

import math

from egretshed.gen.messages.ttypes import (
    LoanDemand,
    LoanGrant,
)
from egretshed.slots.records import (
    CallObservation,
    ReplicaView,
    Slot,
)

LATENCY_WEIGHT = 0.1


class BorrowedReplicaState:
    """Times on this node's clock; `max_call_s` is what the loan allows a call."""

    def __init__(self, replica_id: str):
        self.replica_id = replica_id
        self.owner = ""
        self.loan_id = 0
        self.slots = 0
        self.expires_s = 0.0
        self.max_call_s = 0.0
        self.requested_max_call_s = 0.0
        self.calls: dict[str, Slot] = {}
        self.waiting = 0
        self.hints = 0
        self.peak = 0
        self.completed = 0
        self.failed = 0
        self.first_token_s = 0.0
        self.cold_signs = 0
        self.limit = 0
        self.in_flight = 0
        self.warm = False
        self.load_seen_s = -float("inf")
        self.lends_from_s = -float("inf")

    def held(self, now_s: float) -> int:
        return self.slots if now_s < self.expires_s else 0

    def free(self, now_s: float) -> int:
        """Return slots for new calls; none while a longer call waits for its loan."""
        if self.requested_max_call_s > self.max_call_s:
            return 0
        return max(0, self.held(now_s) - len(self.calls))

    def wanted(self) -> int:
        return max(len(self.calls) + max(self.waiting, self.hints), self.peak)

    def is_short(self, now_s: float) -> bool:
        asked = self.waiting or self.hints
        return bool(asked) and not self.free(now_s)

    def is_active(self, now_s: float) -> bool:
        return bool(self.wanted() or self.held(now_s) or self.cold_signs)

    def drop(self) -> None:
        """Use the loan no more; a newer grant replaces it."""
        self.slots = 0

    def give_up_unwanted(self) -> None:
        """Stop using slots beyond the demand; the next request returns them."""
        self.slots = min(self.slots, self.wanted())

    def observe(self, slot: Slot, observation: CallObservation) -> None:
        self.calls.pop(slot.attempt_id, None)
        if not observation.completed:
            self.failed += 1
        else:
            self.completed += 1
            late_s = observation.first_token_s - self.first_token_s
            self.first_token_s += late_s * LATENCY_WEIGHT
        if observation.seems_cold:
            self.cold_signs += 1
            self.drop()

    def demand(self, owner: str, max_call_s: float, now_s: float) -> LoanDemand:
        """Return what to tell `owner`; a loan from another owner has no id there."""
        remaining_s = max([slot.ends_s - now_s for slot in self.calls.values()] or [0])
        max_call_s = max(max_call_s, self.requested_max_call_s, remaining_s)
        return LoanDemand(
            replica_id=self.replica_id,
            wanted_slots=self.wanted(),
            held_slots=self.held(now_s),
            running_calls=len(self.calls),
            longest_remaining_ms=math.ceil(max_call_s * 1000),
            first_token_p95_ms=int(self.first_token_s * 1000) or None,
            completed_calls=self.completed,
            failed_calls=self.failed,
            seems_cold=bool(self.cold_signs) or None,
            loan_id=self.loan_id if self.owner == owner else 0,
        )

    def note_sent(self) -> None:
        """Let past demand fade, so that unused slots go back within a few periods."""
        self.peak = max(len(self.calls), (self.peak + len(self.calls)) // 2)
        self.hints = 0

    def confirm_signs(self, sent_signs: int) -> None:
        self.cold_signs = max(0, self.cold_signs - sent_signs)

    def accept(self, owner: str, grant: LoanGrant, sent_s: float, max_call_s: float):
        """Apply the reply to a request sent at `sent_s`."""
        self._note_load(grant, sent_s)
        if self.owner != owner:
            if not grant.slots and sent_s < self.expires_s:
                return
            self.owner = owner
        elif grant.loan_id <= self.loan_id and sent_s < self.expires_s:
            return
        self.loan_id = grant.loan_id
        self.slots = grant.slots
        self.max_call_s = max_call_s
        self.expires_s = sent_s + grant.duration_ms / 1000
        if not self.slots and not self.calls:
            self.requested_max_call_s = 0.0

    def lower(self, owner: str, grant: LoanGrant, now_s: float) -> None:
        """Apply an unasked reply, which never extends the loan."""
        if owner != self.owner or grant.loan_id <= self.loan_id:
            return
        self._note_load(grant, now_s)
        self.loan_id = grant.loan_id
        self.slots = min(self.slots, grant.slots)

    def view(self, now_s: float) -> ReplicaView:
        return ReplicaView(
            replica_id=self.replica_id,
            free=self.free(now_s),
            held=self.held(now_s),
            running=len(self.calls),
            limit=self.limit,
            in_flight=self.in_flight,
            warm=self.warm,
            load_age_s=now_s - self.load_seen_s,
            lends_after_s=max(0.0, self.lends_from_s - now_s),
        )

    def _note_load(self, grant: LoanGrant, sent_s: float) -> None:
        self.limit = grant.limit_slots
        self.in_flight = grant.in_flight_calls
        self.warm = grant.warm
        self.load_seen_s = sent_s - (grant.load_age_ms or 0) / 1000
        self.lends_from_s = sent_s + (grant.lends_after_ms or 0) / 1000
