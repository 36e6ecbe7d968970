"""Event loop in virtual time, for simulations of many nodes in one process.

The time advances to the next timer whenever no task is ready, so that a run depends on
its seed only, and an idle minute costs nothing.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

START_S = 1000.0


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self.now_s += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that never waits; it does no input or output.

    Example::

        loop = VirtualTimeLoop()
        loop.run_until_complete(asyncio.sleep(3600.0))
    """

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


class LoopClock:
    """Clock of the running event loop."""

    def monotonic_s(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_s(self) -> float:
        return self.monotonic_s() + 1.7e9

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds))


def run_virtual(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time, and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
