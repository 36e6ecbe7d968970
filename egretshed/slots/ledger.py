"""The owner's record of what is lent on one replica.

A grant counts until the borrower has confirmed a newer one, or until it has expired and
the longest call that it allowed has ended. Counting the largest grant that a borrower
may still use makes lost, late and doubled messages harmless.
"""

import math
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import LoanDemand
from egretshed.invariants import require
from egretshed.slots.fair_allocation import allocate_fairly
from egretshed.slots.records import BorrowerId


class Grant(NamedTuple):
    """`ends_s` is when the longest call started under the grant has ended."""

    loan_id: int
    slots: int
    expires_s: float
    ends_s: float


class Loan:
    """All that one borrower may use or run; times on the owner's clock."""

    def __init__(self) -> None:
        self.grants: list[Grant] = []
        self.inherited: Grant | None = None
        self.running = 0
        self.running_until_s = -math.inf
        self.wanted = 0
        self.max_call_s = 0.0
        self.sequence = -1
        self.seen_s = -math.inf

    def committed(self, now_s: float) -> int:
        """Return the most calls that the borrower may have on the server."""
        self.grants = [grant for grant in self.grants if grant.ends_s > now_s]
        running = self.running if self.running_until_s > now_s else 0
        if self.inherited is not None and self.inherited.ends_s <= now_s:
            self.inherited = None
        inherited = self.inherited.slots if self.inherited else 0
        return max([running, inherited, *(grant.slots for grant in self.grants)])

    def latest_end_s(self) -> tuple[float, float]:
        """Return when the last grant expires and when its calls have ended."""
        grants = [*self.grants, *([self.inherited] if self.inherited else [])]
        expires_s = max((grant.expires_s for grant in grants), default=-math.inf)
        return expires_s, max((grant.ends_s for grant in grants), default=-math.inf)

    def slots(self) -> int:
        return self.grants[-1].slots if self.grants else 0


class ReplicaLedger:
    """Loans of one replica."""

    def __init__(self, env: Environment, replica_id: str):
        self.env = env
        self.replica_id = replica_id
        self.loans: dict[BorrowerId, Loan] = {}
        self._loan_id = 0

    def report(
        self, borrower: BorrowerId, demand: LoanDemand, sequence: int, now_s: float
    ) -> bool:
        """Apply what a borrower says; return False for a repeated or older message."""
        loan = self.loans.setdefault(borrower, Loan())
        if sequence <= loan.sequence:
            return False
        loan.sequence = sequence
        loan.seen_s = now_s
        loan.wanted = demand.wanted_slots
        loan.max_call_s = demand.longest_remaining_ms / 1000
        loan.running = demand.running_calls
        loan.running_until_s = now_s + loan.max_call_s
        self._confirm(loan, demand, now_s)
        return True

    def _confirm(self, loan: Loan, demand: LoanDemand, now_s: float) -> None:
        used = demand.loan_id or 0
        if demand.held_slots == 0:
            loan.grants = [grant for grant in loan.grants if grant.loan_id > used]
            return
        known = next((g for g in loan.grants if used and g.loan_id == used), None)
        if known is not None:
            self._forget_inherited(loan, known)
        loan.grants = [
            _returned(grant, demand.held_slots) if grant.loan_id == used else grant
            for grant in loan.grants
            if grant.loan_id >= used
        ]
        if known is None:
            self._count_earlier_owner(loan, demand, now_s)

    def _forget_inherited(self, loan: Loan, used: Grant) -> None:
        """Drop what the earlier owner lent once the borrower cannot use it any more.

        A grant of the earlier owner may still reach the borrower after a report. Only a
        report that names a grant made after the loan's end shows that it is over.
        """
        duration_s = self.env.settings.slots.loan_duration_s
        granted_s = used.expires_s - duration_s
        if loan.inherited is not None and loan.inherited.expires_s <= granted_s:
            loan.inherited = None

    def inherit(
        self,
        borrower: BorrowerId,
        grant: Grant,
        running: int,
        running_until_s,
        sequence,
    ) -> None:
        """Count what an earlier owner has lent to the borrower."""
        loan = self.loans.setdefault(borrower, Loan())
        loan.inherited = grant
        if loan.sequence < sequence:
            loan.sequence = sequence
            loan.running = running
            loan.running_until_s = running_until_s

    def _count_earlier_owner(self, loan: Loan, demand: LoanDemand, now_s: float):
        """Count slots lent by another owner, which end within a loan duration."""
        expires_s = now_s + self.env.settings.slots.loan_duration_s
        earlier = Grant(0, demand.held_slots, expires_s, expires_s + loan.max_call_s)
        loan.grants = [earlier, *(g for g in loan.grants if g.loan_id != 0)]

    def committed(self, now_s: float) -> int:
        return sum(loan.committed(now_s) for loan in self.loans.values())

    def running(self, now_s: float) -> int:
        return sum(
            loan.running for loan in self.loans.values() if loan.running_until_s > now_s
        )

    def lend(
        self, borrower: BorrowerId, amount: int, foreign: int, now_s: float
    ) -> Grant:
        """Grant the borrower its part of `amount`, less `foreign` calls of others.

        While others may have as many calls as the amount, the part is 0: after a limit
        was lowered nothing is lent until in flight is below it.
        """
        loan = self.loans[borrower]
        others = self.committed(now_s) - loan.committed(now_s) + foreign
        part = self._parts(amount - foreign, now_s).get(borrower, 0)
        slots = max(0, min(part, amount - others))
        expires_s = now_s + self.env.settings.slots.loan_duration_s
        return self._grant(loan, slots, others, amount, expires_s)

    def revoke(
        self, amount: int, foreign: int, now_s: float
    ) -> list[tuple[BorrowerId, Grant]]:
        """Return lower grants to send unasked if more is lent than `amount`."""
        total = self.committed(now_s) + foreign
        if total <= amount:
            return []
        lowered = []
        for borrower, loan in self.loans.items():
            others = total - loan.committed(now_s)
            slots = max(0, min(loan.slots(), amount - others))
            if slots < loan.slots():
                expires_s = loan.grants[-1].expires_s
                grant = self._grant(loan, slots, others, amount, expires_s)
                lowered.append((borrower, grant))
        return lowered

    def forget_ended(self, now_s: float) -> list[BorrowerId]:
        """Drop borrowers that were silent for a loan and have nothing left."""
        silent_s = now_s - self.env.settings.slots.loan_duration_s
        ended = [
            borrower
            for borrower, loan in self.loans.items()
            if loan.seen_s < silent_s and not loan.committed(now_s)
        ]
        for borrower in ended:
            del self.loans[borrower]
        return ended

    def _parts(self, slots: int, now_s: float) -> dict[BorrowerId, int]:
        duration_s = self.env.settings.slots.loan_duration_s
        wanted = {
            borrower: loan.wanted
            for borrower, loan in self.loans.items()
            if loan.seen_s + duration_s > now_s
        }
        return allocate_fairly(slots, wanted, turn=int(now_s / duration_s))

    def _grant(
        self, loan: Loan, slots: int, others: int, amount: int, expires_s: float
    ) -> Grant:
        require(
            self.env,
            slots == 0 or others + slots <= amount,
            "P2_lent_within_limit",
            replica_id=self.replica_id,
            slots=slots,
            others=others,
            amount=amount,
        )
        # Starts from the wall clock, so that ids also rise over a restart.
        self._loan_id = max(self._loan_id + 1, int(self.env.clock.wall_s() * 1e6))
        grant = Grant(self._loan_id, slots, expires_s, expires_s + loan.max_call_s)
        loan.grants.append(grant)
        return grant


def _returned(grant: Grant, held: int) -> Grant:
    """Return the grant less the slots that its borrower has given back."""
    return grant._replace(slots=min(grant.slots, held))
