"""Mutable state of one request while the relay serves it."""

import asyncio
from dataclasses import (
    dataclass,
    field,
)
from functools import cached_property

from egretshed.ingress.reply import Reply
from egretshed.quarantine.inputs import identify_inputs
from egretshed.relay.request import CallerRequest
from egretshed.serving.schema import (
    Customer,
    Route,
)
from egretshed.stream_versions.records import StreamBeginning

# Applies if neither the caller nor the route sets a deadline.
DEFAULT_DEADLINE_S = 10.0


@dataclass
class RequestState:
    """State of one request; all times are on this node's monotonic clock.

    `possible_executions` counts the servers that may have run the request, `send_count`
    all servers that it was sent to. `target_at_s` is when the latency objective ends.
    A resumable stream with events is bound to `bound_version`; `beginning` tells where
    it began, if that is known. `sent_s` is the time of the last send and
    `sent_wall_ms` the same in Unix time.
    `has_rerun_stages` tells that stages were run again for a second server, and
    `silence_outcome` what the last search for one found while the first was silent.
    `silent_s` is how long the server of the last failed attempt had sent nothing, and
    `connection_end` how its connection had ended by then.
    `framing` is that of the last response of a server; `incomplete_event_bytes` counts
    what followed the last complete event if it was a stream, `attempt_has_events` tells
    whether there was any.
    """

    request: CallerRequest
    reply: Reply
    route: Route
    customer: Customer | None
    priority: int
    service: str
    deadline_at_s: float
    target_at_s: float
    possible_executions: int = 0
    send_count: int = 0
    tried_ids: set[str] = field(default_factory=set)
    # Those of them that may have run the request.
    failed_ids: set[str] = field(default_factory=set)
    stage_results: tuple[str, ...] = ()
    results_by_service: dict[str, tuple[str, ...]] = field(default_factory=dict)
    last_event_id: str = ""
    first_event_s: float | None = None
    first_event_recorded: bool = False
    stages_done_s: float | None = None
    server_id: str = ""
    bound_version: str | None = None
    beginning: StreamBeginning | None = None
    sent_s: float = 0.0
    sent_wall_ms: int = 0
    has_rerun_stages: bool = False
    silence_outcome: str = ""
    silent_s: float | None = None
    connection_end: str = ""
    framing: str = ""
    attempt_has_events: bool = False
    incomplete_event_bytes: int = 0
    outcome: str = ""
    reason: str = ""
    task: asyncio.Task | None = None

    @property
    def may_have_run(self) -> bool:
        return self.possible_executions > 0

    @cached_property
    def input_ids(self) -> tuple[str, ...]:
        """Ids of the inputs that may crash servers, outermost first."""
        customer = self.customer.name if self.customer else ""
        return identify_inputs(self.request, customer)

    def can_resume(self) -> bool:
        """Return whether another server can resume the stream where it was cut."""
        has_position = bool(self.last_event_id) or not self.reply.is_started
        return self.route.is_resumable and has_position

    def remaining_s(self, now_s: float) -> float:
        return self.deadline_at_s - now_s


def effective_deadline_s(request: CallerRequest, route: Route) -> float:
    """Return the shorter of the caller's deadline and the route's timeout."""
    limits = [s for s in (request.deadline_s, route.timeout_s) if s]
    return min(limits, default=DEFAULT_DEADLINE_S)
