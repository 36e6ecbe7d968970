"""Cancels abandoned calls at their servers and holds their slots until they end.

A server ends a cancelled call only after its current step, which takes long while the
server is cold or overloaded. If the slot were released at once, the server would run
one call more than its limit.
"""

import asyncio

from egretshed.backends.directory import BackendDirectory
from egretshed.clock import Clock
from egretshed.errors import (
    BackendError,
    EgretshedError,
)
from egretshed.routing.records import RoutingDecision
from egretshed.routing.router import Router

INITIAL_CANCEL_PERIOD_S = 0.1
MAX_CANCEL_PERIOD_S = 1.0
# A server that cannot be reached may run the call until its deadline plus one step.
UNREACHABLE_GRACE_S = 2.0


class AbandonedCalls:
    """Calls whose requests no longer need them and that may still run."""

    def __init__(self, clock: Clock, router: Router, backends: BackendDirectory):
        self.clock = clock
        self.router = router
        self.backends = backends
        self._tasks: set[asyncio.Task] = set()

    def add(self, decision: RoutingDecision, error: EgretshedError | None) -> None:
        """Cancel the call of `decision` in the background, then release its slot.

        `error` is the failure that this node saw.
        """
        observation = self.router.record_result(decision, None, error)
        task = asyncio.create_task(self._cancel_until_ended(decision))
        self._tasks.add(task)

        def release_slot(_: asyncio.Task) -> None:
            self._tasks.discard(task)
            self.router.release(decision, observation)

        task.add_done_callback(release_slot)

    async def _cancel_until_ended(self, decision: RoutingDecision) -> None:
        give_up_at_s = (
            max(decision.slot.ends_s, self.clock.monotonic_s()) + UNREACHABLE_GRACE_S
        )
        period_s = INITIAL_CANCEL_PERIOD_S
        while await self._cancel(decision, give_up_at_s):
            remaining_s = give_up_at_s - self.clock.monotonic_s()
            await self.clock.sleep(
                min(period_s, remaining_s) if remaining_s > 0 else period_s
            )
            period_s = min(MAX_CANCEL_PERIOD_S, 2 * period_s)

    async def _cancel(self, decision: RoutingDecision, give_up_at_s: float) -> bool:
        """Ask the server to cancel the call; return whether it may still run.

        There is no time limit while the server reports the call as running: a slow
        server may take 90 s to end it and must not get another call in its slot.
        """
        try:
            backend = self.backends.get(decision.replica.replica_id)
            return bool(await backend.cancel(decision.call.attempt_id))
        except BackendError as error:
            return error.may_have_run and self.clock.monotonic_s() < give_up_at_s
        except EgretshedError:
            return False  # The server is no longer in the configuration.
