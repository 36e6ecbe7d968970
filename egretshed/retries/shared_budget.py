"""This node's share of the retries that all nodes together may send to a service.

Load pattern: many servers fail at once and every node retries all of its requests. The
bound on retries, summed over all nodes, is a share of the requests in a sliding window
plus a constant. Each node keeps to its own share, so that no messages are needed.
"""

from collections import (
    defaultdict,
    deque,
)
from collections.abc import Callable

from egretshed.environment import Environment

# Share of the allowance that is used. The rest is a margin for restarted nodes, which
# do not know what they sent before.
ALLOWANCE_SHARE = 0.6


class SharedRetryBudget:
    """Limits retries per service in a sliding window.

    `node_count` returns the number of nodes that share the allowance.
    """

    def __init__(self, env: Environment, node_count: Callable[[], int]):
        self.env = env
        self.node_count = node_count
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str) -> None:
        self._requests[service].append(self.env.clock.monotonic_s())

    def try_acquire(self, service: str) -> bool:
        """Return whether a retry may be sent now; if so, it is counted as sent."""
        if not self.is_left(service):
            return False
        self._retries[service].append(self.env.clock.monotonic_s())
        return True

    def is_left(self, service: str) -> bool:
        """Return what `try_acquire` would, without counting a retry."""
        bounds = self.env.settings.bounds
        window_start_s = self.env.clock.monotonic_s() - bounds.retry_window_s
        requests = _count_since(self._requests[service], window_start_s)
        retries = _count_since(self._retries[service], window_start_s)
        slack = bounds.retry_slack / max(1, self.node_count())
        allowed = ALLOWANCE_SHARE * (slack + bounds.retry_share * requests)
        return retries + 1 <= max(1.0, allowed)


def _count_since(times_s: deque[float], window_start_s: float) -> int:
    """Drop the times before the window; return the number of those within it."""
    while times_s and times_s[0] < window_start_s:
        times_s.popleft()
    return len(times_s)
