"""Queues of calls that wait for a slot, one for each pool."""

import asyncio
import itertools
from collections.abc import Iterator

from sortedcontainers import SortedDict

from egretshed.routing.records import (
    RoutingDecision,
    StageCall,
)

# Priority, deadline and number of arrival.
Order = tuple[int, float, int]


class WaitingCall:
    """One call in a wait queue; `placed` is resolved with its routing decision."""

    def __init__(self, call: StageCall, order: Order):
        self.call = call
        self.order = order
        self.placed: asyncio.Future[RoutingDecision] = asyncio.Future()

    @property
    def deadline_at_s(self) -> float:
        return self.order[1]

    def call_at(self, now_s: float) -> StageCall:
        """Return the call with its `remaining_s` as of `now_s`."""
        return self.call._replace(remaining_s=max(0.0, self.deadline_at_s - now_s))


class WaitQueue:
    """Waiting calls by pool, ordered by priority, then deadline, then arrival."""

    def __init__(self) -> None:
        self._pools: dict[str, SortedDict] = {}
        self._arrivals = itertools.count()

    def add(self, call: StageCall, now_s: float) -> WaitingCall:
        order = (call.priority, now_s + call.remaining_s, next(self._arrivals))
        waiting = WaitingCall(call, order)
        self._pools.setdefault(call.pool, SortedDict())[order] = waiting
        return waiting

    def remove(self, waiting: WaitingCall) -> None:
        """Remove the call from its queue; removing it again has no effect."""
        queue = self._pools.get(waiting.call.pool, {})
        queue.pop(waiting.order, None)

    def place(self, waiting: WaitingCall, decision: RoutingDecision) -> None:
        self.remove(waiting)
        waiting.placed.set_result(decision)

    def in_order(self, pool: str) -> Iterator[WaitingCall]:
        """Iterate over a snapshot of the waiting calls, the next to be placed first."""
        return iter(list(self._pools.get(pool, {}).values()))

    def count(self, pool: str) -> int:
        return len(self._pools.get(pool, {}))
