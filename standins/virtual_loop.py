"""Event loop whose time passes at once while nothing else is to be done."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _SkippingSelector(selectors.SelectSelector):
    """Reports waits as time that has passed."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        events = super().select(0)
        if not events and timeout:
            self.skipped_s += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Loop for tests of time limits; its time begins at 0."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        return self._skipping.skipped_s


def run_virtual(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time, and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
