"""Time source of a node.

Durations use `monotonic_s`; `wall_s` only labels log lines and identifiers, since the
clocks of different VMs are not assumed to agree.
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Time source; tests pass one that they advance by hand."""

    def monotonic_s(self) -> float: ...

    def wall_s(self) -> float: ...

    async def sleep(self, seconds: float) -> None: ...


class SystemClock:
    """The clock of the VM."""

    def monotonic_s(self) -> float:
        return time.monotonic()

    def wall_s(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
