"""Decides after which time without a sign of a server another one is looked for.

Load pattern: sound servers fall silent for a second or so, many requests wait for them
at once, and the retry budget of the fleet does not cover them all. Silence alone is no
reason to end a request: it is taken from a server only once another one has it. These
limits begin the search for a second server, and the first one is awaited meanwhile.
"""

from egretshed.serving.schema import Route

# For a repeatable request, another server is sought after this multiple of the server's
# usual latency, and no sooner than the minimum.
RESPONSE_LIMIT_FACTOR = 5.0
MIN_RESPONSE_LIMIT_S = 0.25
# A resumable stream waits for its first event this multiple of the route's latency
# objective, and for each further event this multiple of the route's event pause.
FIRST_EVENT_LIMIT_FACTOR = 1.3
EVENT_GAP_LIMIT_FACTOR = 2.5
MIN_FIRST_EVENT_LIMIT_S = 0.8
# Sound servers are silent for up to 2 s. A stream with such a gap is late anyway, and
# what a second server makes of it cannot be known in time (`REFUSAL_WAIT_S`).
MIN_EVENT_GAP_LIMIT_S = 2.2


def response_limit_s(
    route: Route, possible_executions: int, latency_s: float
) -> float | None:
    """Return the silence in s before a response after which to look for another server.

    `latency_s` is the usual one of the server. Returns None if no other server may run
    the request.
    """
    if not _may_run_elsewhere(route, possible_executions):
        return None
    if route.is_stream:
        return first_event_limit_s(route, possible_executions)
    return max(MIN_RESPONSE_LIMIT_S, RESPONSE_LIMIT_FACTOR * latency_s)


def first_event_limit_s(route: Route, possible_executions: int) -> float | None:
    """Return the same for the silence before the first event of a stream."""
    if not _may_resume_elsewhere(route, possible_executions):
        return None
    return max(
        MIN_FIRST_EVENT_LIMIT_S, FIRST_EVENT_LIMIT_FACTOR * route.latency_target_s
    )


def event_gap_limit_s(route: Route, possible_executions: int) -> float | None:
    """Return the same for the silence between two events of a stream."""
    if not _may_resume_elsewhere(route, possible_executions):
        return None
    return max(
        MIN_EVENT_GAP_LIMIT_S, EVENT_GAP_LIMIT_FACTOR * route.event_interval_target_s
    )


def _may_run_elsewhere(route: Route, possible_executions: int) -> bool:
    return route.is_retryable and possible_executions < route.max_attempts


def _may_resume_elsewhere(route: Route, possible_executions: int) -> bool:
    return route.is_resumable and possible_executions < route.max_attempts
