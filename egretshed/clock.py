"""Time source of a node.

Durations and deadlines use `monotonic_s`. The clocks of different VMs are not assumed
to agree, so `wall_s` is only used for log lines and identifiers.
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Time source; tests pass an implementation that they advance explicitly."""

    def monotonic_s(self) -> float: ...

    def wall_s(self) -> float: ...

    async def sleep(self, seconds: float) -> None: ...


class SystemClock:
    """Clock of the VM."""

    def monotonic_s(self) -> float:
        return time.monotonic()

    def wall_s(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
