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
from egretshed.servers.state import ServerState
from egretshed.upstream.exchange import ExchangeFailed
from egretshed.upstream.pool import ConnectionPool

FREE_TIMEOUT_S = 1.0
# Handles are collected for this time, so that one call frees several results.
FREE_DELAY_S = 0.01
MAX_RESPONSE_BYTES = 65536
OK_STATUS = 200


class ResultFreer:
    """Frees results in batches by server.

    Calls `on_freed` with the handles that a server has confirmed. `holder_of` returns
    the server that holds a result, None if it is not listed any more: its address may
    belong to a server of another service by then. `may_call` tells whether a server may
    get the call now.
    """

    def __init__(
        self,
        env: Environment,
        pool: ConnectionPool,
        on_freed: Callable[[list[str]], None],
        holder_of: Callable[[str], ServerState | None],
        may_call: Callable[[ServerState], bool],
    ):
        self.env = env
        self.pool = pool
        self.on_freed = on_freed
        self.holder_of = holder_of
        self.may_call = may_call
        self._pending: dict[str, list[str]] = defaultdict(list)
        self._tasks: set[asyncio.Task] = set()

    def free(self, handles: list[str]) -> None:
        """Schedule results to be freed within `FREE_DELAY_S`."""
        for handle in handles:
            server = self.holder_of(handle)
            if server is None:
                address = result_server_address(handle)
                self._log_not_freed(address, [handle], "holder is not listed")
                continue
            if not self._pending[server.server_id]:
                task = asyncio.create_task(self._free_at(server))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            self._pending[server.server_id].append(handle)

    async def _free_at(self, server: ServerState) -> None:
        await self.env.clock.sleep(FREE_DELAY_S)
        handles = self._pending.pop(server.server_id, [])
        request = encode_stage_free(server.server_id, server.address, handles)
        try:
            async with asyncio.timeout(FREE_TIMEOUT_S):
                status, _ = await self.pool.fetch(
                    server.address,
                    request,
                    MAX_RESPONSE_BYTES,
                    reuse=True,
                    may_send=lambda: self.may_call(server),
                )
        except (ExchangeFailed, TimeoutError) as error:
            self._log_not_freed(server.address, handles, str(error))
            return
        if status != OK_STATUS:
            self._log_not_freed(server.address, handles, f"status {status}")
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
