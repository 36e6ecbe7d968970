"""Limits that servers name for the requests of all nodes, as this node knows them.

A server names its limit in each response for as long as it applies. A response without
it lifts the limit, but only if its request was sent after the limit was last confirmed:
responses on different connections may overtake each other.
"""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.servers.rate_share import MIN_RATE_PER_S
from egretshed.servers.signals import (
    RateLimit,
    ServerSignals,
)
from egretshed.servers.state import ServerState

# A limit that nobody has confirmed for this long, and for this many times the period of
# its requests, is dropped by nodes that may not send and so cannot confirm it.
MAX_AGE_S = 15.0
MAX_AGE_REQUESTS = 6.0


class RateLimits:
    """Records limits from responses and from other nodes.

    Each of `on_heard` is called with a server when a response names a limit or shows
    that it has ended.
    """

    def __init__(self, env: Environment):
        self.env = env
        self.on_heard: list[Callable[[ServerState, bool], None]] = []

    def limit_per_s(self, server: ServerState) -> float | None:
        """Return the limit of a server, None if it has none that is known."""
        limit = server.rate_limit
        if limit is None:
            return None
        age_s = self.env.clock.monotonic_s() - limit.heard_s
        request_period_s = 1 / max(MIN_RATE_PER_S, limit.rate_per_s)
        if age_s > max(MAX_AGE_S, MAX_AGE_REQUESTS * request_period_s):
            self._set(server, None, "expired", age_s)
            return None
        return limit.rate_per_s

    def record(
        self,
        server: ServerState,
        signals: ServerSignals,
        sent_s: float,
        may_lift: bool = True,
    ) -> None:
        """Record a response to a request that was sent at `sent_s`.

        Without `may_lift` the response is of a kind that need not name the limit.
        """
        if "rate_limit_per_s" in signals.malformed:
            return
        known = server.rate_limit
        now_s = self.env.clock.monotonic_s()
        if signals.rate_limit_per_s is not None:
            limit = RateLimit(signals.rate_limit_per_s, now_s)
            self._set(server, limit, "response", 0.0)
        elif known is not None and may_lift and sent_s >= known.heard_s:
            self._set(server, None, "response", 0.0)
        else:
            return
        has_changed = _rate(known) != _rate(server.rate_limit)
        for listener in self.on_heard:
            listener(server, has_changed)

    def learn(
        self, server: ServerState, rate_per_s: float | None, age_s: float
    ) -> None:
        """Record what another node heard from a server `age_s` ago."""
        heard_s = self.env.clock.monotonic_s() - age_s
        known = server.rate_limit
        if known is not None and known.heard_s > heard_s:
            return
        limit = None if rate_per_s is None else RateLimit(rate_per_s, heard_s)
        self._set(server, limit, "peer", age_s)

    def _set(
        self, server: ServerState, limit: RateLimit | None, source: str, age_s: float
    ) -> None:
        previous_per_s, rate_per_s = _rate(server.rate_limit), _rate(limit)
        server.rate_limit = limit
        if rate_per_s == previous_per_s:
            return
        log_event(
            self.env.logger,
            "server_rate_limit_changed",
            server_id=server.server_id,
            service=server.listed.service,
            rate_per_s=rate_per_s,
            previous_per_s=previous_per_s,
            source=source,
            age_s=round(age_s, 3),
            outcome="lifted" if rate_per_s is None else "limited",
        )


def _rate(limit: RateLimit | None) -> float | None:
    return None if limit is None else limit.rate_per_s
