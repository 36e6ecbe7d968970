"""Decides which waiting pieces go in the next call to a stage server.

Load pattern: a call costs a fixed time whatever is in it, so that nearly empty calls
halve the capacity of a stage just when a burst arrives. One node holds all jobs that
wait for a service; pieces gather while all servers are busy, and a server that becomes
free gets the most urgent ones, as many as a call may hold.

Results take memory at their makers until all pieces of a job are done and fetched. Jobs
that each hold a part of that memory and wait for more would block each other, so a job
is started only while the memory suffices for all jobs that were started.
"""

from collections.abc import (
    Collection,
    Iterable,
)
from typing import NamedTuple

from egretshed.serving.schema import StageLimits

# Moving this much between failure domains is worth a wait for a nearer server.
LARGE_TRANSFER_BYTES = 150_000
# How long such a piece waits for a server in its domain while another one is free.
DOMAIN_WAIT_LIMIT_S = 0.4
# A piece with less slack than this takes any server at once.
DOMAIN_WAIT_MIN_SLACK_S = 0.35

# A job is put behind others as late this long before it is: what follows its stages
# takes longer or shorter than expected by about as much.
TARGET_MARGIN_S = 0.1

# A server is slow beside another one if it takes this many times as long.
SLOW_SERVER_RATIO = 1.6
# A job that takes at most this share of one server's memory may pass a larger one.
SMALL_JOB_SHARE = 0.06


class WaitingJob(NamedTuple):
    """Pieces of one job that wait; times are on the owner's monotonic clock.

    `far_bytes` of a piece cross between failure domains if it is not made in
    `preferred_domain`. From `must_start_at_s` on the job goes before all others: its
    request, or what it is made from, would be lost otherwise. `is_started` tells that
    some of its pieces were made, `has_begun` that its request holds other results.
    """

    ticket: tuple[str, int]
    request_key: tuple[str, str]
    segments: tuple[int, ...]
    queued_at_s: float
    deadline_at_s: float
    target_at_s: float
    must_start_at_s: float
    priority: int
    preferred_domain: str
    far_bytes: int
    result_bytes: int
    has_begun: bool = False
    is_started: bool = False

    @property
    def waiting_bytes(self) -> int:
        return self.result_bytes * len(self.segments)


class ChosenPiece(NamedTuple):
    """One piece of the next call."""

    ticket: tuple[str, int]
    segment: int
    result_bytes: int
    queued_at_s: float
    deadline_at_s: float


class StageServerView(NamedTuple):
    """What a decision needs to know of one stage server."""

    server_id: str
    failure_domain: str
    available_bytes: int
    running_calls: int
    slowness: float  # measured call time by declared call time


def call_time_s(limits: StageLimits, pieces: int, slowness: float = 1.0) -> float:
    """Return how long a call with `pieces` pieces takes."""
    return (limits.call_s + limits.item_s * pieces) * slowness


def next_call_s(jobs: Iterable[WaitingJob], limits: StageLimits) -> float:
    """Return how long a call takes that holds what waits, up to a full one."""
    waiting = sum(len(job.segments) for job in jobs)
    return call_time_s(limits, max(1, min(waiting, limits.batch_items)))


def urgency_key(job: WaitingJob, now_s: float, call_s: float) -> tuple:
    """Return the sort key of a job: smaller goes first.

    Within a priority, jobs that can still end on time go before those that cannot, the
    earliest target first, so that one late request does not make others late. Late
    ones are not put off until they are lost.
    """
    is_late = now_s + call_s + TARGET_MARGIN_S > job.target_at_s
    can_wait = now_s < job.must_start_at_s
    return (
        can_wait,
        job.priority,
        is_late,
        job.target_at_s,
        job.queued_at_s,
        job.ticket,
    )


def startable_jobs(
    jobs: Iterable[WaitingJob],
    may_begin: Collection[tuple[str, str]],
    views: list[StageServerView],
    limits: StageLimits,
    now_s: float,
) -> list[WaitingJob]:
    """Return the jobs whose pieces may be made now, most urgent first.

    Jobs that were started come first, then those of requests that hold other results:
    they free memory the soonest. Of the rest only requests in `may_begin` are let in.
    """
    jobs = list(jobs)
    call_s = next_call_s(jobs, limits)
    ordered = sorted(
        jobs,
        key=lambda job: (
            not job.is_started,
            not job.has_begun,
            *urgency_key(job, now_s, call_s),
        ),
    )
    small_bytes = SMALL_JOB_SHARE * limits.result_room_bytes
    available_bytes = sum(max(0, view.available_bytes) for view in views)
    allowed: list[WaitingJob] = []
    # Memory is not left idle: a job larger than all of it may start alone.
    nothing_started = True
    is_blocked = False
    for job in ordered:
        if not (job.is_started or job.has_begun or job.request_key in may_begin):
            continue
        size_bytes = job.waiting_bytes
        if not job.is_started:
            if size_bytes <= small_bytes:
                allowed.append(job)
                continue
            if is_blocked:
                continue
            if size_bytes > available_bytes and not nothing_started:
                # Larger jobs behind this one wait too, so that it gets its turn.
                is_blocked = True
                continue
        allowed.append(job)
        available_bytes -= size_bytes
        nothing_started = False
    return allowed


def choose_batch(
    ordered: Iterable[WaitingJob],
    server: StageServerView,
    usable_domains: set[str],
    limits: StageLimits,
    now_s: float,
) -> list[ChosenPiece]:
    """Return the pieces for the next call to `server`, in the order given.

    Pieces that would rather be made in another failure domain come last.
    """
    call_s = call_time_s(limits, 1, server.slowness)
    chosen: list[ChosenPiece] = []
    available_bytes = server.available_bytes
    fitting = [
        job
        for job in ordered
        if _may_run_on(job, server, usable_domains, now_s, call_s)
    ]
    fitting.sort(key=lambda job: _prefers_other_domain(job, server, now_s, call_s))
    for job in fitting:
        for segment in job.segments:
            if len(chosen) == limits.batch_items:
                return chosen
            if job.result_bytes > available_bytes:
                break
            chosen.append(
                ChosenPiece(
                    job.ticket,
                    segment,
                    job.result_bytes,
                    job.queued_at_s,
                    job.deadline_at_s,
                )
            )
            available_bytes -= job.result_bytes
    return chosen


def _may_run_on(
    job: WaitingJob,
    server: StageServerView,
    usable_domains: set[str],
    now_s: float,
    call_s: float,
) -> bool:
    if not _prefers_other_domain(job, server, now_s, call_s):
        return True
    if job.preferred_domain not in usable_domains:
        return True
    return now_s - job.queued_at_s >= DOMAIN_WAIT_LIMIT_S


def _prefers_other_domain(
    job: WaitingJob, server: StageServerView, now_s: float, call_s: float
) -> bool:
    """Return whether a job has time to wait for a server in another domain."""
    if job.far_bytes < LARGE_TRANSFER_BYTES:
        return False
    if job.preferred_domain in ("", server.failure_domain):
        return False
    return job.target_at_s - now_s - call_s >= DOMAIN_WAIT_MIN_SLACK_S


def available_servers(
    views: list[StageServerView], limits: StageLimits, waiting: int
) -> list[StageServerView]:
    """Return the servers that may get a call now, the fastest first.

    A server that turned slow gets none while the others are done with all `waiting`
    pieces before it would be done with one call.
    """
    available = [
        view
        for view in views
        if view.running_calls < limits.slots
        and _is_worth_calling(view, views, limits, waiting)
    ]
    return sorted(available, key=lambda view: (view.running_calls, view.slowness))


def _is_worth_calling(
    view: StageServerView,
    views: list[StageServerView],
    limits: StageLimits,
    waiting: int,
) -> bool:
    faster = [v for v in views if v.slowness * SLOW_SERVER_RATIO < view.slowness]
    if not faster:
        return True
    batch = min(waiting, limits.batch_items)
    capacity = sum(limits.slots / v.slowness for v in faster)
    rounds = -(-waiting // limits.batch_items) / capacity
    others_s = (rounds + 0.5) * call_time_s(limits, batch)
    return call_time_s(limits, batch, view.slowness) < others_s
