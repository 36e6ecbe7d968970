"""Time limits measured on the node's own clock."""

import asyncio
from collections.abc import Coroutine
from typing import (
    Any,
    TypeVar,
)

from egretshed.clock import Clock

T = TypeVar("T")


async def within(clock: Clock, call: Coroutine[Any, Any, T], limit_s: float) -> T:
    """Return the result of `call`; cancel it and raise `TimeoutError` at the limit."""
    task = asyncio.ensure_future(call)
    timer = asyncio.ensure_future(clock.sleep(limit_s))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise TimeoutError(f"no result within {limit_s} s")
        return task.result()
    finally:
        task.cancel()
        timer.cancel()
