"""Reserves the slot of the generation stage while earlier stages still run."""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)

from egretshed.clock import Clock
from egretshed.errors import EgretshedError
from egretshed.routing.records import RoutingDecision

EWMA_WEIGHT = 0.1
# With a shorter average wait, reserving early would only hold a slot unused.
MIN_WAIT_S = 0.01

ReserveSlot = Callable[[], Awaitable[RoutingDecision]]


class SlotWaitTimes:
    """Moving average of the time that calls wait for a slot, by pool."""

    def __init__(self) -> None:
        self._waits_s: dict[str, float] = {}

    def observe(self, pool: str, waited_s: float) -> None:
        average_s = self._waits_s.get(pool, 0.0)
        self._waits_s[pool] = average_s + (waited_s - average_s) * EWMA_WEIGHT

    def average_s(self, pool: str) -> float:
        return self._waits_s.get(pool, 0.0)

    def start_delay_s(self, pool: str, earlier_stages_s: float) -> float | None:
        """Return the seconds after which to request a slot for the last stage.

        `earlier_stages_s` is the expected time of the stages before it. Returns None if
        slots are usually free. The request leads the need by the average wait, so that
        the slot is held unused only as far as the wait or the stages differ from their
        averages.
        """
        average_s = self.average_s(pool)
        if average_s < MIN_WAIT_S:
            return None
        return max(0.0, earlier_stages_s - average_s)


class EarlyReservation:
    """Reserves a slot in the background after a delay.

    `cancel` must be called at the end, also after `decision` has returned.
    """

    def __init__(
        self,
        clock: Clock,
        reserve: ReserveSlot,
        delay_s: float,
        release_slot: Callable[[RoutingDecision], None],
    ):
        self._clock = clock
        self._reserve = reserve
        self._release_slot = release_slot
        self._task = asyncio.create_task(self._run(delay_s))
        self._started = False
        self._used = False

    async def _run(self, delay_s: float) -> RoutingDecision:
        await self._clock.sleep(delay_s)
        self._started = True
        return await self._reserve()

    async def decision(self) -> RoutingDecision | None:
        """Return the decision that holds the slot, once it is made.

        Returns None if the reservation has failed, or has not started yet; in the
        latter case it is cancelled.
        """
        if not self._started:
            self.cancel()
            return None
        try:
            decision = await asyncio.shield(self._task)
            self._used = True
            return decision
        except EgretshedError:
            return None
        except asyncio.CancelledError:
            self.cancel()
            raise

    def cancel(self) -> None:
        """Stop reserving; release the slot if it was reserved and is not used."""
        if not self._task.cancel():
            self._release_unused(self._task)
        else:
            self._task.add_done_callback(self._release_unused)

    def _release_unused(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is None and not self._used:
            self._release_slot(task.result())
