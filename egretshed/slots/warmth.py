"""Warmth of a server, which decides its limit: cold, warming or warm.

It is derived from delayed observations: load reports, completed calls and cold signs. A
cold sign is a call that indicates a cold server, for example by a late first token.
"""

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
    become warm only with the last of them. The next `warm_up_calls` raise the limit
    linearly to the warm limit: a step to full load would overload a server that was
    wrongly taken for warm. A load report that says warm ends the first phase, and both
    phases if no cold sign was seen, as after a change of owner. A load report that says
    cold keeps the server at the cold limit.
    """

    def __init__(self, now_s: float):
        self.state = WarmthState.COLD
        self.completed_calls = 0
        self._cold_sign_s = now_s
        self._has_cold_sign = False
        self._reported_cold = False
        self._state_changed_s = now_s
        self._completed_by_borrower: dict[BorrowerId, int] = {}

    def limit(self, pool: Pool) -> int:
        """Return the slots of the server, the highest number of concurrent calls."""
        if self.state is WarmthState.COLD:
            return pool.cold_slots
        if self.state is WarmthState.WARM:
            return pool.warm_slots
        scaled_range = (pool.warm_slots - pool.cold_slots) * self.completed_calls
        return pool.cold_slots + scaled_range // max(1, pool.warm_up_calls)

    def turned_cold_after(self, since_s: float) -> bool:
        """Return whether the server is cold after a cold sign since `since_s`."""
        is_cold = self.state is WarmthState.COLD and self._has_cold_sign
        return is_cold and self._cold_sign_s > since_s

    def record_cold_sign(self, now_s: float) -> None:
        """Apply a cold sign: a late first token, a rejection or an empty cache."""
        self._set_state(WarmthState.COLD, now_s)
        self._cold_sign_s = now_s
        self._has_cold_sign = True
        self._completed_by_borrower.clear()

    def record_completed_calls(
        self, borrower: BorrowerId, total: int, pool: Pool, now_s: float
    ) -> None:
        """Apply a borrower's cumulative count of completed calls.

        The first count after a cold sign serves only as the base for the next ones,
        since its calls may have ended before the sign.
        """
        previous = self._completed_by_borrower.get(borrower, total)
        self._completed_by_borrower[borrower] = max(previous, total)
        self.completed_calls += max(0, total - previous)
        if self.completed_calls < pool.warm_up_calls or self._reported_cold:
            return
        if self.state is WarmthState.COLD:
            self._set_state(WarmthState.WARMING, now_s)
        elif self.state is WarmthState.WARMING:
            self._set_state(WarmthState.WARM, now_s)

    def remove_borrower(self, borrower: BorrowerId) -> None:
        self._completed_by_borrower.pop(borrower, None)

    def record_load_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report, unless its observation is older than the last change."""
        observed_s = now_s - report.age_s
        self._reported_cold = not report.warm
        if not report.warm:
            if (
                self.state is not WarmthState.COLD
                and observed_s > self._state_changed_s
            ):
                self.record_cold_sign(now_s)
        elif observed_s > self._cold_sign_s and self.state is WarmthState.COLD:
            needs_ramp = self._has_cold_sign
            self._set_state(
                WarmthState.WARMING if needs_ramp else WarmthState.WARM, now_s
            )

    def to_handed(self, now_s: float) -> HandedWarmth:
        return HandedWarmth(
            self.state.value,
            self.completed_calls,
            self._has_cold_sign,
            self._reported_cold,
            int((now_s - self._cold_sign_s) * 1000),
            int((now_s - self._state_changed_s) * 1000),
        )

    def continue_from(self, handed: HandedWarmth, now_s: float) -> None:
        """Adopt an earlier owner's state, unless this owner saw the server cold."""
        if self._has_cold_sign or self._reported_cold:
            return
        self.state = WarmthState(handed.state)
        self.completed_calls = handed.completed_calls
        self._has_cold_sign = handed.has_cold_sign
        self._reported_cold = handed.reported_cold
        self._cold_sign_s = now_s - handed.cold_sign_age_ms / 1000
        self._state_changed_s = now_s - handed.changed_age_ms / 1000
        self._completed_by_borrower.clear()

    def _set_state(self, state: WarmthState, now_s: float) -> None:
        if state is WarmthState.WARM:
            self._has_cold_sign = False
        self.state = state
        self.completed_calls = 0
        self._state_changed_s = now_s
