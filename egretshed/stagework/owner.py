"""The node that batches the pieces of a service: its queue, calls and results.

Pieces of all nodes' requests come here; each call to a stage server is one task. A
piece whose call failed waits again, a few times; pieces may be produced more than once.
"""

import asyncio
from collections import (
    OrderedDict,
    defaultdict,
)
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.errors import NotRun
from egretshed.logs import log_event
from egretshed.platform.stage_calls import (
    StageItem,
    StageItemResult,
)
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import (
    ServingConfiguration,
    StageLimits,
)
from egretshed.stagework.calls import (
    CallOutcome,
    Slowness,
    call_stage_server,
)
from egretshed.stagework.freeing import ResultFreer
from egretshed.stagework.jobs import (
    PieceFailure,
    RunningJob,
    StageJob,
    StageOutcome,
    waiting_pieces,
)
from egretshed.stagework.ledger import ResultLedger
from egretshed.stagework.queue import (
    StageServerView,
    WaitingPiece,
    call_time_s,
    choose_batch,
    expected_wait_s,
    free_servers,
    startable,
)
from egretshed.upstream.pool import ConnectionPool

# A piece is produced again this often before its request is told that it failed.
MAX_PIECE_FAILURES = 3
# A server that refused a call is asked again after this time.
FULL_PAUSE_S = 0.08
# Results that this owner does not know of are freed or expire meanwhile.
UNKNOWN_RESULTS_S = 0.3
# Outcomes kept for submitters that did not get them.
FINISHED_KEPT = 256
# When a submitter that asked again should ask the next time.
CONFIRMED_AGAIN_S = 0.4
RETRY_AFTER_MIN_S = 0.2


class StageOwner:
    """Queues and calls of the services that this node batches for."""

    def __init__(
        self,
        env: Environment,
        configuration: Callable[[], ServingConfiguration | None],
        servers: ServerRegistry,
        pool: ConnectionPool,
        budget: SharedRetryBudget,
    ):
        self.env = env
        self.configuration = configuration
        self.servers = servers
        self.pool = pool
        self.budget = budget
        self.ledger = ResultLedger(env)
        self._jobs: dict[tuple[str, int], RunningJob] = {}
        self._queues: dict[str, list[WaitingPiece]] = defaultdict(list)
        self._calls: dict[str, int] = defaultdict(int)
        self._slowness = Slowness(env)
        self._pause_until_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._finished: OrderedDict[tuple[str, int], StageOutcome] = OrderedDict()
        self._freer = ResultFreer(env, pool, self._on_freed)

    def submit(self, job: StageJob, on_done: Callable[[StageOutcome], None]) -> float:
        """Queue a job; return when its last piece is expected, in seconds.

        Raises `NotRun` if the job cannot end before its deadline; then nothing runs.
        """
        limits = self._limits(job.service)
        if limits is None:
            raise NotRun(
                "no stage service", reason="unknown_service", retry_after_s=0.5
            )
        if job.job_id in self._jobs:
            return CONFIRMED_AGAIN_S
        if job.job_id in self._finished:
            on_done(self._finished[job.job_id])
            return 0.0
        now_s = self.env.clock.monotonic_s()
        pieces = waiting_pieces(job, limits, now_s)
        queue = self._queues[job.service]
        expected_s = self._expected_s(job, pieces, queue, limits, now_s)
        if expected_s > job.deadline_s:
            self._log_job(job, len(queue), expected_s, "refused")
            retry_after_s = max(RETRY_AFTER_MIN_S, expected_s - job.deadline_s)
            raise NotRun(
                "stage queue is too long",
                reason="stage_overload",
                retry_after_s=round(retry_after_s, 3),
            )
        self._jobs[job.job_id] = RunningJob(job, {}, on_done)
        self._log_job(job, len(queue), expected_s, "queued")
        queue += pieces
        self._pump(job.service)
        return expected_s

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
            waiting=waiting,
            expected_s=round(expected_s, 3),
            target_s=round(job.target_s, 3),
            deadline_s=round(job.deadline_s, 3),
            priority=job.priority,
            preferred_domain=job.preferred_domain,
            outcome=outcome,
        )

    def _expected_s(self, job, pieces, queue, limits, now_s: float) -> float:
        views = self._views(job.service, limits)
        wait_s = expected_wait_s(queue, pieces[-1], views, limits, now_s)
        calls = -(-len(pieces) // limits.batch_items)
        rounds = -(-calls // max(1, len(views) * limits.slots))
        in_call = min(len(pieces), limits.batch_items)
        return wait_s + rounds * call_time_s(limits, in_call)

    def cancel(self, job_id: tuple[str, int]) -> None:
        """Drop the waiting pieces of a job; a call that runs goes on."""
        running = self._jobs.pop(job_id, None)
        if running is None:
            return
        queue = self._queues[running.job.service]
        queue[:] = [piece for piece in queue if piece.ticket != job_id]
        self.free(list(running.handles.values()))

    def free(self, handles: list[str]) -> None:
        """Free results at their makers soon."""
        self._freer.free(handles)

    def _on_freed(self, handles: list[str]) -> None:
        # The memory counts as taken until the maker has confirmed that it is free.
        for handle in handles:
            self.ledger.free(handle)
        for service in self._queues:
            self._pump(service)

    def has_work(self) -> bool:
        """Return whether any job waits or runs here."""
        return bool(self._jobs)

    async def run(self) -> None:
        """Notice expired pieces, and servers that are usable again, until cancelled."""
        while True:
            await self.env.clock.sleep(FULL_PAUSE_S)
            for service in list(self._queues):
                if self._queues[service]:
                    self._expire(service)
                    self._pump(service)

    def _expire(self, service: str) -> None:
        now_s = self.env.clock.monotonic_s()
        for piece in list(self._queues[service]):
            if piece.deadline_at_s <= now_s:
                self._fail(piece.ticket, PieceFailure.TOO_LATE)

    def _limits(self, service: str) -> StageLimits | None:
        configuration = self.configuration()
        declared = configuration and configuration.services.get(service)
        return declared.stage if declared else None

    def _views(self, service: str, limits: StageLimits) -> list[StageServerView]:
        now_s = self.env.clock.monotonic_s()
        return [
            StageServerView(
                server.server_id,
                server.failure_domain,
                self.ledger.room_bytes(server.server_id, limits.result_room_bytes),
                self._calls[server.server_id],
                self._slowness.of(server.server_id),
            )
            for server in self.servers.usable(service)
            if now_s >= self._pause_until_s.get(server.server_id, 0.0)
        ]

    def _pump(self, service: str) -> None:
        """Start a call on each server that is free, while pieces wait."""
        limits = self._limits(service)
        queue = self._queues[service]
        if limits is None or not queue:
            return
        views = self._views(service, limits)
        domains = {view.failure_domain for view in views}
        now_s = self.env.clock.monotonic_s()
        single_s = call_time_s(limits, 1)
        for view in free_servers(views, limits, len(queue)):
            begun = self._begun(queue)
            ordered = startable(
                queue, begun, self._views(service, limits), now_s, single_s
            )
            batch = choose_batch(ordered, view, domains, limits, now_s)
            if not batch:
                continue
            taken = {(piece.ticket, piece.segment) for piece in batch}
            queue[:] = [
                self._near(piece, batch, view)
                for piece in queue
                if (piece.ticket, piece.segment) not in taken
            ]
            self._start_call(service, view, batch, limits)

    def _begun(self, queue: list[WaitingPiece]) -> set[tuple[str, int]]:
        """Return the jobs in the queue of which a piece was made or is being made."""
        waiting: dict[tuple[str, int], int] = {}
        for piece in queue:
            waiting[piece.ticket] = waiting.get(piece.ticket, 0) + 1
        return {
            ticket
            for ticket, count in waiting.items()
            if count < len(self._jobs[ticket].job.segments)
        }

    def _near(self, piece: WaitingPiece, batch, view: StageServerView) -> WaitingPiece:
        """Let the rest of a job follow its first pieces to their failure domain."""
        if piece.preferred_domain or piece.ticket not in {p.ticket for p in batch}:
            return piece
        return piece._replace(preferred_domain=view.failure_domain)

    def _start_call(self, service, view, batch, limits) -> None:
        server = self.servers.servers[view.server_id]
        size_bytes = sum(piece.result_bytes for piece in batch)
        self._calls[view.server_id] += 1
        self.ledger.reserve(view.server_id, size_bytes)
        self._spawn(self._call(service, server, batch, limits, size_bytes))

    async def _call(self, service, server, batch, limits, size_bytes: int) -> None:
        began_s = self.env.clock.monotonic_s()
        slowness = self._slowness.of(server.server_id)
        expected_s = call_time_s(limits, len(batch), slowness)
        outcome, results = await self._ask(server, batch, expected_s)
        now_s = self.env.clock.monotonic_s()
        self._calls[server.server_id] -= 1
        self.ledger.release(server.server_id, size_bytes)
        call = (batch, results)
        self._log_call(service, server, call, began_s, expected_s, outcome)
        if outcome == CallOutcome.ANSWERED:
            server.note_answer(True, now_s)
            if all(result.handle for result in results):
                declared_s = call_time_s(limits, len(batch))
                self._slowness.note(server.server_id, declared_s, now_s - began_s)
            self._take_results(service, server, batch, results, limits)
        elif outcome == CallOutcome.FULL:
            self._pause_until_s[server.server_id] = now_s + FULL_PAUSE_S
            self._requeue(service, batch, counts=False)
        else:
            server.note_unreachable(now_s)
            self._requeue(service, batch, counts=outcome == CallOutcome.MAY_HAVE_RUN)
        self._pump(service)

    async def _ask(
        self, server: ServerState, batch: list[WaitingPiece], expected_s: float
    ) -> tuple[CallOutcome, list[StageItemResult]]:
        now_s = self.env.clock.monotonic_s()
        items = [self._item(p, now_s) for p in batch if p.ticket in self._jobs]
        if len(items) < len(batch):
            # A job was dropped just now; the rest of the batch has its turn later.
            return CallOutcome.FULL, []
        return await call_stage_server(self.pool, server, items, expected_s)

    def _item(self, piece: WaitingPiece, now_s: float) -> StageItem:
        job = self._jobs[piece.ticket].job
        return StageItem(
            job.request_id,
            job.stage,
            piece.segment,
            piece.deadline_at_s - now_s,
            job.piece_key,
            job.inputs,
        )

    def _take_results(self, service, server, batch, results, limits) -> None:
        for piece, result in zip(batch, results, strict=True):
            if result.handle:
                self.ledger.add(
                    server.server_id,
                    result.handle,
                    piece.result_bytes,
                    limits.result_ttl_s,
                )
                self._finish_piece(piece, result.handle)
            elif result.failure in (PieceFailure.TOO_LATE, PieceFailure.INPUT_GONE):
                self._fail(piece.ticket, result.failure)
            elif result.failure is PieceFailure.NO_MEMORY:
                self._requeue(service, [piece], counts=False)
            else:
                self._requeue(service, [piece], counts=True)
        if any(result.failure is PieceFailure.NO_MEMORY for result in results):
            limit_bytes = limits.result_room_bytes
            self.ledger.note_full(server.server_id, limit_bytes, UNKNOWN_RESULTS_S)

    def _finish_piece(self, piece: WaitingPiece, handle: str) -> None:
        running = self._jobs.get(piece.ticket)
        if running is None:
            self.free([handle])
            return
        running.handles[piece.segment] = handle
        if len(running.handles) == len(running.job.segments):
            del self._jobs[piece.ticket]
            handles = tuple(running.handles[s] for s in running.job.segments)
            self._report(running, StageOutcome(handles))

    def _report(self, running: RunningJob, outcome: StageOutcome) -> None:
        """Tell the submitter; it may ask again if the message is lost."""
        self._finished[running.job.job_id] = outcome
        while len(self._finished) > FINISHED_KEPT:
            self._finished.popitem(last=False)
        running.on_done(outcome)

    def _requeue(self, service: str, batch, counts: bool) -> None:
        for piece in batch:
            if piece.ticket not in self._jobs:
                continue
            failures = piece.failures + int(counts)
            allowed = failures < MAX_PIECE_FAILURES
            if allowed and counts:
                allowed = self.budget.take(service)
            if allowed:
                self._queues[service].append(piece._replace(failures=failures))
            else:
                self._fail(piece.ticket, PieceFailure.FAILED)

    def _fail(self, job_id: tuple[str, int], failure: PieceFailure) -> None:
        running = self._jobs.get(job_id)
        if running is None:
            return
        self.cancel(job_id)
        self._report(running, StageOutcome((), failure))

    def _log_call(self, service, server, call, began_s, expected_s, outcome) -> None:
        batch, results = call
        took_s = self.env.clock.monotonic_s() - began_s
        jobs = {piece.ticket: self._jobs.get(piece.ticket) for piece in batch}
        request_ids = [running.job.request_id for running in jobs.values() if running]
        log_event(
            self.env.logger,
            "stage_call",
            service=service,
            server_id=server.server_id,
            pieces=len(batch),
            request_ids=request_ids,
            not_made=[result.failure.value for result in results if result.failure],
            waiting=len(self._queues[service]),
            waited_s=round(began_s - min(p.queued_s for p in batch), 3),
            expected_s=round(expected_s, 3),
            took_s=round(took_s, 3),
            outcome=outcome.value,
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
