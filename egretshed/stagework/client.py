"""Runs the stages of a request at the node that batches them for all nodes.

That owner is chosen by rendezvous hashing over the nodes that this node reaches. It
batches all stage services, since whether a request may begin depends on all services
on its way. An owner that does not accept a job at once, or that falls silent, is passed
over; another node, at last this one, does the work.
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
from egretshed.membership.service_owner import ServiceOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.stagework.admission import PendingStage
from egretshed.stagework.graph import StagePlan
from egretshed.stagework.jobs import (
    PieceFailure,
    StageJob,
    StageOutcome,
)
from egretshed.stagework.owner import StageOwner

DUTY = "stages"
# An owner that lives accepts within a few milliseconds; a frozen one does not.
ACCEPT_TIMEOUT_S = 0.2
MAX_OWNERS_TRIED = 2
# A waiting node asks the owner again after this time, whether it still has the job.
CONFIRM_PERIOD_S = 0.6
CONFIRM_MARGIN_S = 0.2


class StageContext(NamedTuple):
    """What all stages of one request have in common."""

    request_id: str
    piece_key: str
    priority: int


class StageInputs(NamedTuple):
    """What the pieces of one stage are given, and where they are best made.

    `far_bytes` cross between failure domains for each piece that is made elsewhere. The
    stage must end by `deadline_at_s` for its request to be answered at all, and by
    `target_at_s` for it to be on time. `needs` are the stages that are not done.
    """

    deadline_at_s: float
    target_at_s: float
    needs: tuple[StagePlan, ...]
    has_begun: bool
    handles: tuple[str, ...] = ()
    preferred_domain: str = ""
    far_bytes: int = 0


class StageClient:
    """Hands jobs to owners and waits for their results."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: ServiceOwners,
        owner: StageOwner,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.owner = owner
        # Starts above the tickets of this node's earlier incarnations.
        self._tickets = itertools.count(env.identity.incarnation)
        self._tasks: set[asyncio.Task] = set()
        self._pending: dict[int, asyncio.Future[StageOutcome]] = {}
        peers.handle(StageSubmit, self._on_submit)
        peers.handle(StageDone, self._on_done)
        peers.handle(StageCancel, self._on_cancel)
        peers.handle(StageFree, self._on_free)

    async def run_stage(
        self, context: StageContext, plan: StagePlan, inputs: StageInputs
    ) -> tuple[str, ...]:
        """Return the handles of all pieces of one stage.

        Raises `NotRun` if the stage cannot end in time, `StageFailed` if it ran and
        failed.
        """
        own_id = self.env.identity.node_id
        for node_id in self.owners.candidates(DUTY, MAX_OWNERS_TRIED):
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
                    "the stages cannot end in time",
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
        raise StageFailed("no node batches for the stage", reason="no_owner")

    def free(self, service: str, handles: tuple[str, ...]) -> None:
        """Free results that are needed no more."""
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
        )

    async def _run_here(self, job: StageJob) -> StageOutcome:
        done: asyncio.Future[StageOutcome] = asyncio.get_running_loop().create_future()
        self.owner.submit(job, lambda o: done.done() or done.set_result(o))
        try:
            return await done
        except asyncio.CancelledError:
            self.owner.cancel(job.job_id)
            raise

    async def _run_at(self, node_id: str, job: StageJob) -> StageOutcome:
        done: asyncio.Future[StageOutcome] = asyncio.get_running_loop().create_future()
        self._pending[job.ticket] = done
        try:
            while not done.done():
                wait_s = await self._submit_to(node_id, job)
                await asyncio.wait({done}, timeout=wait_s)
            return done.result()
        except (asyncio.CancelledError, PeerUnavailable):
            self.peers.send(node_id, StageCancel(job.ticket))
            raise
        finally:
            self._pending.pop(job.ticket, None)

    async def _submit_to(self, node_id: str, job: StageJob) -> float:
        """Submit a job, or ask for one again; return when to ask the next time.

        An owner that has the job already only confirms it, so that asking again finds
        out whether it lives, and whether its result was lost on the way.
        """
        reply = await self.peers.call(node_id, _encode_submit(job), ACCEPT_TIMEOUT_S)
        if reply.retry_after_ms is not None:
            raise NotRun(
                "stage queue is too long",
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
        waiting = self._pending.get(message.ticket)
        if waiting is not None and not waiting.done():
            failure = PieceFailure(message.reason) if message.reason else None
            retry_after_s = (message.retry_after_ms or 0) / 1000
            waiting.set_result(
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
    )


def _pending_stage(plan: StagePlan) -> PendingStage:
    return PendingStage(plan.service, plan.piece_count, plan.result_bytes)
