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

# Longest wait after a pause. A node that does not reach the store serves on after it.
WAIT_LIMIT_S = 1.0
# Share of the time that a request has left for which it may wait.
WAIT_SHARE = 0.25
# Pause after a table could not be confirmed.
RETRY_PERIOD_S = 0.05


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

    async def wait(self, left_s: float | None = None) -> None:
        """Return once the tables are younger than the last pause, or the wait ends.

        `left_s` is the time that the request has left. The wait begins anew if the
        process stands still again meanwhile.
        """
        while (paused_s := self._unhandled_pause_s()) is not None:
            limit_s = WAIT_LIMIT_S
            if left_s is not None:
                limit_s = min(limit_s, WAIT_SHARE * left_s)
            confirmed = await asyncio.gather(
                *(self._confirm(view, paused_s, limit_s) for view in self.views)
            )
            if paused_s != self.last_pause_s():
                continue
            waited_s = self.env.clock.monotonic_s() - paused_s
            if all(confirmed) or waited_s >= WAIT_LIMIT_S:
                self._note_handled(paused_s, waited_s, sum(confirmed))
            return

    async def _confirm(self, view: TableView, paused_s: float, limit_s: float) -> bool:
        """Confirm a table, again after a failure: kept connections may have ended."""
        clock = self.env.clock
        end_s = clock.monotonic_s() + limit_s
        while (left_s := end_s - clock.monotonic_s()) > 0:
            if await view.confirm(paused_s, left_s):
                return True
            await clock.sleep(min(RETRY_PERIOD_S, left_s))
        return False

    def _note_handled(self, paused_s: float, waited_s: float, confirmed: int) -> None:
        if paused_s <= self._handled_s:
            return
        self._handled_s = paused_s
        log_event(
            self.env.logger,
            "tables_refreshed",
            waited_s=round(waited_s, 3),
            confirmed=confirmed,
            tables=len(self.views),
        )

    def _unhandled_pause_s(self) -> float | None:
        paused_s = self.last_pause_s()
        is_handled = paused_s is None or paused_s <= self._handled_s
        return None if is_handled else paused_s
