"""When refused callers should come back, spread over the time the backlog needs."""

from egretshed.environment import Environment

MIN_RETURN_S = 0.2
MIN_SPREAD_S = 1.0
MAX_SPREAD_S = 60.0


class RetryDelays:
    """Counts the refused work that will come back, so that a wave is spread out.

    The counted work shrinks at the rate at which the node runs requests.
    """

    def __init__(self, env: Environment):
        self._env = env
        self._returning_s = 0.0
        self._counted_at_s = env.clock.monotonic_s()

    def next_s(self, backlog_s: float, cost_s: float, slots: int) -> float:
        """Return seconds until a refused request of `cost_s` should come again."""
        now_s = self._env.clock.monotonic_s()
        drained_s = (now_s - self._counted_at_s) * slots
        self._returning_s = max(0.0, self._returning_s - drained_s) + cost_s
        self._counted_at_s = now_s
        spread_s = (backlog_s + self._returning_s) / slots
        spread_s = min(MAX_SPREAD_S, max(MIN_SPREAD_S, spread_s))
        # Drawing from zero on would put three times the node's rate into the first
        # second of a growing wave; the later half keeps the returns level.
        return round(MIN_RETURN_S + self._env.random.uniform(spread_s / 2, spread_s), 3)
