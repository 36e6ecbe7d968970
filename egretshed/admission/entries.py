"""Admission requests, queue entries and tickets."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple


class AdmissionRequest(NamedTuple):
    """A request to be admitted; lower `priority` numbers are dispatched first.

    `deadline_s` is the time that remains; `stage_pools` are the pools of its stages in
    order; `generation_s` is the usual time to generate its tokens, 0 if unknown.
    """

    request_id: str
    customer_id: str
    kind: str
    priority: int
    deadline_s: float
    stage_pools: tuple[str, ...]
    generation_s: float = 0.0


class Entry:
    """A request in the queue; `cost_s` is its expected time from start to end.

    `number` is its order of arrival. `pool` is the pool of its last stage, where a
    request that is started too early would wait for a slot.
    """

    __slots__ = ("cost_s", "deadline_at_s", "granted", "number", "request")

    def __init__(
        self,
        request: AdmissionRequest,
        number: int,
        deadline_at_s: float,
        cost_s: float,
        granted: asyncio.Future,
    ):
        self.request = request
        self.number = number
        self.deadline_at_s = deadline_at_s
        self.cost_s = cost_s
        self.granted = granted

    @property
    def pool(self) -> str:
        return self.request.stage_pools[-1] if self.request.stage_pools else ""

    @property
    def latest_start_s(self) -> float:
        return self.deadline_at_s - self.cost_s

    def latest_start_order(self) -> tuple[float, int]:
        return self.latest_start_s, self.number

    def deadline_order(self) -> tuple[float, int]:
        return self.deadline_at_s, self.number


class AdmissionTicket:
    """Permission to run one request; release it when the request has ended.

    Only the first release has an effect.
    """

    def __init__(self, entry: Entry, started_s: float, on_release: Callable[..., None]):
        self.request = entry.request
        self.pool = entry.pool
        self.cost_s = entry.cost_s
        self.deadline_at_s = entry.deadline_at_s
        self.started_s = started_s
        self._on_release = on_release
        self._released = False

    def release(self, completed: bool) -> None:
        """Release the ticket; `completed` if the request gave a complete response."""
        if not self._released:
            self._released = True
            self._on_release(self, completed)
