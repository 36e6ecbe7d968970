"""Owner of the stage services: queues, batches and calls for the requests of all nodes.

All nodes submit their jobs to the owner, which runs one task for each call to a stage
server. A piece whose call failed is queued again until it has failed
`MAX_PIECE_FAILURES` times or the retry budget is used up, so it may run more than once.
"""

import asyncio
from collections import (
    OrderedDict,
)
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.errors import NotRun
from egretshed.logs import log_event
from egretshed.platform.server_signals import decode_server_signals
from egretshed.platform.stage_calls import (
    StageItem,
    StageItemResult,
)
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.rollouts.gate import (
    STAGE_CALLS,
    RolloutGate,
)
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import (
    ServingConfiguration,
    StageLimits,
)
from egretshed.stage_scheduling.batching import (
    ChosenPiece,
    StageServerView,
    WaitingJob,
    available_servers,
    call_time_s,
    choose_batch,
)
from egretshed.stage_scheduling.calls import (
    CallOutcome,
    KnownHandles,
    call_stage_server,
)
from egretshed.stage_scheduling.capacity import (
    REFUSAL_PAUSE_S,
    StageCapacity,
)
from egretshed.stage_scheduling.job_leases import (
    JobId,
    JobLeases,
)
from egretshed.stage_scheduling.jobs import (
    ActiveJob,
    PieceFailure,
    StageJob,
    StageOutcome,
    to_waiting_job,
)
from egretshed.stage_scheduling.progress import ProgressTracker
from egretshed.stage_scheduling.result_freer import ResultFreer
from egretshed.stage_scheduling.waiting_jobs import WaitingJobs
from egretshed.upstream.pool import ConnectionPool

# A job fails once one of its pieces has failed this many times.
MAX_PIECE_FAILURES = 3
# Time for which a server that reported no memory counts as full; meanwhile results that
# this owner does not account for are freed or expire.
UNACCOUNTED_RESULTS_S = 0.3
# Outcomes kept for submitters that missed the message and submit again.
MAX_FINISHED_OUTCOMES = 256
# Expected time that is returned for a job that was submitted before.
RESUBMIT_CONFIRM_S = 0.4
RETRY_AFTER_LIMITS_S = (0.2, 2.0)
# Interval at which state of servers that are no longer listed is dropped.
PRUNE_PERIOD_S = 2.0


class StageOwner:
    """Queues jobs of stage services and runs their pieces in batched calls.

    `on_broken_call` are called with a server that may have run a call and did not
    answer it, the jobs of the call, and the time at which it was sent.
    """

    def __init__(
        self,
        env: Environment,
        configuration: Callable[[], ServingConfiguration | None],
        servers: ServerRegistry,
        pool: ConnectionPool,
        budget: SharedRetryBudget,
        rollouts: RolloutGate | None = None,
    ):
        self.env = env
        self.servers = servers
        self.pool = pool
        self.budget = budget
        self.progress = ProgressTracker()
        self.rollouts = rollouts or RolloutGate(env, servers)
        self.capacity = StageCapacity(
            env, configuration, servers, self.progress, self.rollouts
        )
        self._jobs: dict[JobId, ActiveJob] = {}
        self._leases = JobLeases(env)
        self.waiting = WaitingJobs(env, self.capacity, self.progress)
        self._known_handles = KnownHandles()
        self._tasks: set[asyncio.Task] = set()
        self._finished: OrderedDict[JobId, StageOutcome] = OrderedDict()
        self._freer = ResultFreer(
            env, pool, self._on_freed, self.capacity.holder_of, servers.may_free_results
        )
        self.on_broken_call: list[
            Callable[[ServerState, list[StageJob], float], None]
        ] = []

    def submit(self, job: StageJob, on_done: Callable[[StageOutcome], None]) -> float:
        """Queue a job; return the expected time until it is done, in seconds.

        For a request that has not begun, that is the time until all its stages are
        done. A job that is queued already is confirmed, and the outcome of one that has
        ended is reported again. Raises `NotRun` if the service is unknown or the
        request cannot end in time; then nothing runs.
        """
        limits = self.capacity.limits(job.service)
        if limits is None:
            raise NotRun(
                "unknown stage service", reason="unknown_service", retry_after_s=0.5
            )
        if job.job_id in self._jobs:
            self._leases.confirm(job.job_id)
            return RESUBMIT_CONFIRM_S
        if job.job_id in self._finished:
            on_done(self._finished[job.job_id])
            return 0.0
        now_s = self.env.clock.monotonic_s()
        waiting = to_waiting_job(job, limits, now_s)
        waiting_before = len(self.waiting.queues[job.service])
        self._count_request(job)
        self.progress.note_needs(
            job.request_key, dict(job.needs), job.has_begun, waiting.deadline_at_s
        )
        self.waiting.add(job.service, waiting)
        has_begun = self.progress.has_begun(job.request_key)
        expected_s = call_time_s(limits, min(len(job.segments), limits.batch_items))
        if not has_begun:
            expected_s = self.waiting.expected_remaining_s().get(
                job.request_key, expected_s
            )
        if not has_begun and expected_s > job.deadline_s:
            self.waiting.remove(job.service, job.job_id)
            self.progress.drop(job.request_key)
            self._log_job(job, waiting_before, expected_s, "refused")
            raise NotRun(
                "stages cannot end before the deadline",
                reason="stage_overload",
                retry_after_s=_retry_after_s(expected_s, job.deadline_s),
            )
        self._jobs[job.job_id] = ActiveJob(job, on_done)
        self._leases.confirm(job.job_id)
        self._log_job(job, waiting_before, expected_s, "queued")
        self._dispatch(job.service)
        return expected_s

    def _count_request(self, job: StageJob) -> None:
        """Count a new request once for each stage service, for the retry budget.

        One that another owner has begun was counted there.
        """
        if job.has_begun or self.progress.is_known(job.request_key):
            return
        for service in {need.service for _, need in job.needs} | {job.service}:
            self.budget.record_request(service)

    def _log_job(
        self, job: StageJob, waiting: int, expected_s: float, outcome: str
    ) -> None:
        log_event(
            self.env.logger,
            "stage_job",
            request_id=job.request_id,
            asked_by=job.node_id,
            service=job.service,
            stage=job.stage,
            pieces=len(job.segments),
            has_begun=job.has_begun,
            jobs_waiting=waiting,
            begun_pieces=self.progress.pending_pieces(job.service),
            expected_s=round(expected_s, 3),
            target_s=round(job.target_s, 3),
            deadline_s=round(job.deadline_s, 3),
            priority=job.priority,
            preferred_domain=job.preferred_domain,
            outcome=outcome,
        )

    def cancel(self, job_id: JobId) -> None:
        """Drop a job and the needs of its request; calls in flight are not aborted."""
        active = self._jobs.pop(job_id, None)
        if active is None:
            return
        self._leases.end(job_id)
        self.waiting.remove(active.job.service, job_id)
        self.progress.drop(active.job.request_key)
        self.free(list(active.handles.values()))

    def free(self, handles: list[str]) -> None:
        """Schedule results to be freed on their servers."""
        self._freer.free(handles)

    def _on_freed(self, handles: list[str]) -> None:
        # Memory counts as taken until the server has confirmed that it is free.
        for handle in handles:
            self.capacity.ledger.remove(handle)
        self._dispatch_all()

    def has_work(self) -> bool:
        """Return whether any job is queued or running here."""
        return bool(self._jobs)

    async def run(self) -> None:
        """Expire jobs and dispatch to servers that are usable again, until cancelled.

        Runs once every `REFUSAL_PAUSE_S`.
        """
        pruned_s = self.env.clock.monotonic_s()
        while True:
            await self.env.clock.sleep(REFUSAL_PAUSE_S)
            self._leases.note_active()
            now_s = self.env.clock.monotonic_s()
            self.progress.drop_expired(now_s)
            if now_s - pruned_s >= PRUNE_PERIOD_S:
                self.capacity.prune()
                pruned_s = now_s
            self._fail_expired()
            self._drop_abandoned()
            self._refuse_unattainable()
            self._dispatch_all()

    def _fail_expired(self) -> None:
        now_s = self.env.clock.monotonic_s()
        for waiting in self.waiting.all_jobs():
            if waiting.deadline_at_s <= now_s:
                self._fail(waiting.job_id, StageOutcome((), PieceFailure.TOO_LATE))

    def _drop_abandoned(self) -> None:
        """Drop jobs that nobody confirms and of whose request nothing has run.

        A submitter that was only silent submits its job again. Work that has begun is
        kept, since the submitter may still ask for it.
        """
        for waiting in self.waiting.all_jobs():
            if waiting.has_begun or not self._leases.has_ended(waiting.job_id):
                continue
            job = self._jobs[waiting.job_id].job
            log_event(
                self.env.logger,
                "stage_job_abandoned",
                request_id=job.request_id,
                asked_by=job.node_id,
                service=job.service,
                confirmed_age_s=round(self._leases.age_s(job.job_id), 3),
            )
            self.cancel(waiting.job_id)

    def _refuse_unattainable(self) -> None:
        """Refuse requests that have not begun and can no longer end in time."""
        now_s = self.env.clock.monotonic_s()
        remaining_s = self.waiting.expected_remaining_s()
        for waiting in self.waiting.all_jobs():
            expected_s = remaining_s.get(waiting.request_key)
            left_s = waiting.deadline_at_s - now_s
            if expected_s is None or expected_s <= left_s or waiting.is_started:
                continue
            self._log_refusal(waiting, expected_s, left_s)
            retry_after_s = _retry_after_s(expected_s, left_s)
            refusal = StageOutcome((), PieceFailure.NO_TIME, retry_after_s)
            self._fail(waiting.job_id, refusal)

    def _log_refusal(
        self, waiting: WaitingJob, expected_s: float, left_s: float
    ) -> None:
        job = self._jobs[waiting.job_id].job
        log_event(
            self.env.logger,
            "stage_job_refused",
            request_id=job.request_id,
            service=job.service,
            expected_s=round(expected_s, 3),
            left_s=round(left_s, 3),
            waited_s=round(self.env.clock.monotonic_s() - waiting.queued_at_s, 3),
        )

    def _dispatch_all(self) -> None:
        for service in list(self.waiting.queues):
            self._dispatch(service)

    def _dispatch(self, service: str) -> None:
        """Start a call on each available server while jobs wait."""
        limits = self.capacity.limits(service)
        queue = self.waiting.queues[service]
        if limits is None or not queue:
            return
        if not self.capacity.has_free_server(service, limits):
            return
        views = self.capacity.views(service, limits)
        waiting = sum(len(job.segments) for job in queue.values())
        available = available_servers(views, limits, waiting)
        if not available:
            return
        domains = {view.failure_domain for view in views}
        self._leases.note_active()
        now_s = self.env.clock.monotonic_s()
        ordered = self._startable_jobs(service, views, limits, now_s)
        for view in available:
            batch = choose_batch(ordered, view, domains, limits, now_s)
            if not batch:
                continue
            self._start_call(service, view, batch, limits)
            server = self.servers.servers[view.server_id]
            views[views.index(view)] = self.capacity.view(server, limits)
            ordered = self._startable_jobs(service, views, limits, now_s)

    def _startable_jobs(self, service, views, limits, now_s) -> list[WaitingJob]:
        ordered = self.waiting.startable_jobs(service, views, limits, now_s)
        return [job for job in ordered if self._leases.may_start(job.job_id)]

    def _start_call(
        self,
        service: str,
        view: StageServerView,
        batch: list[ChosenPiece],
        limits: StageLimits,
    ) -> None:
        for piece in batch:
            self.waiting.take_piece(service, piece, view.failure_domain)
            self._jobs[piece.job_id].pieces_in_flight += 1
        size_bytes = sum(piece.result_bytes for piece in batch)
        self.capacity.note_call_start(view.server_id, size_bytes)
        server = self.servers.servers[view.server_id]
        self.servers.acquire_sole_permit(server)
        self._spawn(self._call(service, server, batch, limits, size_bytes))

    async def _call(self, service, server, batch, limits, size_bytes: int) -> None:
        began_at_s = self.env.clock.monotonic_s()
        slowness = self.capacity.slowness.estimate(server)
        expected_s = call_time_s(limits, len(batch), slowness)
        jobs = [self._jobs[p.job_id].job for p in batch if p.job_id in self._jobs]
        run = self.rollouts.note_sent(server, STAGE_CALLS)
        outcome, results = await self._send_call(server, batch, expected_s)
        self.rollouts.note_end(server, run, _has_failed(outcome, results))
        now_s = self.env.clock.monotonic_s()
        self.capacity.note_call_end(server.server_id, size_bytes)
        self._log_call(
            service, server, (batch, results), began_at_s, expected_s, outcome
        )
        for piece in batch:
            if piece.job_id in self._jobs:
                self._jobs[piece.job_id].pieces_in_flight -= 1
        if outcome == CallOutcome.ANSWERED:
            server.record_response(True, now_s)
            if all(result.handle for result in results):
                declared_s = call_time_s(limits, len(batch))
                self.capacity.slowness.observe(server, declared_s, now_s - began_at_s)
            self._handle_results(server, batch, results, limits)
        elif outcome in (CallOutcome.FULL, CallOutcome.NOT_SENT):
            if outcome == CallOutcome.FULL:
                self.capacity.pause(server.server_id)
            self._requeue(batch, limits, counts_as_failure=False)
        else:
            server.record_connection_failure(now_s)
            counts_as_failure = outcome == CallOutcome.MAY_HAVE_RUN
            if counts_as_failure:
                for listener in self.on_broken_call:
                    listener(server, jobs, began_at_s)
            self._requeue(batch, limits, counts_as_failure=counts_as_failure)
        self._dispatch_all()

    async def _send_call(
        self, server: ServerState, batch: list[ChosenPiece], expected_s: float
    ) -> tuple[CallOutcome, list[StageItemResult]]:
        now_s = self.env.clock.monotonic_s()
        items = [self._item(p, now_s) for p in batch if p.job_id in self._jobs]
        if len(items) < len(batch):
            # A job was cancelled before its call started; the others are queued again.
            return CallOutcome.NOT_SENT, []
        return await call_stage_server(
            self.pool,
            self._known_handles,
            server,
            items,
            expected_s,
            lambda head: self.servers.record_signals(
                server, decode_server_signals(head), now_s
            ),
            lambda: self.servers.may_get_chosen_work(server),
            lambda: self.budget.is_left(server.listed.service),
        )

    def _item(self, piece: ChosenPiece, now_s: float) -> StageItem:
        job = self._jobs[piece.job_id].job
        return StageItem(
            job.request_id,
            job.stage,
            piece.segment,
            piece.deadline_at_s - now_s,
            job.piece_key,
            job.inputs,
        )

    def _handle_results(self, server, batch, results, limits: StageLimits) -> None:
        ledger = self.capacity.ledger
        for piece, result in zip(batch, results, strict=True):
            if result.handle:
                ledger.add(
                    server.server_id,
                    result.handle,
                    piece.result_bytes,
                    limits.result_ttl_s,
                )
                self._finish_piece(piece, result.handle)
            elif result.failure in (PieceFailure.TOO_LATE, PieceFailure.INPUT_GONE):
                self._fail(piece.job_id, StageOutcome((), result.failure))
            else:
                counts_as_failure = result.failure is not PieceFailure.NO_MEMORY
                self._requeue([piece], limits, counts_as_failure)
        if any(result.failure is PieceFailure.NO_MEMORY for result in results):
            limit_bytes = limits.result_capacity_bytes
            ledger.note_full(server.server_id, limit_bytes, UNACCOUNTED_RESULTS_S)

    def _finish_piece(self, piece: ChosenPiece, handle: str) -> None:
        active = self._jobs.get(piece.job_id)
        if active is None:
            self.free([handle])
            return
        job = active.job
        active.handles[piece.segment] = handle
        self.progress.note_piece_done(job.request_key, job.stage)
        if len(active.handles) == len(job.segments):
            del self._jobs[piece.job_id]
            self._leases.end(piece.job_id)
            handles = tuple(active.handles[s] for s in job.segments)
            self._report(active, StageOutcome(handles))

    def _report(self, active: ActiveJob, outcome: StageOutcome) -> None:
        """Report an outcome, and keep it in case the message is lost."""
        self._finished[active.job.job_id] = outcome
        while len(self._finished) > MAX_FINISHED_OUTCOMES:
            self._finished.popitem(last=False)
        active.on_done(outcome)

    def _requeue(
        self, batch: list[ChosenPiece], limits: StageLimits, counts_as_failure: bool
    ) -> None:
        """Queue pieces again; with `counts_as_failure`, each uses up one attempt."""
        for piece in batch:
            active = self._jobs.get(piece.job_id)
            if active is None:
                continue
            active.failures[piece.segment] += int(counts_as_failure)
            allowed = active.failures[piece.segment] < MAX_PIECE_FAILURES
            if allowed and counts_as_failure:
                allowed = self.budget.try_acquire(active.job.service)
            if counts_as_failure:
                self._record_failure(active, piece, allowed)
            if allowed:
                self._requeue_piece(active, piece, limits)
            else:
                self._fail(piece.job_id, StageOutcome((), PieceFailure.FAILED))

    def _record_failure(
        self, active: ActiveJob, piece: ChosenPiece, is_repeated: bool
    ) -> None:
        outcome = "repeated" if is_repeated else "request_failed"
        service = active.job.service
        metrics = self.env.metrics
        metrics.counter(
            "stage_pieces_failed_total",
            "Stage pieces that a server failed",
            ("service", "outcome"),
        ).labels(metrics.bounded_label("service", service), outcome).inc()
        log_event(
            self.env.logger,
            "stage_piece_failed",
            request_id=active.job.request_id,
            service=service,
            stage=active.job.stage,
            piece=piece.segment,
            failures=active.failures[piece.segment],
            outcome=outcome,
        )

    def _requeue_piece(
        self, active: ActiveJob, piece: ChosenPiece, limits: StageLimits
    ) -> None:
        job = active.job
        queue = self.waiting.queues[job.service]
        waiting = queue.get(job.job_id)
        if waiting is None:
            now_s = self.env.clock.monotonic_s()
            left_s = piece.deadline_at_s - now_s
            passed_s = job.deadline_s - left_s
            job = job._replace(deadline_s=left_s, target_s=job.target_s - passed_s)
            waiting = to_waiting_job(job, limits, now_s)._replace(segments=())
        queue[job.job_id] = waiting._replace(
            segments=tuple(sorted((*waiting.segments, piece.segment))),
            queued_at_s=piece.queued_at_s,
            has_begun=True,
            is_started=bool(active.handles) or active.pieces_in_flight > 0,
        )

    def fail_input(self, service: str, input_id: str) -> None:
        """Fail the jobs of requests with an input that nodes begin to refuse."""
        for active in list(self._jobs.values()):
            if input_id in active.job.input_ids:
                outcome = StageOutcome((), PieceFailure.FAILED)
                self._fail(active.job.job_id, outcome)

    def _fail(self, job_id: JobId, outcome: StageOutcome) -> None:
        active = self._jobs.get(job_id)
        if active is None:
            return
        self.cancel(job_id)
        self._report(active, outcome)

    def _log_call(self, service, server, call, began_at_s, expected_s, outcome) -> None:
        batch, results = call
        took_s = self.env.clock.monotonic_s() - began_at_s
        jobs = {piece.job_id: self._jobs.get(piece.job_id) for piece in batch}
        request_ids = [active.job.request_id for active in jobs.values() if active]
        log_event(
            self.env.logger,
            "stage_call",
            service=service,
            server_id=server.server_id,
            pieces=len(batch),
            request_ids=request_ids,
            not_made=[result.failure.value for result in results if result.failure],
            jobs_waiting=len(self.waiting.queues[service]),
            begun_pieces=self.progress.pending_pieces(service),
            waited_s=round(began_at_s - min(p.queued_at_s for p in batch), 3),
            expected_s=round(expected_s, 3),
            took_s=round(took_s, 3),
            outcome=outcome.value,
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _has_failed(outcome: CallOutcome, results: list[StageItemResult]) -> bool | None:
    """Return whether the server has failed a call, None if it did not run it."""
    if outcome in (CallOutcome.FULL, CallOutcome.NOT_SENT):
        return None
    is_answered = outcome is CallOutcome.ANSWERED
    return not is_answered or any(r.failure is PieceFailure.FAILED for r in results)


def _retry_after_s(expected_s: float, left_s: float) -> float:
    """Return how long the queue takes to become short enough to end in time."""
    least_s, most_s = RETRY_AFTER_LIMITS_S
    return round(min(most_s, max(least_s, expected_s - left_s)), 3)
