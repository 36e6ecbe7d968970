"""Queues of the node that batches stages, and the order in which jobs may start."""

from collections import defaultdict
from collections.abc import Iterator

from egretshed.environment import Environment
from egretshed.serving.schema import StageLimits
from egretshed.stage_scheduling.admission import (
    ServiceLoad,
    WaitingRequest,
    admit,
    expected_remaining_s,
)
from egretshed.stage_scheduling.batching import (
    ChosenPiece,
    StageServerView,
    WaitingJob,
    next_call_s,
    startable_jobs,
    urgency_key,
)
from egretshed.stage_scheduling.capacity import StageCapacity
from egretshed.stage_scheduling.job_leases import JobId
from egretshed.stage_scheduling.progress import (
    ProgressTracker,
    RequestKey,
)

# With at least this many waiting requests, their order is cached for this time.
ORDER_CACHE_MIN_REQUESTS = 48
ORDER_CACHE_TTL_S = 0.04


class WaitingJobs:
    """Queues by service; gathers the inputs of admission control and batching."""

    def __init__(
        self, env: Environment, capacity: StageCapacity, progress: ProgressTracker
    ):
        self.env = env
        self.capacity = capacity
        self.progress = progress
        self.queues: dict[str, dict[JobId, WaitingJob]] = defaultdict(dict)
        self._order_cache: list[tuple[RequestKey, float]] = []
        self._order_cached_at_s = 0.0

    def add(self, service: str, job: WaitingJob) -> None:
        """Queue a job and invalidate the cached order of requests."""
        has_begun = self.progress.has_begun(job.request_key)
        self.queues[service][job.job_id] = job._replace(has_begun=has_begun)
        self._order_cached_at_s = 0.0

    def remove(self, service: str, job_id: JobId) -> None:
        self.queues[service].pop(job_id, None)

    def all_jobs(self) -> Iterator[WaitingJob]:
        """Yield all jobs; jobs may be removed during the iteration."""
        for queue in list(self.queues.values()):
            yield from list(queue.values())

    def take_piece(self, service: str, piece: ChosenPiece, failure_domain: str) -> None:
        """Remove a piece for a call.

        The rest of its job counts as started, and prefers the same failure domain if it
        has no other preference.
        """
        queue = self.queues[service]
        job = queue[piece.job_id]
        if not self.progress.has_begun(job.request_key):
            self.progress.mark_begun(job.request_key)
            self._mark_begun(job.request_key)
        rest = tuple(s for s in job.segments if s != piece.segment)
        if not rest:
            del queue[piece.job_id]
            return
        queue[piece.job_id] = job._replace(
            segments=rest,
            has_begun=True,
            is_started=True,
            preferred_domain=job.preferred_domain or failure_domain,
        )

    def _mark_begun(self, request_key: RequestKey) -> None:
        for queue in self.queues.values():
            for job_id, job in queue.items():
                if job.request_key == request_key and not job.has_begun:
                    queue[job_id] = job._replace(has_begun=True)

    def startable_jobs(
        self,
        service: str,
        views: list[StageServerView],
        limits: StageLimits,
        now_s: float,
    ) -> list[WaitingJob]:
        """Return the jobs of a service whose pieces may run now, most urgent first."""
        requests = self._waiting_requests()
        return startable_jobs(
            self.queues[service].values(),
            admit(requests, self._loads(requests)),
            views,
            limits,
            now_s,
        )

    def _waiting_requests(self) -> list[WaitingRequest]:
        """Return the requests that have not begun, most urgent first."""
        now_s = self.env.clock.monotonic_s()
        is_recent = now_s - self._order_cached_at_s < ORDER_CACHE_TTL_S
        if not is_recent or len(self._order_cache) < ORDER_CACHE_MIN_REQUESTS:
            self._order_cache = self._order_requests(now_s)
            self._order_cached_at_s = now_s
        has_begun = self.progress.has_begun
        return [
            WaitingRequest(key, needs, deadline_at_s)
            for key, deadline_at_s in self._order_cache
            if not has_begun(key) and (needs := self.progress.needs(key))
        ]

    def _order_requests(self, now_s: float) -> list[tuple[RequestKey, float]]:
        """Return the keys and deadlines of waiting requests, most urgent first."""
        ranks: dict[RequestKey, tuple] = {}
        deadlines: dict[RequestKey, float] = {}
        for service, queue in self.queues.items():
            limits = self.capacity.limits(service)
            if limits is None:
                continue
            call_s = next_call_s(queue.values(), limits)
            for job in queue.values():
                if job.has_begun:
                    continue
                key = job.request_key
                rank = urgency_key(job, now_s, call_s)
                ranks[key] = min(rank, ranks.get(key, rank))
                deadlines[key] = job.deadline_at_s
        return [(key, deadlines[key]) for key in sorted(ranks, key=ranks.get)]

    def _loads(self, waiting: list[WaitingRequest]) -> dict[str, ServiceLoad]:
        services = {stage.service for request in waiting for stage in request.needs}
        found = {service: self.capacity.load(service) for service in services}
        return {service: load for service, load in found.items() if load is not None}

    def expected_remaining_s(self) -> dict[RequestKey, float]:
        """Return the time until each request that has not begun is expected to end."""
        waiting = self._waiting_requests()
        return expected_remaining_s(waiting, self._loads(waiting)) if waiting else {}
