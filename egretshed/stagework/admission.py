"""Decides which requests may begin their stages, and which cannot end in time.

Load pattern: a burst, or the loss of servers, while each result takes scarce memory
until the next stage has fetched it. Requests that wait between two stages hold results;
those that expire meanwhile are made in vain, and their memory is missing to the others.
So requests wait before their first stage, where they hold nothing: one may begin only
while every service on its way has no more work of begun requests than it is done with
about the time at which this request arrives there.

What waits that long that its request cannot end in time is refused while its caller can
still come back.
"""

import math
from collections.abc import (
    Iterable,
    Mapping,
)
from typing import NamedTuple

# Work that may wait at a service beside what is on its way there, so that a server
# that becomes free has a full call at once.
QUEUE_AHEAD_S = 0.4


class PendingStage(NamedTuple):
    """Pieces of one stage that a request still needs."""

    service: str
    pieces: int
    result_bytes: int  # of one piece


class WaitingRequest(NamedTuple):
    """A request that has not begun; `needs` is in the order of its stages."""

    key: tuple[str, str]
    needs: tuple[PendingStage, ...]
    deadline_at_s: float


class ServiceLoad(NamedTuple):
    """What a service can do, and what begun requests still need of it."""

    pieces_per_s: float  # of all its servers together, in full calls
    call_s: float  # one full call
    pending_pieces: int


def admit(
    waiting: Iterable[WaitingRequest], loads: Mapping[str, ServiceLoad]
) -> set[tuple[str, str]]:
    """Return the requests that may begin now; `waiting` is in order of urgency.

    A request that must wait for a service keeps those behind it from passing it there.
    """
    pieces = {service: load.pending_pieces for service, load in loads.items()}
    blocked: set[str] = set()
    admitted = set()
    for request in waiting:
        saturated = _saturated_services(request, loads, pieces)
        needed = {stage.service for stage in request.needs}
        if saturated or needed & blocked:
            blocked |= saturated
            continue
        admitted.add(request.key)
        for stage in request.needs:
            if stage.service in loads:
                pieces[stage.service] += stage.pieces
    return admitted


def _saturated_services(
    request: WaitingRequest,
    loads: Mapping[str, ServiceLoad],
    pieces: Mapping[str, int],
) -> set[str]:
    """Return the services that could not take the request's pieces in time."""
    saturated = set()
    arrival_s = QUEUE_AHEAD_S
    for stage in request.needs:
        load = loads.get(stage.service)
        if load is None:
            continue
        arrival_s += load.call_s
        ahead = pieces[stage.service]
        # A service without work takes any request, however large.
        if ahead and ahead + stage.pieces > load.pieces_per_s * arrival_s:
            saturated.add(stage.service)
    return saturated


def expected_ends_s(
    waiting: Iterable[WaitingRequest], loads: Mapping[str, ServiceLoad]
) -> dict[tuple[str, str], float]:
    """Return how long each request takes from now until its stages are done.

    The work ahead of it at its narrowest service decides, and its own calls.
    """
    ahead = {service: float(load.pending_pieces) for service, load in loads.items()}
    found = {}
    for request in waiting:
        rest_s = sum(
            loads[s.service].call_s for s in request.needs if s.service in loads
        )
        end_s = rest_s
        for stage in request.needs:
            load = loads.get(stage.service)
            if load is None:
                continue
            end_s = max(end_s, _drain_time_s(ahead[stage.service], load) + rest_s)
            rest_s -= load.call_s
            ahead[stage.service] += stage.pieces
        found[request.key] = end_s
    return found


def _drain_time_s(pieces: float, load: ServiceLoad) -> float:
    if not load.pieces_per_s:
        return math.inf
    return pieces / load.pieces_per_s
