"""Tasks of a node that run until it stops; one that fails is logged and begun again."""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)

from egretshed.environment import Environment
from egretshed.logs import log_event

# A task that fails at once each time must not take the processor.
RESTART_PAUSE_S = 0.5


class NodeTasks:
    """Starts tasks by name and ends them all."""

    def __init__(self, env: Environment):
        self.env = env
        self._tasks: list[asyncio.Task] = []

    def spawn(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run `work` until it returns; a fault in it ends neither it nor the node."""
        self._tasks.append(asyncio.create_task(self._run(name, work), name=name))

    async def _run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await work()
                return
            except Exception as fault:
                log_event(self.env.logger, "task_failed", task=name, error=repr(fault))
                self.env.metrics.counter(
                    "task_failures_total", "Faults in background tasks", ("task",)
                ).labels(name).inc()
            await self.env.clock.sleep(RESTART_PAUSE_S)

    async def cancel(self) -> None:
        """End all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
