"""Frees results on the stage servers that hold them, several in one call."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.platform.stage_calls import (
    encode_stage_free,
    result_server_address,
)
from egretshed.upstream.exchange import ExchangeFailed
from egretshed.upstream.pool import ConnectionPool

FREE_TIMEOUT_S = 1.0
# Handles are collected for this time, so that one call frees several results.
FREE_DELAY_S = 0.01
MAX_RESPONSE_BYTES = 65536
OK_STATUS = 200


class ResultFreer:
    """Frees results in batches by server.

    Calls `on_freed` with the handles that a server has confirmed. `has_limit_at` tells
    whether the server at an address limits the requests that it takes.
    """

    def __init__(
        self,
        env: Environment,
        pool: ConnectionPool,
        on_freed: Callable[[list[str]], None],
        has_limit_at: Callable[[str], bool] = lambda address: False,
    ):
        self.env = env
        self.pool = pool
        self.has_limit_at = has_limit_at
        self.on_freed = on_freed
        self._pending: dict[str, list[str]] = defaultdict(list)
        self._tasks: set[asyncio.Task] = set()

    def free(self, handles: list[str]) -> None:
        """Schedule results to be freed within `FREE_DELAY_S`."""
        for handle in handles:
            address = result_server_address(handle)
            if not self._pending[address]:
                task = asyncio.create_task(self._free_at(address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            self._pending[address].append(handle)

    async def _free_at(self, address: str) -> None:
        await self.env.clock.sleep(FREE_DELAY_S)
        handles = self._pending.pop(address, [])
        if self.has_limit_at(address):
            # The few requests that it takes are better used for calls, and its results
            # expire by themselves.
            self._log_not_freed(address, handles, "server names a limit")
            return
        request = encode_stage_free(address, handles)
        try:
            async with asyncio.timeout(FREE_TIMEOUT_S):
                status, _ = await self.pool.fetch(
                    address, request, MAX_RESPONSE_BYTES, reuse=True
                )
        except (ExchangeFailed, TimeoutError) as error:
            self._log_not_freed(address, handles, str(error))
            return
        if status != OK_STATUS:
            self._log_not_freed(address, handles, f"status {status}")
            return
        self.on_freed(handles)

    def _log_not_freed(self, address: str, handles: list[str], error: str) -> None:
        """Log a failed call; it is not retried, since the results expire."""
        log_event(
            self.env.logger,
            "results_not_freed",
            address=address,
            results=len(handles),
            error=error,
        )
