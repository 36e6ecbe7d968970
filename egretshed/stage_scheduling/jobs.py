"""Jobs as submitted to the owner of the stage services, and their outcomes."""

from collections import Counter
from collections.abc import Callable
from dataclasses import (
    dataclass,
    field,
)
from enum import Enum
from typing import NamedTuple

from egretshed.serving.schema import StageLimits
from egretshed.stage_scheduling.admission import PendingStage
from egretshed.stage_scheduling.batching import WaitingJob

# Time reserved before the deadline for the rest of the request once a stage's pieces
# have started, the model engine included.
COMPLETION_RESERVE_S = 2.2
# Share of the time to live of its inputs that a job may spend in the queue.
INPUT_WAIT_TTL_SHARE = 0.4


class PieceFailure(Enum):
    """Why a piece, or the whole job that it belongs to, has no result."""

    TOO_LATE = "too_late"
    NO_TIME = "no_time"  # not started: it could not have ended in time
    INPUT_GONE = "input_gone"
    NO_MEMORY = "no_memory"
    FAILED = "failed"


class StageJob(NamedTuple):
    """The pieces of one stage of one request, as submitted by any node.

    `deadline_s` and `target_s` count from submission. `needs` lists all stages that the
    request still needs, each with its index. `has_begun` tells that some stages of the
    request are done. `input_ids` are suspects if a server crashes while it runs pieces.
    """

    node_id: str
    ticket: int
    request_id: str
    service: str
    stage: int
    segments: tuple[int, ...]
    piece_key: str
    inputs: tuple[str, ...]
    deadline_s: float
    target_s: float
    priority: int
    preferred_domain: str
    result_bytes: int
    far_bytes: int
    needs: tuple[tuple[int, PendingStage], ...] = ()
    has_begun: bool = False
    input_ids: tuple[str, ...] = ()

    @property
    def job_id(self) -> tuple[str, int]:
        return self.node_id, self.ticket

    @property
    def request_key(self) -> tuple[str, str]:
        return self.node_id, self.request_id


class StageOutcome(NamedTuple):
    """Handles in the order of the job's segments, or the reason why there are none.

    `retry_after_s` tells when a request that was refused may be retried.
    """

    handles: tuple[str, ...] = ()
    failure: PieceFailure | None = None
    retry_after_s: float = 0.0


@dataclass
class ActiveJob:
    """An accepted job that has not ended, with the handles of its finished pieces."""

    job: StageJob
    on_done: Callable[[StageOutcome], None]
    handles: dict[int, str] = field(default_factory=dict)
    failures: Counter[int] = field(default_factory=Counter)
    pieces_in_flight: int = 0


def to_waiting_job(job: StageJob, limits: StageLimits, now_s: float) -> WaitingJob:
    """Return the queue entry of a job that was submitted at `now_s`."""
    return WaitingJob(
        job_id=job.job_id,
        request_key=job.request_key,
        segments=job.segments,
        queued_at_s=now_s,
        deadline_at_s=now_s + job.deadline_s,
        target_at_s=now_s + job.target_s,
        must_start_at_s=now_s + _wait_limit_s(job, limits),
        priority=job.priority,
        preferred_domain=job.preferred_domain,
        far_bytes=job.far_bytes,
        result_bytes=min(job.result_bytes, limits.result_capacity_bytes),
    )


def _wait_limit_s(job: StageJob, limits: StageLimits) -> float:
    """Return how long a job may wait without risk to its deadline or its inputs."""
    wait_s = job.deadline_s - COMPLETION_RESERVE_S
    if job.inputs:
        wait_s = min(wait_s, INPUT_WAIT_TTL_SHARE * limits.result_ttl_s)
    return wait_s
