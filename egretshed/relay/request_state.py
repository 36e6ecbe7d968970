"""One request on its way: what was decided for it and how far it got."""

import asyncio
from dataclasses import (
    dataclass,
    field,
)

from egretshed.ingress.server import Reply
from egretshed.relay.request import CallerRequest
from egretshed.serving.schema import (
    Customer,
    Route,
)

# Used if neither the caller nor the route says how long to wait.
DEFAULT_DEADLINE_S = 10.0


@dataclass
class Work:
    """State of one request; all times are on this node's monotonic clock.

    `ran_on` counts the servers that may have run it, `sends` all that it was sent to.
    """

    request: CallerRequest
    reply: Reply
    route: Route
    customer: Customer | None
    priority: int
    service: str
    end_s: float
    target_at_s: float
    ran_on: int = 0
    sends: int = 0
    tried: set[str] = field(default_factory=set)
    stage_results: tuple[str, ...] = ()
    results_by_service: dict[str, tuple[str, ...]] = field(default_factory=dict)
    last_event_id: str = ""
    first_event_s: float | None = None
    first_event_noted: bool = False
    stages_done_s: float | None = None
    server_id: str = ""
    outcome: str = ""
    reason: str = ""
    task: asyncio.Task | None = None

    @property
    def may_have_run(self) -> bool:
        return self.ran_on > 0

    def may_resume(self) -> bool:
        """Return whether another server can go on where the stream was cut."""
        is_known = bool(self.last_event_id) or not self.reply.is_started
        return self.route.is_resumable and is_known

    def remaining_s(self, now_s: float) -> float:
        return self.end_s - now_s


def effective_deadline_s(request: CallerRequest, route: Route) -> float:
    """Return the shorter of the caller's deadline and the route's timeout."""
    limits = [s for s in (request.deadline_s, route.timeout_s) if s]
    return min(limits, default=DEFAULT_DEADLINE_S)
