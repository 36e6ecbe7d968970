"""Decides which waiting pieces go in the next call to a stage server.

Load pattern: a call costs a fixed time whatever is in it, so that nearly empty calls
halve the capacity of a stage just when a burst arrives. One node holds all pieces that
wait for a service; pieces gather while all servers are busy, and a server that becomes
free gets the most urgent ones, as many as a call may hold.

Results take memory at their makers until all pieces of a job are done and fetched. Jobs
that each hold a part of that memory and wait for more would block each other, so a job
is begun only while the memory suffices for all jobs that were begun.
"""

from collections.abc import Iterable
from typing import NamedTuple

from egretshed.serving.schema import StageLimits

# Moving this much between failure domains is worth a wait for a nearer server.
LARGE_TRANSFER_BYTES = 150_000
# How long such a piece waits for a server in its domain while another one is free.
DOMAIN_PATIENCE_S = 0.4
# A piece with less slack than this takes any server at once.
DOMAIN_SLACK_S = 0.35

# A server is slow beside another one if it takes this many times as long.
SLOW_FACTOR = 1.6
# A job of at most this size may pass a larger one that waits for memory.
SMALL_JOB_BYTES = 200_000


class WaitingPiece(NamedTuple):
    """One piece that waits; times are on the owner's monotonic clock.

    `far_bytes` cross between failure domains if it is not made in `preferred_domain`.
    From `must_start_s` on it goes before all others: its request, or what it is made
    from, would be lost otherwise.
    """

    ticket: tuple[str, int]
    segment: int
    queued_s: float
    deadline_at_s: float
    target_at_s: float
    must_start_s: float
    priority: int
    preferred_domain: str
    far_bytes: int
    result_bytes: int
    failures: int = 0


class StageServerView(NamedTuple):
    """What a decision needs to know of one stage server."""

    server_id: str
    failure_domain: str
    room_bytes: int
    running_calls: int
    slowness: float  # measured call time by declared call time


def call_time_s(limits: StageLimits, pieces: int, slowness: float = 1.0) -> float:
    """Return how long a call with `pieces` pieces takes."""
    return (limits.call_s + limits.item_s * pieces) * slowness


def urgency(piece: WaitingPiece, now_s: float, call_s: float) -> tuple:
    """Return the sort key of a piece: smaller goes first.

    Within a priority, pieces that can still end on time go before those that cannot,
    the earliest target first, so that one late request does not make others late. Late
    ones are not put off until they are lost.
    """
    is_late = now_s + call_s > piece.target_at_s
    can_wait = now_s < piece.must_start_s
    return (
        can_wait,
        piece.priority,
        is_late,
        piece.target_at_s,
        piece.queued_s,
        piece.ticket,
    )


def startable(
    pieces: list[WaitingPiece],
    begun: set[tuple[str, int]],
    views: list[StageServerView],
    now_s: float,
    call_s: float,
) -> list[WaitingPiece]:
    """Return the pieces that may be made now, most urgent first.

    Pieces of jobs that were begun come first: they free memory the soonest.
    """
    ordered = sorted(
        pieces,
        key=lambda p: (p.ticket not in begun, *urgency(p, now_s, call_s)),
    )
    room_bytes = sum(max(0, view.room_bytes) for view in views)
    room_bytes -= sum(p.result_bytes for p in ordered if p.ticket in begun)
    sizes: dict[tuple[str, int], int] = {}
    for piece in ordered:
        sizes[piece.ticket] = sizes.get(piece.ticket, 0) + piece.result_bytes
    allowed: set[tuple[str, int]] = set(begun)
    # Memory is not left idle: a job larger than all of it may begin alone.
    nothing_begun = not begun
    is_blocked = False
    for ticket, size_bytes in sizes.items():
        if ticket in allowed:
            continue
        if size_bytes <= SMALL_JOB_BYTES:
            allowed.add(ticket)
            continue
        if is_blocked:
            continue
        if size_bytes > room_bytes and not nothing_begun:
            # Larger jobs behind this one wait too, so that it gets its turn.
            is_blocked = True
            continue
        allowed.add(ticket)
        room_bytes -= size_bytes
        nothing_begun = False
    return [piece for piece in ordered if piece.ticket in allowed]


def choose_batch(
    ordered: Iterable[WaitingPiece],
    server: StageServerView,
    usable_domains: set[str],
    limits: StageLimits,
    now_s: float,
) -> list[WaitingPiece]:
    """Return the pieces for the next call to `server`, in the order given."""
    call_s = call_time_s(limits, 1, server.slowness)
    chosen: list[WaitingPiece] = []
    room_bytes = server.room_bytes
    for piece in ordered:
        if len(chosen) == limits.batch_items:
            break
        if piece.result_bytes > room_bytes:
            continue
        if not _may_go_to(piece, server, usable_domains, now_s, call_s):
            continue
        chosen.append(piece)
        room_bytes -= piece.result_bytes
    return chosen


def _may_go_to(
    piece: WaitingPiece,
    server: StageServerView,
    usable_domains: set[str],
    now_s: float,
    call_s: float,
) -> bool:
    if piece.far_bytes < LARGE_TRANSFER_BYTES:
        return True
    if piece.preferred_domain in ("", server.failure_domain):
        return True
    if piece.preferred_domain not in usable_domains:
        return True
    if now_s - piece.queued_s >= DOMAIN_PATIENCE_S:
        return True
    return piece.target_at_s - now_s - call_s < DOMAIN_SLACK_S


def free_servers(
    views: list[StageServerView], limits: StageLimits, waiting: int
) -> list[StageServerView]:
    """Return the servers that may get a call now, the fastest first.

    A server that turned slow gets none while the others are done with all waiting
    pieces before it would be done with one call.
    """
    free = [
        view
        for view in views
        if view.running_calls < limits.slots and _is_worth(view, views, limits, waiting)
    ]
    return sorted(free, key=lambda view: (view.running_calls, view.slowness))


def _is_worth(
    view: StageServerView,
    views: list[StageServerView],
    limits: StageLimits,
    waiting: int,
) -> bool:
    faster = [v for v in views if v.slowness * SLOW_FACTOR < view.slowness]
    if not faster:
        return True
    batch = min(waiting, limits.batch_items)
    capacity = sum(limits.slots / v.slowness for v in faster)
    rounds = -(-waiting // limits.batch_items) / capacity
    others_s = (rounds + 0.5) * call_time_s(limits, batch)
    return call_time_s(limits, batch, view.slowness) < others_s


def expected_wait_s(
    pieces: Iterable[WaitingPiece],
    new: WaitingPiece,
    views: list[StageServerView],
    limits: StageLimits,
    now_s: float,
) -> float:
    """Return how long `new` waits before its call starts, if nothing more urgent comes.

    Pieces ahead of it go in full calls, spread over the servers.
    """
    if not views:
        return 0.0
    call_s = call_time_s(limits, limits.batch_items)
    key = urgency(new, now_s, call_s)
    ahead = sum(1 for piece in pieces if urgency(piece, now_s, call_s) < key)
    capacity = sum(limits.slots / view.slowness for view in views)
    busy = sum(min(view.running_calls, limits.slots) for view in views)
    rounds = (ahead // limits.batch_items) / capacity
    half_call = 0.5 if busy >= len(views) * limits.slots else 0.0
    return call_s * (rounds + half_call)
