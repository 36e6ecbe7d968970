"""Awaits a server, and looks for another one while it is silent."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from egretshed.relay.request_state import RequestState
from egretshed.relay.successor import (
    ServerSilent,
    SuccessorFinder,
)
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Service

# Pause between two searches for another server while one is silent.
SEARCH_PERIOD_S = 0.5

T = TypeVar("T")


class ServerWait:
    """Waits of one attempt for what its server sends."""

    def __init__(
        self,
        successors: SuccessorFinder,
        state: RequestState,
        service: Service,
        server: ServerState,
    ):
        self.successors = successors
        self.state = state
        self.service = service
        self.server = server
        self._was_silent = False

    async def wait(self, limit_s: float | None, awaitable: Awaitable[T]) -> T:
        """Return the result of `awaitable`, which the server has to bring about.

        If it takes longer than `limit_s`, another server is sought, again and again.
        Raises `ServerSilent` once one has the request. None is no limit.
        """
        if limit_s is None:
            return await awaitable
        waiting = asyncio.ensure_future(awaitable)
        try:
            while not await _is_done_within(waiting, limit_s):
                self._record_silence()
                successor = await self.successors.find(
                    self.state, self.service, self.server
                )
                if successor is not None and _has_result(waiting):
                    self.successors.dismiss(successor)
                elif successor is not None:
                    raise ServerSilent(successor)
                limit_s = SEARCH_PERIOD_S
            return waiting.result()
        finally:
            waiting.cancel()

    def _record_silence(self) -> None:
        if not self._was_silent:
            self._was_silent = True
            now_s = self.successors.env.clock.monotonic_s()
            self.server.record_response(False, now_s)


def _has_result(waiting: asyncio.Future) -> bool:
    """Return whether the server went on; the end of a body is a result as well."""
    if not waiting.done():
        return False
    failure = waiting.exception()
    return failure is None or isinstance(failure, StopAsyncIteration)


async def _is_done_within(waiting: asyncio.Future, limit_s: float) -> bool:
    done, _ = await asyncio.wait({waiting}, timeout=limit_s)
    return bool(done)
