"""How many admitted requests may run at once, adapted to the measured goodput."""

from egretshed.environment import Environment

WINDOW_S = 1.0
# A window with fewer ended requests says too little about the share that failed.
MIN_WINDOW_REQUESTS = 5
MAX_LATE_SHARE = 0.1
DECREASE = 0.8
INCREASE = 0.05
# Running requests that wait for a slot are what makes the node ask owners for loans,
# so a few run for each pool even if no slot is held.
MIN_RUNNING = 4


class ConcurrencyLimit:
    """Falls by a fifth after a window with many late answers, else grows slowly.

    The limit stays from `MIN_RUNNING` to `settings.admission.running_requests`.
    """

    def __init__(self, env: Environment):
        self._env = env
        self._most = env.settings.admission.running_requests
        self._least = min(MIN_RUNNING, self._most)
        self.limit = float(self._most)
        self.running = 0
        self._window_ends_s = env.clock.monotonic_s() + WINDOW_S
        self._in_time = 0
        self._late = 0
        self._was_full = False

    def free(self) -> int:
        """Return how many requests may start now."""
        limit = int(self.limit)
        self._was_full |= self.running >= limit
        return max(0, limit - self.running)

    def started(self) -> None:
        self.running += 1

    def ended(self, in_time: bool) -> None:
        """Count one end; `in_time` is True for a whole answer before its deadline."""
        self.running -= 1
        self._in_time += in_time
        self._late += not in_time
        if self._env.clock.monotonic_s() >= self._window_ends_s:
            self._adapt()

    def _adapt(self) -> None:
        ended = self._in_time + self._late
        if ended >= MIN_WINDOW_REQUESTS and self._late > MAX_LATE_SHARE * ended:
            self.limit = max(self._least, self.limit * DECREASE)
        elif self._was_full:
            step = max(1.0, self.limit * INCREASE)
            self.limit = min(self._most, self.limit + step)
        self._in_time = self._late = 0
        self._was_full = False
        self._window_ends_s = self._env.clock.monotonic_s() + WINDOW_S
