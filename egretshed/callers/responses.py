"""Requests that have begun to arrive and are not answered yet."""

import asyncio
from typing import Any


class ResponseTracker:
    """Counts responses in progress, so that a shutdown can wait for them.

    Used as a context manager around each response. With `is_closing`, each response
    tells its caller that the connection closes after it.
    """

    def __init__(self) -> None:
        self.is_closing = False
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> None:
        self._count += 1
        self._idle.clear()

    def __exit__(self, *exc: Any) -> None:
        self._count -= 1
        if not self._count:
            self._idle.set()

    async def wait_idle(self, limit_s: float) -> bool:
        """Wait up to `limit_s`; return whether all responses have ended."""
        try:
            async with asyncio.timeout(limit_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
