"""Decides whether a stopping node still starts a request.

Load pattern: callers send to a node for some seconds after its SIGTERM, since they have
its address cached. Most requests take a small part of the time that the node has left,
and some streams take most of it. A refusal costs the caller one round trip to another
node, while a stream that is cut at the end of the stop costs the whole answer. So a
request is started only if the slowest recent ones of its route would end in time.
"""

import math
from collections import deque
from typing import NamedTuple

# Share of the shutdown limit for which a stopping node accepts new requests, since
# callers still have its address cached.
ACCEPT_SHARE = 0.4
# Operators excuse a stop that cuts a long request only if that was sent within 3 s of
# the signal. How long an answer takes is never certain.
ACCEPT_LIMIT_S = 2.9
# With fewer observations the expectation without any is a lower limit.
MIN_OBSERVED = 5
# Factor on the expected duration of requests whose caller loses the answer if they are
# ended: some take longer than all that were observed.
SAFETY_FACTOR = 1.25
# The longest of so many is what nearly all stay under. The quantile 0.99 of 100 let
# streams through that were cut, where one in fifty takes most of the time.
OBSERVED_REQUESTS = 256
OBSERVED_ROUTES = 500
# Older observations may be from another load or another version of the servers.
OBSERVED_AGE_S = 120.0


def accept_limit_s(shutdown_s: float) -> float:
    """Return for how long a node that stops within `shutdown_s` accepts requests."""
    return min(ACCEPT_SHARE * shutdown_s, ACCEPT_LIMIT_S)


class RequestOutlook(NamedTuple):
    """What is known of the time that a request still takes.

    `deadline_left_s` is the time until the caller's deadline or the route's timeout.
    `observed_s` holds the durations of the last requests of the route that were
    answered, and `oldest_running_s` the age of the oldest one that runs. Both are
    counted from the point that the request has reached. `output_s` is the time to
    generate the stated number of tokens, 0 if none is stated.
    """

    deadline_left_s: float
    observed_s: tuple[float, ...]
    oldest_running_s: float
    latency_target_s: float
    output_s: float
    is_stream: bool
    can_be_repeated: bool


def expected_duration_s(outlook: RequestOutlook) -> float:
    """Return the time within which nearly all requests like this one end.

    It is infinite for a stream of unknown length if too few were observed.
    """
    lower_limit_s = max(outlook.output_s, outlook.oldest_running_s)
    longest_s = max(outlook.observed_s, default=0.0)
    if len(outlook.observed_s) >= MIN_OBSERVED:
        return max(longest_s, lower_limit_s)
    if outlook.is_stream and not outlook.output_s:
        return math.inf
    return max(outlook.latency_target_s + outlook.output_s, lower_limit_s, longest_s)


def may_start(outlook: RequestOutlook, left_s: float) -> bool:
    """Return whether the request is likely to end within `left_s`.

    One that reaches its deadline before ends there in any case. For example, with 4 s
    left, a stream starts if those before it took 3 s, and not if one took 3.5 s.
    """
    needed_s = expected_duration_s(outlook)
    if outlook.is_stream or not outlook.can_be_repeated:
        needed_s *= SAFETY_FACTOR
    return min(needed_s, outlook.deadline_left_s) <= left_s


class ObservedRequest(NamedTuple):
    """Durations of a request, from its arrival and from its last send to a server."""

    ended_s: float
    whole_s: float
    run_s: float


class RecentRequests:
    """Durations of the last requests of each route on this node."""

    def __init__(self):
        self._by_route: dict[str, deque[ObservedRequest]] = {}

    def add(self, route: str, observed: ObservedRequest) -> None:
        requests = self._by_route.get(route)
        if requests is None:
            if len(self._by_route) >= OBSERVED_ROUTES:
                del self._by_route[next(iter(self._by_route))]
            requests = self._by_route[route] = deque(maxlen=OBSERVED_REQUESTS)
        requests.append(observed)

    def of_route(self, route: str, now_s: float) -> list[ObservedRequest]:
        return [
            observed
            for observed in self._by_route.get(route, ())
            if now_s - observed.ended_s <= OBSERVED_AGE_S
        ]
