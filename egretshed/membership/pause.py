"""Detects that this process did not run for a while, and when it may act again."""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.logs import log_event

TICKS_PER_LIMIT = 4


class PauseDetector:
    """Settled means: not paused lately, and probes succeeded for a period since.

    A node with nobody to probe settles after `bound_s`, the time in which it would have
    reachable of any other node.
    """

    def __init__(
        self,
        env: Environment,
        bound_s: Callable[[], float],
        on_pause: Callable[[], None],
    ):
        self.env = env
        self.bound_s = bound_s
        self.on_pause = on_pause
        self._tick_s = env.clock.monotonic_s()
        self._unsettled_s: float | None = self._tick_s
        self._success_s: float | None = None

    def is_settled(self) -> bool:
        self._notice_gap()
        if self._unsettled_s is None:
            return True
        now_s = self.env.clock.monotonic_s()
        period_s = self.env.settings.membership.probe_period_s
        answered = self._success_s is not None and now_s - self._success_s >= period_s
        if answered or now_s - self._unsettled_s >= self.bound_s():
            self._unsettled_s = None
        return self._unsettled_s is None

    def note_probe(self, sent_s: float, succeeded: bool) -> None:
        """Record a probe sent at `sent_s`; one sent before a pause does not count."""
        self._notice_gap()
        if self._unsettled_s is None or sent_s < self._unsettled_s:
            return
        if not succeeded:
            self._success_s = None
        elif self._success_s is None:
            self._success_s = self.env.clock.monotonic_s()

    async def run(self) -> None:
        limit_s = self.env.settings.membership.pause_limit_s
        while True:
            self._notice_gap()
            self._tick_s = self.env.clock.monotonic_s()
            await self.env.clock.sleep(limit_s / TICKS_PER_LIMIT)

    def _notice_gap(self) -> None:
        now_s = self.env.clock.monotonic_s()
        gap_s = now_s - self._tick_s
        if gap_s <= self.env.settings.membership.pause_limit_s:
            return
        self._tick_s = now_s
        self._unsettled_s = now_s
        self._success_s = None
        self.on_pause()
        log_event(self.env.logger, "process_was_paused", gap_s=round(gap_s, 3))
