"""Batching: which waiting pieces go in the next call to a stage server.

Load pattern: each call has a fixed cost besides the cost per piece, so that nearly
empty calls halve the capacity of a stage just when a burst arrives. One node queues all
jobs of a service. Pieces accumulate while all servers are busy, and a server that
becomes free gets the most urgent ones, up to a full call.

Results take memory on the stage servers until all pieces of a job are done and fetched.
Jobs that each hold a part of that memory while they wait for more would deadlock, so a
job starts only while the memory suffices for all started jobs.
"""

from collections.abc import (
    Collection,
    Iterable,
)
from typing import NamedTuple

from egretshed.serving.schema import StageLimits

# A piece that would move at least this much between failure domains waits for a server
# in its preferred domain.
LARGE_TRANSFER_BYTES = 150_000
# Limit of that wait while a server in another domain is free.
DOMAIN_WAIT_LIMIT_S = 0.4
# A piece with less slack before its target does not wait.
DOMAIN_WAIT_MIN_SLACK_S = 0.35

# A job counts as late this long before its target: the work after its stages takes
# longer or shorter than expected by about as much.
TARGET_MARGIN_S = 0.1

# A server counts as slow beside another one if its slowness is this many times higher.
SLOW_SERVER_RATIO = 1.6
# A job that takes at most this share of one server's result memory may overtake a
# larger job that waits for memory.
SMALL_JOB_SHARE = 0.06


class WaitingJob(NamedTuple):
    """The waiting pieces of one job; times are on the owner's monotonic clock.

    `far_bytes` cross between failure domains for each piece that is not run in
    `preferred_domain`. From `must_start_at_s` on the job is more urgent than any that
    can wait: it would otherwise miss its deadline or its inputs would expire.
    `is_started` tells that some pieces of the job were sent to a server, `has_begun`
    that some piece of its request was.
    """

    job_id: tuple[str, int]
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
    """One piece chosen for the next call."""

    job_id: tuple[str, int]
    segment: int
    result_bytes: int
    queued_at_s: float
    deadline_at_s: float


class StageServerView(NamedTuple):
    """State of one stage server as input to the batching decisions."""

    server_id: str
    failure_domain: str
    available_bytes: int
    running_calls: int
    slowness: float  # measured over declared call time


def call_time_s(limits: StageLimits, pieces: int, slowness: float = 1.0) -> float:
    """Return the expected duration of a call with `pieces` pieces."""
    return (limits.call_s + limits.item_s * pieces) * slowness


def next_call_s(jobs: Iterable[WaitingJob], limits: StageLimits) -> float:
    """Return the expected duration of a call with all waiting pieces, or a full one."""
    waiting = sum(len(job.segments) for job in jobs)
    return call_time_s(limits, max(1, min(waiting, limits.batch_items)))


def urgency_key(job: WaitingJob, now_s: float, call_s: float) -> tuple:
    """Return the sort key of a job; smaller keys go first.

    Within a priority, jobs that can still meet their targets go before those that
    cannot, the earliest target first, so that one late request does not make others
    late. From `must_start_at_s` on a job goes first whatever its priority, so that late
    jobs are not postponed until they fail.
    """
    is_late = now_s + call_s + TARGET_MARGIN_S > job.target_at_s
    can_wait = now_s < job.must_start_at_s
    return (
        can_wait,
        job.priority,
        is_late,
        job.target_at_s,
        job.queued_at_s,
        job.job_id,
    )


def startable_jobs(
    jobs: Iterable[WaitingJob],
    may_begin: Collection[tuple[str, str]],
    views: list[StageServerView],
    limits: StageLimits,
    now_s: float,
) -> list[WaitingJob]:
    """Return the jobs whose pieces may run now, most urgent first.

    Started jobs come first, then other jobs of requests that have begun, since these
    free memory the soonest. Jobs of other requests are included only if the request is
    in `may_begin`.
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
    small_bytes = SMALL_JOB_SHARE * limits.result_capacity_bytes
    available_bytes = sum(max(0, view.available_bytes) for view in views)
    allowed: list[WaitingJob] = []
    # The first job may start even if it exceeds the available memory, since it could
    # otherwise never start.
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
                # Later large jobs wait too, so that they do not starve this one.
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
    """Return the pieces for the next call to `server`, in the order of the jobs given.

    Pieces that prefer another failure domain come last.
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
                    job.job_id,
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
    """Return whether a job may run on `server` now, or waits for its own domain."""
    if not _prefers_other_domain(job, server, now_s, call_s):
        return True
    if job.preferred_domain not in usable_domains:
        return True
    return now_s - job.queued_at_s >= DOMAIN_WAIT_LIMIT_S


def _prefers_other_domain(
    job: WaitingJob, server: StageServerView, now_s: float, call_s: float
) -> bool:
    """Return whether a job is better run in another domain and has time to wait."""
    if job.far_bytes < LARGE_TRANSFER_BYTES:
        return False
    if job.preferred_domain in ("", server.failure_domain):
        return False
    return job.target_at_s - now_s - call_s >= DOMAIN_WAIT_MIN_SLACK_S


def available_servers(
    views: list[StageServerView], limits: StageLimits, waiting: int
) -> list[StageServerView]:
    """Return the servers that may get a call now, the least busy and fastest first.

    A slow server gets no call while the faster ones are expected to finish all
    `waiting` pieces before the slow one finishes a single call.
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
    """Return whether a call here ends before the faster servers finish all pieces."""
    faster = [v for v in views if v.slowness * SLOW_SERVER_RATIO < view.slowness]
    if not faster:
        return True
    batch = min(waiting, limits.batch_items)
    capacity = sum(limits.slots / v.slowness for v in faster)
    rounds = -(-waiting // limits.batch_items) / capacity
    others_s = (rounds + 0.5) * call_time_s(limits, batch)
    return call_time_s(limits, batch, view.slowness) < others_s
