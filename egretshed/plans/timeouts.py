"""Timeouts on the clock of the environment, so that tests can control time."""

import asyncio
from collections.abc import Coroutine
from typing import (
    Any,
    TypeVar,
)

from egretshed.clock import Clock

T = TypeVar("T")


async def call_with_timeout(
    clock: Clock, call: Coroutine[Any, Any, T], timeout_s: float
) -> T:
    """Return the result of `call`, or cancel it and raise `TimeoutError`."""
    task = asyncio.ensure_future(call)
    timer = asyncio.ensure_future(clock.sleep(timeout_s))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise TimeoutError(f"no result within {timeout_s} s")
        return task.result()
    finally:
        task.cancel()
        timer.cancel()
