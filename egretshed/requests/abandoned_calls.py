"""Cancels calls that nobody waits for and keeps their slots until they have ended.

A server ends a cancelled call only at its next step, which takes long while it is cold
or overloaded. A slot given back at once would let one more call in beside it.
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

CANCEL_PERIOD_S = 0.1
MAX_CANCEL_PERIOD_S = 1.0
# A server that cannot be asked may run the call until its deadline and a last step.
GRACE_S = 2.0


class AbandonedCalls:
    """Calls that are being cancelled at their servers."""

    def __init__(self, clock: Clock, router: Router, backends: BackendDirectory):
        self.clock = clock
        self.router = router
        self.backends = backends
        self._tasks: set[asyncio.Task] = set()

    def add(self, decision: RoutingDecision, error: EgretshedError | None) -> None:
        """Cancel the call of `decision`, which ended with `error` on this side."""
        observation = self.router.judge(decision, None, error)
        task = asyncio.create_task(self._end(decision))
        self._tasks.add(task)

        def ended(_: asyncio.Task) -> None:
            self._tasks.discard(task)
            self.router.release(decision, observation)

        task.add_done_callback(ended)

    async def _end(self, decision: RoutingDecision) -> None:
        limit_s = max(decision.slot.ends_s, self.clock.monotonic_s()) + GRACE_S
        wait_s = CANCEL_PERIOD_S
        while await self._may_run(decision, limit_s):
            left_s = limit_s - self.clock.monotonic_s()
            await self.clock.sleep(min(wait_s, left_s) if left_s > 0 else wait_s)
            wait_s = min(MAX_CANCEL_PERIOD_S, 2 * wait_s)

    async def _may_run(self, decision: RoutingDecision, limit_s: float) -> bool:
        """Cancel the call; return whether it may still run.

        The server's own word counts however long it takes: a slow server was sent new
        calls beside cancelled ones that took 90 s to end.
        """
        try:
            backend = self.backends.get(decision.replica.replica_id)
            return bool(await backend.cancel(decision.call.attempt_id))
        except BackendError as error:
            return error.may_have_run and self.clock.monotonic_s() < limit_s
        except EgretshedError:
            return False  # The server is no longer declared.
