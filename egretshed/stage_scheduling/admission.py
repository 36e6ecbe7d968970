"""Admission control: which requests may begin their stages, and when they would end.

Load pattern: a burst, or the loss of servers, while each result takes scarce memory
until the next stage has fetched it. A request that waits between two stages holds
results. If they expire before they are used, the work is wasted, and until then the
memory is not available to other requests. Requests therefore wait before their first
stage, where they hold no results. A request is admitted only while every service on
its path can finish the work of begun requests by about the time at which this request
reaches it.

A request that waits so long that it cannot end in time is refused early enough for its
caller to retry. One that needs a service without any server is refused at once.
"""

from collections.abc import (
    Iterable,
    Mapping,
)
from typing import NamedTuple

# Work that may queue at a service in addition to what it finishes before a request
# arrives, so that a server that becomes free gets a full call at once.
QUEUE_AHEAD_S = 0.4
# Expected time of a request that needs a service without servers; above any deadline.
NO_SERVER_S = 3600.0


class PendingStage(NamedTuple):
    """The unfinished pieces of one stage that a request still needs."""

    service: str
    pieces: int
    result_bytes: int  # per piece


class WaitingRequest(NamedTuple):
    """A request that has not begun; `needs` lists its stages in order of index."""

    key: tuple[str, str]
    needs: tuple[PendingStage, ...]
    deadline_at_s: float


class ServiceLoad(NamedTuple):
    """Throughput of a service, and the pieces that begun requests still need of it."""

    pieces_per_s: float  # all servers together, with full calls
    call_s: float  # duration of one full call
    pending_pieces: int


def admit(
    waiting: Iterable[WaitingRequest], loads: Mapping[str, ServiceLoad]
) -> set[tuple[str, str]]:
    """Return the keys of the requests that may begin; `waiting` is in urgency order.

    A request that has to wait for a saturated service blocks all less urgent requests
    that need the same service.
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
    """Return the services whose queues are too long to take the request's pieces."""
    saturated = set()
    arrival_s = QUEUE_AHEAD_S
    for stage in request.needs:
        load = loads.get(stage.service)
        if load is None:
            continue
        if not load.pieces_per_s:
            saturated.add(stage.service)
            continue
        arrival_s += load.call_s
        ahead = pieces[stage.service]
        # A service without pending pieces takes a request of any size.
        if ahead and ahead + stage.pieces > load.pieces_per_s * arrival_s:
            saturated.add(stage.service)
    return saturated


def expected_remaining_s(
    waiting: Iterable[WaitingRequest], loads: Mapping[str, ServiceLoad]
) -> dict[tuple[str, str], float]:
    """Return the time from now until each request's stages are expected to be done.

    It is set by the service with the longest queue on the request's path, plus the
    request's own calls from there on.
    """
    ahead = {service: float(load.pending_pieces) for service, load in loads.items()}
    found = {}
    for request in waiting:
        own_calls_s = sum(
            loads[s.service].call_s for s in request.needs if s.service in loads
        )
        expected_s = own_calls_s
        for stage in request.needs:
            load = loads.get(stage.service)
            if load is None:
                continue
            expected_s = max(
                expected_s, _drain_time_s(ahead[stage.service], load) + own_calls_s
            )
            own_calls_s -= load.call_s
            ahead[stage.service] += stage.pieces
        found[request.key] = expected_s
    return found


def _drain_time_s(pieces: float, load: ServiceLoad) -> float:
    """Return how long a service takes to finish `pieces`."""
    if not load.pieces_per_s:
        return NO_SERVER_S
    return pieces / load.pieces_per_s
