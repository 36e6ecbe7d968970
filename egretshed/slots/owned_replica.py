"""Owner's state of one replica: ledger, warmth, share window and last load report."""

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

DEFAULT_MAX_CALL_S = 60.0
# Longer than the reply time of a server under full load, shorter than the timeout of a
# load poll, which is 1 s.
REPORT_OVERDUE_S = 0.8
UNATTRIBUTED_REPORT_COUNT = 3


def configured_max_call_s(configuration: Configuration) -> float:
    """Return the longest possible call: the longest deadline of all request kinds."""
    deadlines = [kind.deadline_s for kind in configuration.kinds.values()]
    return max(deadlines, default=DEFAULT_MAX_CALL_S)


class LostOwnership(NamedTuple):
    """State of lending when this node lost the ownership of a replica.

    `foreign_calls` of earlier owners may run until `foreign_calls_until_s`. `successor`
    is the process that has received the ledger.
    """

    lost_s: float
    share: Share
    foreign_calls: int
    foreign_calls_until_s: float
    successor: BorrowerId | None = None


class OwnedReplicaState:
    """Ledger, warmth, share window and load of one replica.

    Foreign calls are calls on loans of earlier owners that are not in this ledger.
    Until the longest of them has ended, their number is the minimum of the calls that
    the server reported after the earlier loans had expired. Without such a report
    nothing is lent.
    """

    def __init__(self, env: Environment, replica_id: str, now_s: float, wait_s: float):
        self.ledger = ReplicaLedger(env, replica_id)
        self.warmth = Warmth(now_s)
        self.share_window = ShareWindow(now_s, wait_s)
        self.report: LoadReport | None = None
        self.report_observed_s = now_s
        self.last_poll_s = -float("inf")
        self.unanswered_since_s: float | None = None  # First poll without a reply.
        self.accepts_new_work = False
        self.lost: LostOwnership | None = None
        self._unattributed_counts: deque[int] = deque(maxlen=UNATTRIBUTED_REPORT_COUNT)
        # `_foreign_calls` is valid while the epoch equals the window's resumption time.
        self._foreign_calls: int | None = None
        self._foreign_calls_epoch_s = 0.0
        self._foreign_calls_until_s = math.inf

    def record_poll(self, now_s: float) -> None:
        """Record that a load report was requested."""
        self.last_poll_s = now_s
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def limit(self, pool: Pool, now_s: float) -> int:
        """Return the slots of the server, with the cold limit while polls get no reply.

        A server that does not answer polls may have turned cold, and its calls would
        not show that before their progress limit.
        """
        limit = self.warmth.limit(pool)
        unanswered_since_s = self.unanswered_since_s
        if unanswered_since_s is None or now_s - unanswered_since_s < REPORT_OVERDUE_S:
            return limit
        return min(limit, pool.cold_slots)

    def record_load_report(self, report: LoadReport, now_s: float) -> None:
        self.unanswered_since_s = None
        self.report = report
        self._unattributed_counts.append(
            max(0, report.call_count() - self.ledger.running(now_s))
        )
        self.report_observed_s = now_s - report.age_s
        self.warmth.record_load_report(report, now_s)
        if self._foreign_calls_epoch_s != self.share_window.lending_resumes_s:
            self._foreign_calls = None
            self._foreign_calls_epoch_s = self.share_window.lending_resumes_s
            self._foreign_calls_until_s = math.inf
        if self.report_observed_s > self.share_window.lending_resumes_s:
            present_calls = report.in_flight + report.queued
            least_calls = (
                present_calls if self._foreign_calls is None else self._foreign_calls
            )
            self._foreign_calls = min(present_calls, least_calls)

    def continue_from(
        self, foreign_calls: int, foreign_calls_for_s: float, share: Share, now_s: float
    ) -> None:
        """Take over lending at once from an earlier owner that has stopped."""
        self.share_window.continue_from(share, now_s)
        self._foreign_calls = foreign_calls
        self._foreign_calls_epoch_s = self.share_window.lending_resumes_s
        self._foreign_calls_until_s = now_s + foreign_calls_for_s

    def foreign_calls_remaining_s(self, now_s: float, max_call_s: float) -> float:
        """Return for how long foreign calls may still run."""
        ends_s = self.share_window.lending_resumes_s + max_call_s
        if self._foreign_calls_epoch_s == self.share_window.lending_resumes_s:
            ends_s = min(ends_s, self._foreign_calls_until_s)
        return max(0.0, ends_s - now_s)

    def lendable(self, pool: Pool, now_s: float, max_call_s: float) -> int:
        """Return the slots that may be lent now, including those of foreign calls."""
        if not self.accepts_new_work or (self.report and self.report.leaving):
            return 0
        limit = self.limit(pool, now_s)
        lendable = self.share_window.lendable(limit, now_s, max_call_s)
        unused_slots = limit - self._unattributed_calls(now_s, max_call_s)
        return max(0, min(lendable, unused_slots))

    def _unattributed_calls(self, now_s: float, max_call_s: float) -> int:
        """Return the calls of a cold server that belong to no loan of this ledger.

        An owner in another partition may have lent its share of the warm limit before
        it knew that the server is cold. Those calls end within a loan duration and the
        longest call after the cold sign.
        """
        window_s = self.ledger.env.settings.slots.loan_duration_s + max_call_s
        if self.report is not None and self.warmth.turned_cold_after(now_s - window_s):
            return max(0, self.report.call_count() - self.ledger.running(now_s))
        if self.warmth.state is not WarmthState.COLD:
            return 0
        return self._lasting_unattributed_calls()

    def _lasting_unattributed_calls(self) -> int:
        """Return the minimum of unattributed calls over the last reports.

        A call cancelled by a node that has since stopped may run past its deadline on a
        slow server. A single report is not enough, since it may be older than the end
        of a call.
        """
        has_all_reports = (
            len(self._unattributed_counts) == self._unattributed_counts.maxlen
        )
        return min(self._unattributed_counts) if has_all_reports else 0

    def foreign_calls(self, pool: Pool, now_s: float, max_call_s: float) -> int:
        """Return the highest number of foreign calls that may be running, in slots."""
        if not self.foreign_calls_remaining_s(now_s, max_call_s):
            return 0
        is_current = self._foreign_calls_epoch_s == self.share_window.lending_resumes_s
        if not is_current or self._foreign_calls is None:
            return pool.warm_slots
        return self._foreign_calls

    def status(
        self, pool_name: str, pool: Pool, replica: Replica, now_s: float, max_call_s
    ) -> OwnedReplicaStatus:
        return OwnedReplicaStatus(
            replica_id=replica.replica_id,
            pool=pool_name,
            warmth=self.warmth.state.value,
            limit=self.limit(pool, now_s),
            lendable=self.lendable(pool, now_s, max_call_s),
            committed=self.ledger.committed(now_s),
            foreign_calls=self.foreign_calls(pool, now_s, max_call_s),
            in_flight=self.report.in_flight if self.report else 0,
            borrowers={
                borrower.node_id: loan.committed(now_s)
                for borrower, loan in self.ledger.loans.items()
            },
        )
