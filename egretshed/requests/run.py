"""State of one running request, and the services that it uses."""

import asyncio
from typing import (
    Any,
    NamedTuple,
)

from egretshed.admission.queue import AdmissionQueue
from egretshed.backends.directory import BackendDirectory
from egretshed.claims.records import Claim
from egretshed.claims.service import ClaimService
from egretshed.configuration.service import ConfigurationService
from egretshed.requests.stream import RequestStream
from egretshed.requests.submission import Submission
from egretshed.retries.budgets import RetryBudgets
from egretshed.retries.stage_times import (
    StageTimes,
)
from egretshed.routing.router import Router


class RunnerServices(NamedTuple):
    """Services that the requests of this node use."""

    configuration: ConfigurationService
    admission: AdmissionQueue
    router: Router
    backends: BackendDirectory
    claims: ClaimService
    budgets: RetryBudgets
    stage_times: StageTimes


class Run:
    """State of one running request; `deadline_at_s` is a monotonic time."""

    def __init__(
        self, submission: Submission, stream: RequestStream, deadline_at_s: float
    ):
        self.submission = submission
        self.stream = stream
        self.deadline_at_s = deadline_at_s
        self.claim: Claim | None = None
        self.attempt_id = ""
        self.usage: dict[str, Any] = {}
        self.task: asyncio.Task | None = None
        # Whether a stop of the node cancelled the task, and not the caller.
        self.ended_by_stop = False
