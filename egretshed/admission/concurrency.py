"""Adaptive limit on concurrently running requests, driven by the share of late ones."""

from egretshed.environment import Environment

WINDOW_S = 1.0
# With fewer samples the late share of a window is not significant.
MIN_WINDOW_REQUESTS = 5
MAX_LATE_SHARE = 0.1
DECREASE_FACTOR = 0.8
INCREASE_SHARE = 0.05
# A node requests slot loans only for running requests that wait for a slot, so each
# pool may run this many even while the node holds no slot.
MIN_RUNNING = 4


class ConcurrencyLimit:
    """Multiplicative decrease after a window with many late requests, else slow growth.

    A request is late if it did not complete before its deadline. The limit grows only
    if it was reached in the window, and stays between `MIN_RUNNING` and
    `settings.admission.running_requests`.
    """

    def __init__(self, env: Environment):
        self._env = env
        self._max_limit = env.settings.admission.running_requests
        self._min_limit = min(MIN_RUNNING, self._max_limit)
        self.limit = float(self._max_limit)
        self.running = 0
        self._window_ends_s = env.clock.monotonic_s() + WINDOW_S
        self._in_time = 0
        self._late = 0
        self._limit_reached = False

    def available(self) -> int:
        """Return how many requests may start now; record if the limit is reached."""
        limit = int(self.limit)
        self._limit_reached |= self.running >= limit
        return max(0, limit - self.running)

    def record_start(self) -> None:
        self.running += 1

    def record_end(self, in_time: bool) -> None:
        """Count one ended request; `in_time` if it completed before its deadline."""
        self.running -= 1
        self._in_time += in_time
        self._late += not in_time
        if self._env.clock.monotonic_s() >= self._window_ends_s:
            self._adapt()

    def _adapt(self) -> None:
        ended = self._in_time + self._late
        if ended >= MIN_WINDOW_REQUESTS and self._late > MAX_LATE_SHARE * ended:
            self.limit = max(self._min_limit, self.limit * DECREASE_FACTOR)
        elif self._limit_reached:
            step = max(1.0, self.limit * INCREASE_SHARE)
            self.limit = min(self._max_limit, self.limit + step)
        self._in_time = self._late = 0
        self._limit_reached = False
        self._window_ends_s = self._env.clock.monotonic_s() + WINDOW_S
