"""Takes the slot of the generation stage while earlier stages still run."""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)

from egretshed.clock import Clock
from egretshed.errors import EgretshedError
from egretshed.routing.records import RoutingDecision

WAIT_WEIGHT = 0.1
# A shorter usual wait is not worth a slot that is held unused.
LEAST_WAIT_S = 0.01

Choose = Callable[[], Awaitable[RoutingDecision]]


class SlotWaits:
    """Usual seconds that calls wait for a slot, by pool."""

    def __init__(self) -> None:
        self._waits_s: dict[str, float] = {}

    def observe(self, pool: str, waited_s: float) -> None:
        usual_s = self._waits_s.get(pool, 0.0)
        self._waits_s[pool] = usual_s + (waited_s - usual_s) * WAIT_WEIGHT

    def usual_s(self, pool: str) -> float:
        return self._waits_s.get(pool, 0.0)

    def start_after_s(self, pool: str, stages_before_s: float) -> float | None:
        """Return when to start waiting for a slot that is needed after so long.

        None if a slot is usually free. The slot comes after the usual wait, so it is
        held unused only as far as wait or stages differ from the usual.
        """
        usual_s = self.usual_s(pool)
        if usual_s < LEAST_WAIT_S:
            return None
        return max(0.0, stages_before_s - usual_s)


class EarlyChoice:
    """A choice that is made in the background; `give_up` if it is not needed."""

    def __init__(
        self,
        clock: Clock,
        choose: Choose,
        after_s: float,
        give_back: Callable[[RoutingDecision], None],
    ):
        self._clock = clock
        self._choose = choose
        self._give_back = give_back
        self._task = asyncio.create_task(self._run(after_s))
        self._started = False
        self._used = False

    async def _run(self, after_s: float) -> RoutingDecision:
        await self._clock.sleep(after_s)
        self._started = True
        return await self._choose()

    async def decision(self) -> RoutingDecision | None:
        """Return the decision once it is made; None if it has not begun or failed."""
        if not self._started:
            self.give_up()
            return None
        try:
            decision = await asyncio.shield(self._task)
            self._used = True
            return decision
        except EgretshedError:
            return None
        except asyncio.CancelledError:
            self.give_up()
            raise

    def give_up(self) -> None:
        """End the choice and give back a slot that it has taken and nobody uses."""
        if not self._task.cancel():
            self._end(self._task)
        else:
            self._task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is None and not self._used:
            self._give_back(task.result())
