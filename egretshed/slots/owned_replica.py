"""All that an owner keeps of one replica."""

import math
from collections import deque
from typing import NamedTuple

from egretshed.backends.interface import LoadReport
from egretshed.configuration.schema import (
    Configuration,
    Pool,
    Replica,
)
from egretshed.environment import Environment
from egretshed.slots.ledger import ReplicaLedger
from egretshed.slots.records import (
    BorrowerId,
    OwnedReplicaStatus,
)
from egretshed.slots.share import (
    Share,
    ShareWindow,
)
from egretshed.slots.warmth import (
    Warmth,
    WarmthState,
)

DEFAULT_LONGEST_CALL_S = 60.0
# Beyond the reply time of a server under full load, within the call's timeout of 1 s.
REPORT_OVERDUE_S = 0.8
STEADY_REPORTS = 3


def configured_max_call_s(configuration: Configuration) -> float:
    """Return the longest that a call can last: the longest deadline of any kind."""
    deadlines = [kind.deadline_s for kind in configuration.kinds.values()]
    return max(deadlines, default=DEFAULT_LONGEST_CALL_S)


class LostOwnership(NamedTuple):
    """How this node lent a replica until another one became its owner.

    `foreign` calls of earlier owners may run until `foreign_until_s`; `taker` is the
    process that has the ledger.
    """

    at_s: float
    share: Share
    foreign: int
    foreign_until_s: float
    taker: BorrowerId | None = None


class OwnedReplicaState:
    """Ledger, warmth, share and load of one replica.

    `foreign` counts calls that earlier owners lent and this one cannot attribute.
    Until the longest such call has ended, it is the least in flight that the server
    reported after the earlier loans expired; with no such report nothing is lent.
    """

    def __init__(self, env: Environment, replica_id: str, now_s: float, wait_s: float):
        self.ledger = ReplicaLedger(env, replica_id)
        self.warmth = Warmth(now_s)
        self.window = ShareWindow(now_s, wait_s)
        self.report: LoadReport | None = None
        self.report_seen_s = now_s
        self.polled_s = -float("inf")
        self.unanswered_s: float | None = None  # Since when polls have no reply.
        self.may_get_work = False
        self.lost: LostOwnership | None = None
        self._unknown: deque[int] = deque(maxlen=STEADY_REPORTS)
        self._foreign: int | None = None
        self._foreign_for_s = 0.0
        self._foreign_until_s = math.inf

    def note_poll(self, now_s: float) -> None:
        """Note that a load report was asked for."""
        self.polled_s = now_s
        if self.unanswered_s is None:
            self.unanswered_s = now_s

    def limit(self, pool: Pool, now_s: float) -> int:
        """Return what the server can carry, as far as is known.

        A server that answers no poll may have turned cold meanwhile; no call of such a
        server would tell before its progress limit.
        """
        limit = self.warmth.limit(pool)
        unanswered_s = self.unanswered_s
        if unanswered_s is None or now_s - unanswered_s < REPORT_OVERDUE_S:
            return limit
        return min(limit, pool.cold_slots)

    def record_load_report(self, report: LoadReport, now_s: float) -> None:
        self.unanswered_s = None
        self.report = report
        self._unknown.append(max(0, report.present() - self.ledger.running(now_s)))
        self.report_seen_s = now_s - report.age_s
        self.warmth.note_report(report, now_s)
        if self._foreign_for_s != self.window.resumes_s:
            self._foreign = None
            self._foreign_for_s = self.window.resumes_s
            self._foreign_until_s = math.inf
        if self.report_seen_s > self.window.resumes_s:
            present = report.in_flight + report.queued
            known = present if self._foreign is None else self._foreign
            self._foreign = min(present, known)

    def continue_from(
        self, foreign: int, foreign_for_s: float, share: Share, now_s: float
    ) -> None:
        """Lend from now on in place of an earlier owner that has stopped."""
        self.window.continue_from(share, now_s)
        self._foreign = foreign
        self._foreign_for_s = self.window.resumes_s
        self._foreign_until_s = now_s + foreign_for_s

    def foreign_left_s(self, now_s: float, max_call_s: float) -> float:
        """Return for how long calls of earlier owners may still run."""
        ends_s = self.window.resumes_s + max_call_s
        if self._foreign_for_s == self.window.resumes_s:
            ends_s = min(ends_s, self._foreign_until_s)
        return max(0.0, ends_s - now_s)

    def amount(self, pool: Pool, now_s: float, max_call_s: float) -> int:
        """Return the slots that may be lent now, foreign calls included."""
        if not self.may_get_work or (self.report and self.report.leaving):
            return 0
        limit = self.limit(pool, now_s)
        lendable = self.window.lendable(limit, now_s, max_call_s)
        left = limit - self._unknown_calls(now_s, max_call_s)
        return max(0, min(lendable, left))

    def _unknown_calls(self, now_s: float, max_call_s: float) -> int:
        """Return reported calls beyond the ledger's, once the server turned cold.

        The owner in another partition may have lent its share of the warm limit; those
        calls end within a loan duration and the longest call of the sign.
        """
        lasts_s = self.ledger.env.settings.slots.loan_duration_s + max_call_s
        if self.report is not None and self.warmth.turned_cold_after(now_s - lasts_s):
            return max(0, self.report.present() - self.ledger.running(now_s))
        if self.warmth.state is not WarmthState.COLD:
            return 0
        return self._steady_unknown_calls()

    def _steady_unknown_calls(self) -> int:
        """Return the calls that none of the last reports can attribute to a loan.

        A call that was cancelled by a node that has ended may run on at a slow server
        for longer than its deadline. One report alone may just be older than the end of
        a call.
        """
        full = len(self._unknown) == self._unknown.maxlen
        return min(self._unknown) if full else 0

    def foreign(self, pool: Pool, now_s: float, max_call_s: float) -> int:
        """Return the calls, in slots, that earlier owners may have left running."""
        if not self.foreign_left_s(now_s, max_call_s):
            return 0
        current = self._foreign_for_s == self.window.resumes_s
        if not current or self._foreign is None:
            return pool.warm_slots
        return self._foreign

    def status(
        self, pool_name: str, pool: Pool, replica: Replica, now_s: float, max_call_s
    ) -> OwnedReplicaStatus:
        return OwnedReplicaStatus(
            replica_id=replica.replica_id,
            pool=pool_name,
            warmth=self.warmth.state.value,
            limit=self.limit(pool, now_s),
            lendable=self.amount(pool, now_s, max_call_s),
            committed=self.ledger.committed(now_s),
            foreign=self.foreign(pool, now_s, max_call_s),
            in_flight=self.report.in_flight if self.report else 0,
            borrowers={
                borrower.node_id: loan.committed(now_s)
                for borrower, loan in self.ledger.loans.items()
            },
        )
