"""Clocks whose time is advanced by the test."""

import asyncio
import heapq
import itertools

LOOP_PASSES = 50


class ManualClock:
    """Clock whose time changes only in `advance`.

    Sleeping tasks are woken in the order of their wake-up times.
    """

    def __init__(self, start_s: float = 1000.0):
        self._now_s = start_s
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []
        self._order = itertools.count()

    def monotonic_s(self) -> float:
        return self._now_s

    def wall_s(self) -> float:
        return self._now_s + 1.7e9

    async def sleep(self, seconds: float) -> None:
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        wakeup = asyncio.get_running_loop().create_future()
        entry = (self._now_s + seconds, next(self._order), wakeup)
        heapq.heappush(self._sleepers, entry)
        await wakeup

    async def advance(self, seconds: float) -> None:
        """Advance the time, running each task when its sleep ends."""
        end_s = self._now_s + seconds
        await self.run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            at_s, _, wakeup = heapq.heappop(self._sleepers)
            self._now_s = max(self._now_s, at_s)
            if not wakeup.done():
                wakeup.set_result(None)
            await self.run_ready_tasks()
        self._now_s = end_s
        await self.run_ready_tasks()

    def jump(self, seconds: float) -> None:
        """Advance the time without running a task, as if the process were paused."""
        self._now_s += seconds

    async def run_ready_tasks(self) -> None:
        """Run enough passes of the event loop for every ready task to wait again."""
        for _ in range(LOOP_PASSES):
            await asyncio.sleep(0)


class OffsetClock:
    """View of a `ManualClock` at a constant offset, to simulate clock skew."""

    def __init__(self, base: ManualClock, offset_s: float):
        self.base = base
        self.offset_s = offset_s

    def monotonic_s(self) -> float:
        return self.base.monotonic_s() + self.offset_s

    def wall_s(self) -> float:
        return self.base.wall_s() + self.offset_s

    async def sleep(self, seconds: float) -> None:
        await self.base.sleep(seconds)
