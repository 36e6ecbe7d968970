"""Calls that wait for a slot of the same pool, in the order in which they get one."""

import asyncio
import itertools
from collections.abc import Iterator

from sortedcontainers import SortedDict

from egretshed.routing.records import (
    RoutingDecision,
    StageCall,
)

Order = tuple[int, float, int]


class WaitingCall:
    """One call in the line; `placed` gets its decision."""

    def __init__(self, call: StageCall, order: Order):
        self.call = call
        self.order = order
        self.placed: asyncio.Future[RoutingDecision] = asyncio.Future()

    @property
    def ends_s(self) -> float:
        return self.order[1]

    def call_at(self, now_s: float) -> StageCall:
        """Return the call with the time that remains of it at `now_s`."""
        return self.call._replace(remaining_s=max(0.0, self.ends_s - now_s))


class WaitingLine:
    """By pool, waiting calls ordered by priority, then by when they must have ended."""

    def __init__(self) -> None:
        self._pools: dict[str, SortedDict] = {}
        self._numbers = itertools.count()

    def join(self, call: StageCall, now_s: float) -> WaitingCall:
        order = (call.priority, now_s + call.remaining_s, next(self._numbers))
        waiting = WaitingCall(call, order)
        self._pools.setdefault(call.pool, SortedDict())[order] = waiting
        return waiting

    def leave(self, waiting: WaitingCall) -> None:
        """Take the call out of the line; leaving twice has no effect."""
        line = self._pools.get(waiting.call.pool, {})
        line.pop(waiting.order, None)

    def place(self, waiting: WaitingCall, decision: RoutingDecision) -> None:
        self.leave(waiting)
        waiting.placed.set_result(decision)

    def in_order(self, pool: str) -> Iterator[WaitingCall]:
        """Return the calls that wait now, the next to be placed first."""
        return iter(list(self._pools.get(pool, {}).values()))

    def count(self, pool: str) -> int:
        return len(self._pools.get(pool, {}))
