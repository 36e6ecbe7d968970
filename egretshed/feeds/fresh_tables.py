"""Lets requests wait for fresh tables after this process stood still.

Load pattern: a VM stands still for some seconds, and requests gather in its sockets.
When it goes on, they are read before any timer runs and before the store is heard,
while servers have left, domains were evacuated and configurations have changed. All
VMs may wake at the same moment; each reads every table once.
"""

import asyncio
import math
from collections.abc import (
    Callable,
    Iterable,
)

from egretshed.environment import Environment
from egretshed.feeds.table_view import TableView
from egretshed.logs import log_event

# Longest wait of a request. A node that does not reach the store serves on after it.
WAIT_LIMIT_S = 0.4


class FreshTables:
    """Confirms tables once after each pause of this process.

    `last_pause_s` returns when the process last went on after it stood still, or None.
    It looks at the clock when it is called: no timer has run by then.
    """

    def __init__(
        self,
        env: Environment,
        last_pause_s: Callable[[], float | None],
        views: Iterable[TableView],
    ):
        self.env = env
        self.last_pause_s = last_pause_s
        self.views = tuple(views)
        self._handled_s = -math.inf

    async def wait(self, limit_s: float = WAIT_LIMIT_S) -> None:
        """Return once the tables are younger than the last pause, or the limit ends.

        The limit begins anew if the process stands still again meanwhile.
        """
        while (paused_s := self._unhandled_pause_s()) is not None:
            limit_s = min(limit_s, WAIT_LIMIT_S)
            confirmed = await asyncio.gather(
                *(view.confirm(paused_s, limit_s) for view in self.views)
            )
            if paused_s <= self._handled_s or paused_s != self.last_pause_s():
                continue
            self._handled_s = paused_s
            log_event(
                self.env.logger,
                "tables_refreshed",
                waited_s=round(self.env.clock.monotonic_s() - paused_s, 3),
                confirmed=sum(confirmed),
                tables=len(self.views),
            )

    def _unhandled_pause_s(self) -> float | None:
        paused_s = self.last_pause_s()
        is_handled = paused_s is None or paused_s <= self._handled_s
        return None if is_handled else paused_s
