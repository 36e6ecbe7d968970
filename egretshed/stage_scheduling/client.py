"""Submits the stages of a request to the node that batches them for all nodes.

This owner is chosen by rendezvous hashing over the reachable nodes. It batches all
stage services, since the admission of a request depends on all services on its path. An
owner that does not accept a job in time, or stops answering, is avoided for a while;
the next candidate gets the job, and this node is the last one.
"""

import asyncio
import itertools
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.errors import (
    NotRun,
    PeerRejected,
    PeerUnavailable,
    StageFailed,
)
from egretshed.gen.messages.ttypes import (
    StageAccepted,
    StageCancel,
    StageDone,
    StageFree,
    StageNeed,
    StageSubmit,
)
from egretshed.logs import log_event
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.stage_scheduling.admission import PendingStage
from egretshed.stage_scheduling.graph import StagePlan
from egretshed.stage_scheduling.job_leases import (
    ACCEPT_TIMEOUT_S,
    CONFIRM_PERIOD_S,
)
from egretshed.stage_scheduling.jobs import (
    PieceFailure,
    StageJob,
    StageOutcome,
)
from egretshed.stage_scheduling.owner import StageOwner
from egretshed.stage_scheduling.owner_search import (
    CONNECTED_AGE_S,
    OwnerSearch,
    next_owner,
)

DUTY = "stages"
# A waiting node submits a job again, to confirm it and that the owner still has it,
# after the expected time plus the margin, or after the period if that is shorter.
CONFIRM_MARGIN_S = 0.2


class StageContext(NamedTuple):
    """Fields that all stages of one request share."""

    request_id: str
    piece_key: str
    priority: int
    input_ids: tuple[str, ...] = ()


class StageInputs(NamedTuple):
    """Inputs, time limits and preferred failure domain of one stage.

    `far_bytes` cross between failure domains for each piece that runs outside
    `preferred_domain`. The stage must end by `deadline_at_s` for its request to be
    answered at all, and by `target_at_s` for it to be on time. `needs` are the stages
    that are not done, `handles` the results that each piece fetches.
    """

    deadline_at_s: float
    target_at_s: float
    needs: tuple[StagePlan, ...]
    has_begun: bool
    handles: tuple[str, ...] = ()
    preferred_domain: str = ""
    far_bytes: int = 0


class StageClient:
    """Submits jobs to owners and awaits their outcomes; serves other nodes' jobs."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        owner: StageOwner,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.owner = owner
        # Starts above the tickets of earlier incarnations of this node.
        self._tickets = itertools.count(env.identity.incarnation)
        self._tasks: set[asyncio.Task] = set()
        # When another node last accepted a job of this one.
        self._accepted_s = float("-inf")
        self._pending: dict[int, asyncio.Future[StageOutcome]] = {}
        peers.handle(StageSubmit, self._on_submit)
        peers.handle(StageDone, self._on_done)
        peers.handle(StageCancel, self._on_cancel)
        peers.handle(StageFree, self._on_free)

    async def run_stage(
        self, context: StageContext, plan: StagePlan, inputs: StageInputs
    ) -> tuple[str, ...]:
        """Run one stage and return the handles of all its pieces.

        Raises `NotRun` if the stage cannot end in time, and `StageFailed` if a piece
        failed or no owner answered.
        """
        own_id = self.env.identity.node_id
        tried_ids: set[str] = set()
        while own_id not in tried_ids:
            node_id = self._next_owner(inputs, tried_ids)
            tried_ids.add(node_id)
            job = self._job(context, plan, inputs)
            try:
                if node_id == own_id:
                    outcome = await self._run_here(job)
                else:
                    outcome = await self._run_at(node_id, job)
            except (PeerUnavailable, PeerRejected) as error:
                self.owners.avoid(node_id, DUTY, str(error))
                continue
            if outcome.failure is PieceFailure.NO_TIME:
                raise NotRun(
                    "stages cannot end before the deadline",
                    reason="stage_overload",
                    retry_after_s=outcome.retry_after_s,
                )
            if outcome.failure is not None:
                raise StageFailed(
                    f"stage {plan.index} failed",
                    reason=outcome.failure.value,
                    stage=plan.index,
                )
            return outcome.handles
        raise StageFailed("no node accepted the stage job", reason="no_owner")

    def _next_owner(self, inputs: StageInputs, tried_ids: set[str]) -> str:
        own_id = self.env.identity.node_id
        now_s = self.env.clock.monotonic_s()
        search = OwnerSearch(
            tuple(self.owners.ranked(DUTY)),
            own_id,
            frozenset(tried_ids),
            inputs.deadline_at_s - now_s,
            now_s - self._accepted_s,
            len(self.owners.all_nodes()),
        )
        node_id = next_owner(search)
        if tried_ids:
            is_last = node_id == own_id
            self.env.metrics.counter(
                "stage_owner_searches_total",
                "Jobs sent on after a node did not accept them",
                ("to",),
            ).labels("this_node" if is_last else "another_node").inc()
            log_event(
                self.env.logger,
                "stage_owner_search",
                owner=node_id,
                tried=sorted(tried_ids),
                is_connected=search.accepted_age_s <= CONNECTED_AGE_S,
                outcome="runs_here" if is_last else "asked",
            )
        return node_id

    def free(self, service: str, handles: tuple[str, ...]) -> None:
        """Schedule results to be freed that are no longer needed."""
        if not handles:
            return
        task = asyncio.create_task(self._free(service, list(handles)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _free(self, service: str, handles: list[str]) -> None:
        node_id = self.owners.ranked(DUTY)[0]
        if node_id != self.env.identity.node_id:
            try:
                message = StageFree(service, handles)
                await self.peers.call(node_id, message, ACCEPT_TIMEOUT_S)
                return
            except (PeerUnavailable, PeerRejected) as error:
                self.owners.avoid(node_id, DUTY, str(error))
        self.owner.free(handles)

    def _job(
        self, context: StageContext, plan: StagePlan, inputs: StageInputs
    ) -> StageJob:
        now_s = self.env.clock.monotonic_s()
        return StageJob(
            node_id=self.env.identity.node_id,
            ticket=next(self._tickets),
            request_id=context.request_id,
            service=plan.service,
            stage=plan.index,
            segments=tuple(range(plan.piece_count)),
            piece_key=context.piece_key,
            inputs=inputs.handles,
            deadline_s=inputs.deadline_at_s - now_s,
            target_s=inputs.target_at_s - now_s,
            priority=context.priority,
            preferred_domain=inputs.preferred_domain,
            result_bytes=plan.result_bytes,
            far_bytes=inputs.far_bytes,
            needs=tuple((need.index, _pending_stage(need)) for need in inputs.needs),
            has_begun=inputs.has_begun,
            input_ids=context.input_ids,
        )

    async def _run_here(self, job: StageJob) -> StageOutcome:
        future: asyncio.Future[StageOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.owner.submit(job, lambda o: future.done() or future.set_result(o))
        try:
            return await future
        except asyncio.CancelledError:
            self.owner.cancel(job.job_id)
            raise

    async def _run_at(self, node_id: str, job: StageJob) -> StageOutcome:
        future: asyncio.Future[StageOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[job.ticket] = future
        try:
            while not future.done():
                wait_s = await self._submit_to(node_id, job)
                await asyncio.wait({future}, timeout=wait_s)
            return future.result()
        except (asyncio.CancelledError, PeerUnavailable):
            self.peers.send(node_id, StageCancel(job.ticket))
            raise
        finally:
            self._pending.pop(job.ticket, None)

    async def _submit_to(self, node_id: str, job: StageJob) -> float:
        """Submit a job, possibly again; return the time until the next submission.

        Submission is idempotent: an owner that already has the job confirms it, and
        sends the outcome again if the job has ended. A repeated submission thus detects
        a failed owner and recovers a lost outcome message.
        """
        reply = await self.peers.call(node_id, _encode_submit(job), ACCEPT_TIMEOUT_S)
        self._accepted_s = self.env.clock.monotonic_s()
        if reply.retry_after_ms is not None:
            raise NotRun(
                "stage owner refused the job",
                reason="stage_overload",
                retry_after_s=reply.retry_after_ms / 1000,
            )
        return min(CONFIRM_PERIOD_S, reply.expected_ms / 1000 + CONFIRM_MARGIN_S)

    async def _on_submit(self, sender: Sender, message: StageSubmit) -> StageAccepted:
        job = StageJob(
            sender.node_id,
            message.ticket,
            message.request_id,
            message.service_name,
            message.stage,
            tuple(message.segments),
            message.piece_key or "",
            tuple(message.inputs),
            message.deadline_ms / 1000,
            message.target_ms / 1000,
            message.priority,
            message.preferred_domain,
            message.result_bytes,
            message.far_bytes,
            tuple(
                (
                    need.stage,
                    PendingStage(need.service_name, need.pieces, need.result_bytes),
                )
                for need in message.needs
            ),
            message.has_begun,
            tuple(message.input_ids or ()),
        )

        def report(outcome: StageOutcome) -> None:
            reason = outcome.failure.value if outcome.failure else ""
            retry_after_ms = int(outcome.retry_after_s * 1000) or None
            done = StageDone(job.ticket, list(outcome.handles), reason, retry_after_ms)
            self.peers.send(sender.node_id, done)

        try:
            expected_s = self.owner.submit(job, report)
        except NotRun as refusal:
            retry_after_s = refusal.fields.get("retry_after_s", 0.5)
            return StageAccepted(0, int(retry_after_s * 1000))
        return StageAccepted(int(expected_s * 1000))

    async def _on_done(self, sender: Sender, message: StageDone) -> None:
        future = self._pending.get(message.ticket)
        if future is not None and not future.done():
            failure = PieceFailure(message.reason) if message.reason else None
            retry_after_s = (message.retry_after_ms or 0) / 1000
            future.set_result(
                StageOutcome(tuple(message.handles), failure, retry_after_s)
            )

    async def _on_cancel(self, sender: Sender, message: StageCancel) -> None:
        self.owner.cancel((sender.node_id, message.ticket))

    async def _on_free(self, sender: Sender, message: StageFree) -> None:
        self.owner.free(message.handles)


def _encode_submit(job: StageJob) -> StageSubmit:
    return StageSubmit(
        job.ticket,
        job.request_id,
        job.service,
        job.stage,
        list(job.segments),
        job.piece_key,
        list(job.inputs),
        int(job.deadline_s * 1000),
        int(job.target_s * 1000),
        job.priority,
        job.preferred_domain,
        job.result_bytes,
        job.far_bytes,
        [
            StageNeed(stage, need.service, need.pieces, need.result_bytes)
            for stage, need in job.needs
        ],
        job.has_begun,
        list(job.input_ids),
    )


def _pending_stage(plan: StagePlan) -> PendingStage:
    return PendingStage(plan.service, plan.piece_count, plan.result_bytes)
