"""Retry delays of refused requests, spread over the time that the backlog needs."""

from egretshed.environment import Environment

MIN_DELAY_S = 0.2
MIN_SPREAD_S = 1.0
MAX_SPREAD_S = 60.0


class RetryDelays:
    """Spreads retries over time by the amount of refused work that will be retried.

    That amount decreases at the rate at which the node runs requests.
    """

    def __init__(self, env: Environment):
        self._env = env
        self._pending_retries_s = 0.0
        self._updated_at_s = env.clock.monotonic_s()

    def next_s(self, backlog_s: float, cost_s: float, slots: int) -> float:
        """Return the delay before a refused request of `cost_s` should be retried."""
        now_s = self._env.clock.monotonic_s()
        drained_s = (now_s - self._updated_at_s) * slots
        self._pending_retries_s = max(0.0, self._pending_retries_s - drained_s) + cost_s
        self._updated_at_s = now_s
        spread_s = (backlog_s + self._pending_retries_s) / slots
        spread_s = min(MAX_SPREAD_S, max(MIN_SPREAD_S, spread_s))
        # Delays drawn from zero would bring three times the node's rate within the
        # first second of a growing wave of refusals; drawing from the later half of the
        # spread keeps the rate of retries level.
        return round(MIN_DELAY_S + self._env.random.uniform(spread_s / 2, spread_s), 3)
