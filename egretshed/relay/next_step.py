"""Decides whether a request is retried after a failed attempt.

Load pattern: servers fail while many requests are in flight. A request that may have
run is retried only if its route allows repetition, and then within the route's attempt
limit, the retry budget of the fleet and the remaining time. A request that provably did
not run may be sent to another server.
"""

from enum import Enum
from typing import NamedTuple

# With less time than this left, another attempt cannot complete.
MIN_ATTEMPT_TIME_S = 0.03
# Limit on all sends of a request, those refused or failed to connect included.
MAX_SENDS = 5


class NextStep(Enum):
    RETRY = "retry"
    GIVE_UP = "give_up"


class AttemptHistory(NamedTuple):
    """Outcome of the attempts of one request so far.

    `attempt_may_have_run` concerns the attempt that has just failed.
    `possible_executions` counts the servers that may have run the request, and
    `send_count` all servers that it was sent to. `can_resume` states whether another
    server can continue a stream that has been forwarded in part.
    """

    may_repeat: bool
    attempt_may_have_run: bool
    possible_executions: int
    send_count: int
    max_attempts: int
    remaining_s: float
    bytes_forwarded: bool
    can_resume: bool


def next_step(history: AttemptHistory) -> NextStep:
    """Return whether the request may be retried, the retry budget not considered."""
    if history.remaining_s < MIN_ATTEMPT_TIME_S or history.send_count >= MAX_SENDS:
        return NextStep.GIVE_UP
    if history.bytes_forwarded and not history.can_resume:
        return NextStep.GIVE_UP
    if not history.attempt_may_have_run:
        return NextStep.RETRY
    if not history.may_repeat or history.possible_executions >= history.max_attempts:
        return NextStep.GIVE_UP
    return NextStep.RETRY
