"""Ledger of an owner: the loans of one replica.

A grant counts until the borrower has confirmed a newer one, or until it has expired and
the longest call that it covered has ended. The ledger counts the largest grant that a
borrower may still use, so that lost, late and duplicate messages cannot lead to
overcommitment.
"""

import math
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import LoanDemand
from egretshed.invariants import require
from egretshed.slots.fair_allocation import allocate_fairly
from egretshed.slots.records import BorrowerId


class Grant(NamedTuple):
    """Slots granted to a borrower until `expires_s`.

    All calls started under the grant have ended by `ends_s`.
    """

    loan_id: int
    slots: int
    expires_s: float
    ends_s: float


class Loan:
    """Grants and running calls of one borrower, on the owner's clock.

    `inherited` stands for the grants that an earlier owner has handed over.
    """

    def __init__(self) -> None:
        self.grants: list[Grant] = []
        self.inherited: Grant | None = None
        self.running = 0
        self.running_until_s = -math.inf
        self.wanted = 0
        self.max_call_s = 0.0
        self.sequence = -1
        self.reported_s = -math.inf

    def committed(self, now_s: float) -> int:
        """Return the highest number of calls that the borrower may have running."""
        self.grants = [grant for grant in self.grants if grant.ends_s > now_s]
        running = self.running if self.running_until_s > now_s else 0
        if self.inherited is not None and self.inherited.ends_s <= now_s:
            self.inherited = None
        inherited = self.inherited.slots if self.inherited else 0
        return max([running, inherited, *(grant.slots for grant in self.grants)])

    def latest_end_s(self) -> tuple[float, float]:
        """Return when the last grant expires and when the last call has ended."""
        grants = [*self.grants, *([self.inherited] if self.inherited else [])]
        expires_s = max((grant.expires_s for grant in grants), default=-math.inf)
        return expires_s, max((grant.ends_s for grant in grants), default=-math.inf)

    def slots(self) -> int:
        return self.grants[-1].slots if self.grants else 0


class ReplicaLedger:
    """Loans of one replica, by borrower."""

    def __init__(self, env: Environment, replica_id: str):
        self.env = env
        self.replica_id = replica_id
        self.loans: dict[BorrowerId, Loan] = {}
        self._loan_id = 0

    def report(
        self, borrower: BorrowerId, demand: LoanDemand, sequence: int, now_s: float
    ) -> bool:
        """Apply a borrower's report; return False for a duplicate or older message."""
        loan = self.loans.setdefault(borrower, Loan())
        if sequence <= loan.sequence:
            return False
        loan.sequence = sequence
        loan.reported_s = now_s
        loan.wanted = demand.wanted_slots
        loan.max_call_s = demand.longest_remaining_ms / 1000
        loan.running = demand.running_calls
        loan.running_until_s = now_s + loan.max_call_s
        self._apply_confirmation(loan, demand, now_s)
        return True

    def _apply_confirmation(self, loan: Loan, demand: LoanDemand, now_s: float) -> None:
        used_id = demand.loan_id or 0
        if demand.held_slots == 0:
            loan.grants = [grant for grant in loan.grants if grant.loan_id > used_id]
            return
        used_grant = next(
            (g for g in loan.grants if used_id and g.loan_id == used_id), None
        )
        if used_grant is not None:
            self._drop_replaced_inheritance(loan, used_grant)
        loan.grants = [
            _reduced_to(grant, demand.held_slots) if grant.loan_id == used_id else grant
            for grant in loan.grants
            if grant.loan_id >= used_id
        ]
        if used_grant is None:
            self._count_loan_of_earlier_owner(loan, demand, now_s)

    def _drop_replaced_inheritance(self, loan: Loan, used_grant: Grant) -> None:
        """Drop the inherited grant once the borrower cannot use it any more.

        A grant of the earlier owner may reach the borrower after a report was sent.
        Only a report that names a grant made after the inherited one expired proves
        that the borrower has replaced it.
        """
        duration_s = self.env.settings.slots.loan_duration_s
        granted_s = used_grant.expires_s - duration_s
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
        """Count the slots that an earlier owner has lent to the borrower."""
        loan = self.loans.setdefault(borrower, Loan())
        loan.inherited = grant
        if loan.sequence < sequence:
            loan.sequence = sequence
            loan.running = running
            loan.running_until_s = running_until_s

    def _count_loan_of_earlier_owner(
        self, loan: Loan, demand: LoanDemand, now_s: float
    ):
        """Count slots lent by another owner; they expire within a loan duration."""
        expires_s = now_s + self.env.settings.slots.loan_duration_s
        earlier_grant = Grant(
            0, demand.held_slots, expires_s, expires_s + loan.max_call_s
        )
        loan.grants = [earlier_grant, *(g for g in loan.grants if g.loan_id != 0)]

    def committed(self, now_s: float) -> int:
        return sum(loan.committed(now_s) for loan in self.loans.values())

    def running(self, now_s: float) -> int:
        return sum(
            loan.running for loan in self.loans.values() if loan.running_until_s > now_s
        )

    def lend(
        self, borrower: BorrowerId, lendable: int, foreign_calls: int, now_s: float
    ) -> Grant:
        """Grant the borrower its fair share of `lendable` slots less `foreign_calls`.

        The grant is empty while the other borrowers may have `lendable` calls or more:
        after a limit was lowered, nothing is lent until the calls in flight are below
        it.
        """
        loan = self.loans[borrower]
        others = self.committed(now_s) - loan.committed(now_s) + foreign_calls
        fair_slots = self._allocation(lendable - foreign_calls, now_s).get(borrower, 0)
        slots = max(0, min(fair_slots, lendable - others))
        expires_s = now_s + self.env.settings.slots.loan_duration_s
        return self._grant(loan, slots, others, lendable, expires_s)

    def revoke(
        self, lendable: int, foreign_calls: int, now_s: float
    ) -> list[tuple[BorrowerId, Grant]]:
        """Return lowered grants to send unsolicited if more than `lendable` is lent."""
        total = self.committed(now_s) + foreign_calls
        if total <= lendable:
            return []
        lowered_grants = []
        for borrower, loan in self.loans.items():
            others = total - loan.committed(now_s)
            slots = max(0, min(loan.slots(), lendable - others))
            if slots < loan.slots():
                expires_s = loan.grants[-1].expires_s
                grant = self._grant(loan, slots, others, lendable, expires_s)
                lowered_grants.append((borrower, grant))
        return lowered_grants

    def remove_ended(self, now_s: float) -> list[BorrowerId]:
        """Drop borrowers without slots that were silent for a loan duration."""
        silent_since_s = now_s - self.env.settings.slots.loan_duration_s
        ended = [
            borrower
            for borrower, loan in self.loans.items()
            if loan.reported_s < silent_since_s and not loan.committed(now_s)
        ]
        for borrower in ended:
            del self.loans[borrower]
        return ended

    def _allocation(self, slots: int, now_s: float) -> dict[BorrowerId, int]:
        duration_s = self.env.settings.slots.loan_duration_s
        wanted = {
            borrower: loan.wanted
            for borrower, loan in self.loans.items()
            if loan.reported_s + duration_s > now_s
        }
        return allocate_fairly(slots, wanted, rotation=int(now_s / duration_s))

    def _grant(
        self, loan: Loan, slots: int, others: int, lendable: int, expires_s: float
    ) -> Grant:
        require(
            self.env,
            slots == 0 or others + slots <= lendable,
            "P2_lent_within_limit",
            replica_id=self.replica_id,
            slots=slots,
            others=others,
            amount=lendable,
        )
        # Based on the wall clock, so that ids keep increasing after a restart.
        self._loan_id = max(self._loan_id + 1, int(self.env.clock.wall_s() * 1e6))
        grant = Grant(self._loan_id, slots, expires_s, expires_s + loan.max_call_s)
        loan.grants.append(grant)
        return grant


def _reduced_to(grant: Grant, held_slots: int) -> Grant:
    """Return the grant less the slots that its borrower has returned."""
    return grant._replace(slots=min(grant.slots, held_slots))
