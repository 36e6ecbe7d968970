"""This node's part of the retries that all nodes together may send to a service.

Load pattern: many servers fail at once, and every node sends everything once more. The
bound is a share of the requests in a sliding window plus a constant, summed over all
nodes; each node keeps to its part, so that no message is needed.
"""

from collections import (
    defaultdict,
    deque,
)
from collections.abc import Callable

from egretshed.environment import Environment

# Part of the allowance that is used; a restarted node has forgotten what it sent.
USED_SHARE = 0.6


class SharedRetryBudget:
    """Retries by service in a sliding window; `node_count` is the size of the fleet."""

    def __init__(self, env: Environment, node_count: Callable[[], int]):
        self.env = env
        self.node_count = node_count
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str) -> None:
        self._requests[service].append(self.env.clock.monotonic_s())

    def try_acquire(self, service: str) -> bool:
        """Return whether one more retry may be sent now, and count it if so."""
        bounds = self.env.settings.bounds
        now_s = self.env.clock.monotonic_s()
        since_s = now_s - bounds.retry_window_s
        requests = _since(self._requests[service], since_s)
        retries = _since(self._retries[service], since_s)
        slack = bounds.retry_slack / max(1, self.node_count())
        allowed = USED_SHARE * (slack + bounds.retry_share * requests)
        if retries + 1 > max(1.0, allowed):
            return False
        self._retries[service].append(now_s)
        return True


def _since(times_s: deque[float], since_s: float) -> int:
    while times_s and times_s[0] < since_s:
        times_s.popleft()
    return len(times_s)
