"""Detects that this process was paused, and when its view is up to date again."""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.logs import log_event

# Checks per pause limit.
TICKS_PER_LIMIT = 4


class PauseDetector:
    """Tracks whether this node is settled, so that it may act on its member view.

    A node is unsettled at start and after a pause, until probes sent since then have
    succeeded for one probe period. A node whose probes do not succeed, for example
    because it has no peers, settles after `detection_bound_s`, the time within which it
    would have noticed any other node.
    """

    def __init__(
        self,
        env: Environment,
        detection_bound_s: Callable[[], float],
        on_pause: Callable[[], None],
    ):
        self.env = env
        self.detection_bound_s = detection_bound_s
        self.on_pause = on_pause
        self._last_tick_s = env.clock.monotonic_s()
        self._unsettled_since_s: float | None = self._last_tick_s
        self._successes_since_s: float | None = None
        self._last_pause_s: float | None = None
        self._is_checking = False

    def last_pause_s(self) -> float | None:
        """Return when the process last went on after a pause; None if it had none.

        Pauses are found only while `run` runs: without it, no time between two checks
        is known.
        """
        if self._is_checking:
            self._detect_pause()
        return self._last_pause_s

    def is_settled(self) -> bool:
        self._detect_pause()
        if self._unsettled_since_s is None:
            return True
        now_s = self.env.clock.monotonic_s()
        period_s = self.env.settings.membership.probe_period_s
        has_succeeded = (
            self._successes_since_s is not None
            and now_s - self._successes_since_s >= period_s
        )
        if has_succeeded or now_s - self._unsettled_since_s >= self.detection_bound_s():
            self._unsettled_since_s = None
        return self._unsettled_since_s is None

    def record_probe(self, sent_s: float, succeeded: bool) -> None:
        """Record a probe result; one sent before the last pause does not count."""
        self._detect_pause()
        if self._unsettled_since_s is None or sent_s < self._unsettled_since_s:
            return
        if not succeeded:
            self._successes_since_s = None
        elif self._successes_since_s is None:
            self._successes_since_s = self.env.clock.monotonic_s()

    async def run(self) -> None:
        """Check for pauses until cancelled; return at once if a check runs already."""
        if self._is_checking:
            return
        limit_s = self.env.settings.membership.pause_limit_s
        self._last_tick_s = self.env.clock.monotonic_s()
        self._is_checking = True
        try:
            while True:
                self._detect_pause()
                self._last_tick_s = self.env.clock.monotonic_s()
                await self.env.clock.sleep(limit_s / TICKS_PER_LIMIT)
        finally:
            self._is_checking = False

    def _detect_pause(self) -> None:
        now_s = self.env.clock.monotonic_s()
        gap_s = now_s - self._last_tick_s
        if gap_s <= self.env.settings.membership.pause_limit_s:
            return
        self._last_tick_s = now_s
        self._last_pause_s = now_s
        self._unsettled_since_s = now_s
        self._successes_since_s = None
        self.on_pause()
        log_event(self.env.logger, "process_was_paused", gap_s=round(gap_s, 3))
