"""Ends calls that were given up, and frees their slots once the servers have."""

import asyncio

from egretshed.backends.directory import BackendDirectory
from egretshed.backends.interface import Backend
from egretshed.environment import Environment
from egretshed.errors import EgretshedError
from egretshed.logs import log_event
from egretshed.routing.records import RoutingDecision
from egretshed.routing.router import Router

FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.5
# A cancellation can overtake a call that its server has not read yet.
UNKNOWN_ANSWERS = 2
# A server that neither ends a call nor answers for this long does no work that the slot
# would protect; its circuit keeps further calls away.
STOP_LIMIT_S = 10.0


class CallStopper:
    """Cancels calls at their servers, one short task each."""

    def __init__(self, env: Environment, router: Router, backends: BackendDirectory):
        self.env = env
        self.router = router
        self.backends = backends
        self._tasks: set[asyncio.Task] = set()

    def stop(self, decision: RoutingDecision) -> None:
        """Start to cancel the call of `decision`, which still holds its slot."""
        task = asyncio.create_task(self._stop(decision))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self, limit_s: float) -> None:
        """Wait until the servers have ended all calls, at most `limit_s`."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit_s)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _stop(self, decision: RoutingDecision) -> None:
        try:
            backend = self.backends.get(decision.replica.replica_id)
            if not await self._has_ended(backend, decision.call.attempt_id):
                log_event(
                    self.env.logger,
                    "call_not_ended",
                    replica_id=decision.replica.replica_id,
                    attempt_id=decision.call.attempt_id,
                )
        finally:
            self.router.release(decision)

    async def _has_ended(self, backend: Backend, attempt_id: str) -> bool:
        """Cancel until the server no longer works on the call; False if it goes on."""
        clock = self.env.clock
        end_s = clock.monotonic_s() + STOP_LIMIT_S
        pause_s = FIRST_PAUSE_S
        unknown_answers = 0
        while clock.monotonic_s() < end_s:
            try:
                works = await backend.cancel(attempt_id)
                unknown_answers = 0 if works else unknown_answers + 1
            except EgretshedError:
                pause_s = MAX_PAUSE_S  # An unreachable server is asked less often.
            if unknown_answers >= UNKNOWN_ANSWERS:
                return True
            await clock.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
        return False
