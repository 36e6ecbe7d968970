"""What a server can carry: cold, warming or warm, learned from lagging signs."""

from enum import StrEnum

from egretshed.backends.interface import LoadReport
from egretshed.configuration.schema import Pool
from egretshed.gen.messages.ttypes import HandedWarmth
from egretshed.slots.records import BorrowerId


class WarmthState(StrEnum):
    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class Warmth:
    """Warmth of one replica.

    A server stays at the cold limit for `warm_up_calls` completed calls, since it may
    become warm in one step at the end; the next `warm_up_calls` raise the limit
    evenly, since a step to full load is what a wrong guess could not survive. A load
    report of a warm server ends the first part, and both if no sign of coldness was
    seen, as after a change of owner. A cold report holds the server at the cold limit.
    """

    def __init__(self, now_s: float):
        self.state = WarmthState.COLD
        self.completed = 0
        self._cold_sign_s = now_s
        self._has_cold_sign = False
        self._reported_cold = False
        self._changed_s = now_s
        self._counts: dict[BorrowerId, int] = {}

    def limit(self, pool: Pool) -> int:
        """Return how many calls the server may have, in slots."""
        if self.state is WarmthState.COLD:
            return pool.cold_slots
        if self.state is WarmthState.WARM:
            return pool.warm_slots
        step = (pool.warm_slots - pool.cold_slots) * self.completed
        return pool.cold_slots + step // max(1, pool.warm_up_calls)

    def turned_cold_after(self, since_s: float) -> bool:
        """Return whether the server is cold by a sign that is newer than `since_s`."""
        is_cold = self.state is WarmthState.COLD and self._has_cold_sign
        return is_cold and self._cold_sign_s > since_s

    def note_cold(self, now_s: float) -> None:
        """Apply a sign of coldness: first token late, rejection or empty cache."""
        self._move(WarmthState.COLD, now_s)
        self._cold_sign_s = now_s
        self._has_cold_sign = True
        self._counts.clear()

    def note_completed(
        self, borrower: BorrowerId, total: int, pool: Pool, now_s: float
    ) -> None:
        """Apply a borrower's count of completed calls since its start.

        The first count after a sign of coldness is only the base of the next ones: its
        calls may have ended before the sign.
        """
        previous = self._counts.get(borrower, total)
        self._counts[borrower] = max(previous, total)
        self.completed += max(0, total - previous)
        if self.completed < pool.warm_up_calls or self._reported_cold:
            return
        if self.state is WarmthState.COLD:
            self._move(WarmthState.WARMING, now_s)
        elif self.state is WarmthState.WARMING:
            self._move(WarmthState.WARM, now_s)

    def forget(self, borrower: BorrowerId) -> None:
        self._counts.pop(borrower, None)

    def note_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report, unless what it saw is older than the last change."""
        seen_s = now_s - report.age_s
        self._reported_cold = not report.warm
        if not report.warm:
            if self.state is not WarmthState.COLD and seen_s > self._changed_s:
                self.note_cold(now_s)
        elif seen_s > self._cold_sign_s and self.state is WarmthState.COLD:
            ramps = self._has_cold_sign
            self._move(WarmthState.WARMING if ramps else WarmthState.WARM, now_s)

    def handed(self, now_s: float) -> HandedWarmth:
        return HandedWarmth(
            self.state.value,
            self.completed,
            self._has_cold_sign,
            self._reported_cold,
            int((now_s - self._cold_sign_s) * 1000),
            int((now_s - self._changed_s) * 1000),
        )

    def continue_from(self, handed: HandedWarmth, now_s: float) -> None:
        """Go on from an earlier owner's state, unless this owner saw a cold sign."""
        if self._has_cold_sign or self._reported_cold:
            return
        self.state = WarmthState(handed.state)
        self.completed = handed.completed_calls
        self._has_cold_sign = handed.has_cold_sign
        self._reported_cold = handed.reported_cold
        self._cold_sign_s = now_s - handed.cold_sign_age_ms / 1000
        self._changed_s = now_s - handed.changed_age_ms / 1000
        self._counts.clear()

    def _move(self, state: WarmthState, now_s: float) -> None:
        if state is WarmthState.WARM:
            self._has_cold_sign = False
        self.state = state
        self.completed = 0
        self._changed_s = now_s
