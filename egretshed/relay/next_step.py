"""Decides what follows a failed attempt.

Load pattern: servers fail while many requests are on their way. A request that may
have run is sent once more only if its route allows it to run again, within the route's
number of servers, the fleet's budget and the time left; one that certainly did not run
may go to another server.
"""

from enum import Enum
from typing import NamedTuple

# Less time than this does not suffice for another attempt.
LEAST_TIME_S = 0.03
# Sends that were refused or could not connect, before the request is given up.
MAX_SENDS = 5


class NextStep(Enum):
    RETRY = "retry"
    GIVE_UP = "give_up"


class AttemptHistory(NamedTuple):
    """What happened to one request so far."""

    may_repeat: bool
    may_have_run_now: bool
    ran_on: int
    sends: int
    max_attempts: int
    remaining_s: float
    bytes_forwarded: bool
    is_resumable: bool


def next_step(history: AttemptHistory) -> NextStep:
    """Return whether the request may be sent once more; the budget is asked after."""
    if history.remaining_s < LEAST_TIME_S or history.sends >= MAX_SENDS:
        return NextStep.GIVE_UP
    if history.bytes_forwarded and not history.is_resumable:
        return NextStep.GIVE_UP
    if not history.may_have_run_now:
        return NextStep.RETRY
    if not history.may_repeat or history.ran_on >= history.max_attempts:
        return NextStep.GIVE_UP
    return NextStep.RETRY
