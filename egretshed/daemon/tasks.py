"""Tasks of a node that run until it stops; one that fails is logged."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from egretshed.environment import Environment
from egretshed.logs import log_event


class NodeTasks:
    """Starts tasks by name and ends them all."""

    def __init__(self, env: Environment):
        self.env = env
        self._tasks: list[asyncio.Task] = []

    def spawn(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(self._on_end)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """End all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_end(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            return
        log_event(
            self.env.logger,
            "task_failed",
            task=task.get_name(),
            error=repr(task.exception()),
        )
