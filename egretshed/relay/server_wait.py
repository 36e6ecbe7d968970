"""Awaits a server, and looks for another one while it is silent."""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)
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

    async def wait(
        self,
        limit_s: float | None,
        awaitable: Awaitable[T],
        is_failure: Callable[[T], bool] = lambda result: False,
    ) -> T:
        """Return the result of `awaitable`, which the server has to bring about.

        If it takes longer than `limit_s`, another server is sought, again and again.
        Raises `ServerSilent` once one has the request, unless the first one has gone on
        meanwhile; a result for which `is_failure` holds does not count as that. None
        is no limit.
        """
        if limit_s is None:
            return await awaitable
        waiting = asyncio.ensure_future(awaitable)
        try:
            while not await _is_done_within(waiting, limit_s):
                self._record_silence()
                await self._search(waiting, is_failure)
                limit_s = SEARCH_PERIOD_S
            return waiting.result()
        finally:
            waiting.cancel()

    async def _search(
        self, waiting: asyncio.Future, is_failure: Callable[[T], bool]
    ) -> None:
        """Look for a successor until the server goes on; raise `ServerSilent`."""
        search = asyncio.create_task(
            self.successors.find(self.state, self.service, self.server)
        )
        is_taken = False
        try:
            await asyncio.wait({waiting, search}, return_when=asyncio.FIRST_COMPLETED)
            if _has_gone_on(waiting, is_failure):
                return
            successor = await search
            if successor is not None:
                is_taken = True
                raise ServerSilent(successor)
        finally:
            if not is_taken:
                await self.successors.stop(search, self.state)

    def _record_silence(self) -> None:
        if not self._was_silent:
            self._was_silent = True
            now_s = self.successors.env.clock.monotonic_s()
            self.server.record_response(False, now_s)


def _has_gone_on(waiting: asyncio.Future, is_failure: Callable[[T], bool]) -> bool:
    if not waiting.done() or waiting.exception() is not None:
        return False
    return not is_failure(waiting.result())


async def _is_done_within(waiting: asyncio.Future, limit_s: float) -> bool:
    done, _ = await asyncio.wait({waiting}, timeout=limit_s)
    return bool(done)
