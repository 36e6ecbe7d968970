"""Jobs of the node that batches for a service, and how they end."""

from collections import Counter
from collections.abc import Callable
from dataclasses import (
    dataclass,
    field,
)
from enum import Enum
from typing import NamedTuple

from egretshed.serving.schema import StageLimits
from egretshed.stagework.admission import PendingStage
from egretshed.stagework.batching import WaitingJob

# Time that a request needs after a stage's pieces have begun, its engine included.
COMPLETION_RESERVE_S = 2.2
# Share of their time to live that results may wait for the stage that needs them.
INPUT_WAIT_TTL_SHARE = 0.4


class PieceFailure(Enum):
    """Why a piece, or the job that it belongs to, was not made."""

    TOO_LATE = "too_late"
    NO_TIME = "no_time"  # not begun: it could not have ended in time
    INPUT_GONE = "input_gone"
    NO_MEMORY = "no_memory"
    FAILED = "failed"


class StageJob(NamedTuple):
    """The pieces of one stage of one request, as submitted by any node.

    `needs` names all stages that the request still needs, by their numbers; `has_begun`
    tells that some of its stages are done.
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

    @property
    def job_id(self) -> tuple[str, int]:
        return self.node_id, self.ticket

    @property
    def request_key(self) -> tuple[str, str]:
        return self.node_id, self.request_id


class StageOutcome(NamedTuple):
    """Handles in the order of the job's segments, or why there are none.

    `retry_after_s` tells when work that was not begun may be asked for again.
    """

    handles: tuple[str, ...] = ()
    failure: PieceFailure | None = None
    retry_after_s: float = 0.0


@dataclass
class ActiveJob:
    """A job that was accepted, with the handles of its finished pieces."""

    job: StageJob
    on_done: Callable[[StageOutcome], None]
    handles: dict[int, str] = field(default_factory=dict)
    failures: Counter[int] = field(default_factory=Counter)
    pieces_in_flight: int = 0


def to_waiting_job(job: StageJob, limits: StageLimits, now_s: float) -> WaitingJob:
    """Return a job that was submitted at `now_s` as the queue sees it."""
    return WaitingJob(
        ticket=job.job_id,
        request_key=job.request_key,
        segments=job.segments,
        queued_at_s=now_s,
        deadline_at_s=now_s + job.deadline_s,
        target_at_s=now_s + job.target_s,
        must_start_at_s=now_s + _wait_limit_s(job, limits),
        priority=job.priority,
        preferred_domain=job.preferred_domain,
        far_bytes=job.far_bytes,
        result_bytes=min(job.result_bytes, limits.result_room_bytes),
    )


def _wait_limit_s(job: StageJob, limits: StageLimits) -> float:
    """Return how long a job may wait before its request or its inputs are lost."""
    wait_s = job.deadline_s - COMPLETION_RESERVE_S
    if job.inputs:
        wait_s = min(wait_s, INPUT_WAIT_TTL_SHARE * limits.result_ttl_s)
    return wait_s
