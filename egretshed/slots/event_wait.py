"""Waiting for an event with a timeout on the environment's clock."""

import asyncio

from egretshed.clock import Clock


async def wait_for_event(clock: Clock, event: asyncio.Event, timeout_s: float) -> bool:
    """Return whether `event` is set within `timeout_s`."""
    if event.is_set():
        return True
    timer = asyncio.ensure_future(clock.sleep(timeout_s))
    waiter = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait({timer, waiter}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        timer.cancel()
        waiter.cancel()
    return event.is_set()
