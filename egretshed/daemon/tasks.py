"""Background tasks of a node, which are restarted after an exception."""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)

from egretshed.environment import Environment
from egretshed.logs import log_event

# Keeps a task that always fails immediately from using a whole CPU.
RESTART_DELAY_S = 0.5


class NodeTasks:
    """Named background tasks that are cancelled together."""

    def __init__(self, env: Environment):
        self.env = env
        self._tasks: list[asyncio.Task] = []

    def spawn(self, name: str, function: Callable[[], Awaitable[None]]) -> None:
        """Run `function` until it returns.

        If it raises, the exception is logged and counted, and `function` is called
        again after `RESTART_DELAY_S`.
        """
        self._tasks.append(asyncio.create_task(self._run(name, function), name=name))

    async def _run(self, name: str, function: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await function()
                return
            except Exception as error:
                log_event(self.env.logger, "task_failed", task=name, error=repr(error))
                self.env.metrics.counter(
                    "task_failures_total", "Faults in background tasks", ("task",)
                ).labels(name).inc()
            await self.env.clock.sleep(RESTART_DELAY_S)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for them to end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
