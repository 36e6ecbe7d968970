"""Borrower's state of one replica: its loan, running calls and demand."""

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

FIRST_TOKEN_EWMA_WEIGHT = 0.1


class BorrowedReplicaState:
    """Loan, calls and demand of one replica, with the load last reported by its owner.

    Times are monotonic seconds of this node. `max_call_s` is the longest call that the
    loan covers; `requested_max_call_s` is set while a longer call waits for a loan.
    """

    def __init__(self, replica_id: str):
        self.replica_id = replica_id
        self.owner = ""
        self.loan_id = 0
        self.slots = 0
        self.expires_s = 0.0
        self.max_call_s = 0.0
        self.requested_max_call_s = 0.0
        self.calls: dict[str, Slot] = {}
        self.waiting_calls = 0
        self.demand_hints = 0
        self.peak_calls = 0
        self.completed_calls = 0
        self.failed_calls = 0
        self.mean_first_token_s = 0.0
        self.cold_signs = 0
        self.limit = 0
        self.in_flight = 0
        self.warm = False
        self.load_observed_s = -float("inf")
        self.lending_resumes_s = -float("inf")

    def held(self, now_s: float) -> int:
        return self.slots if now_s < self.expires_s else 0

    def free(self, now_s: float) -> int:
        """Return the slots for new calls: 0 while a call waits for a longer loan."""
        if self.requested_max_call_s > self.max_call_s:
            return 0
        return max(0, self.held(now_s) - len(self.calls))

    def wanted(self) -> int:
        return max(
            len(self.calls) + max(self.waiting_calls, self.demand_hints),
            self.peak_calls,
        )

    def lacks_slots(self, now_s: float) -> bool:
        has_demand = self.waiting_calls or self.demand_hints
        return bool(has_demand) and not self.free(now_s)

    def is_active(self, now_s: float) -> bool:
        return bool(self.wanted() or self.held(now_s) or self.cold_signs)

    def drop_loan(self) -> None:
        """Stop using the loan until a newer grant replaces it."""
        self.slots = 0

    def release_unneeded(self) -> None:
        """Reduce the loan to the demand; the next request returns the other slots."""
        self.slots = min(self.slots, self.wanted())

    def record_call_end(self, slot: Slot, observation: CallObservation) -> None:
        self.calls.pop(slot.attempt_id, None)
        if not observation.completed:
            self.failed_calls += 1
        else:
            self.completed_calls += 1
            difference_s = observation.first_token_s - self.mean_first_token_s
            self.mean_first_token_s += difference_s * FIRST_TOKEN_EWMA_WEIGHT
        if observation.seems_cold:
            self.cold_signs += 1
            self.drop_loan()

    def demand(self, owner: str, max_call_s: float, now_s: float) -> LoanDemand:
        """Return this replica's entry of a request to `owner`.

        The loan id is 0 if the loan came from another owner, whose ids differ.
        """
        remaining_s = max([slot.ends_s - now_s for slot in self.calls.values()] or [0])
        max_call_s = max(max_call_s, self.requested_max_call_s, remaining_s)
        return LoanDemand(
            replica_id=self.replica_id,
            wanted_slots=self.wanted(),
            held_slots=self.held(now_s),
            running_calls=len(self.calls),
            longest_remaining_ms=math.ceil(max_call_s * 1000),
            first_token_p95_ms=int(self.mean_first_token_s * 1000) or None,
            completed_calls=self.completed_calls,
            failed_calls=self.failed_calls,
            seems_cold=bool(self.cold_signs) or None,
            loan_id=self.loan_id if self.owner == owner else 0,
        )

    def decay_demand(self) -> None:
        """Decay past demand, so that unused slots are returned within a few periods."""
        self.peak_calls = max(len(self.calls), (self.peak_calls + len(self.calls)) // 2)
        self.demand_hints = 0

    def confirm_cold_signs(self, reported_signs: int) -> None:
        self.cold_signs = max(0, self.cold_signs - reported_signs)

    def apply_grant(
        self, owner: str, grant: LoanGrant, sent_s: float, max_call_s: float
    ):
        """Apply the grant in the reply to a request that was sent at `sent_s`.

        The loan runs from `sent_s`, so that it ends here before it does at the owner.
        A new owner's empty grant does not end a loan that is still valid.
        """
        self._record_load(grant, sent_s)
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

    def apply_revocation(self, owner: str, grant: LoanGrant, now_s: float) -> None:
        """Apply an unsolicited grant, which can lower the loan but not extend it."""
        if owner != self.owner or grant.loan_id <= self.loan_id:
            return
        self._record_load(grant, now_s)
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
            load_age_s=now_s - self.load_observed_s,
            lends_after_s=max(0.0, self.lending_resumes_s - now_s),
        )

    def _record_load(self, grant: LoanGrant, sent_s: float) -> None:
        self.limit = grant.limit_slots
        self.in_flight = grant.in_flight_calls
        self.warm = grant.warm
        self.load_observed_s = sent_s - (grant.load_age_ms or 0) / 1000
        self.lending_resumes_s = sent_s + (grant.lends_after_ms or 0) / 1000
