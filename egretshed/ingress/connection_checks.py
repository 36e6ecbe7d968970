"""Periodic check of the open connections of callers.

It replaces tornado's timers, which close a connection although its request was read in
the turn of the event loop in which they are due.
"""

import asyncio
from collections.abc import Callable
from typing import (
    Any,
    Generic,
    TypeVar,
)

# A check of 2,000 idle connections took 2 ms on arm64.
CHECK_PERIOD_S = 0.5

Request = TypeVar("Request")


class ConnectionChecks(Generic[Request]):
    """Open connections of one server, with the request that each receives or answers.

    `check` is called with all requests, every `CHECK_PERIOD_S` while there are any.
    """

    def __init__(self, check: Callable[[list[Request]], None]):
        self.requests: dict[Any, Request] = {}
        self._check = check
        self._timer: asyncio.TimerHandle | None = None

    def put(self, connection: Any, request: Request) -> None:
        self.requests[connection] = request
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_PERIOD_S, self._check_all)

    def remove(self, connection: Any) -> None:
        self.requests.pop(connection, None)

    def cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _check_all(self) -> None:
        self._timer = None
        if self.requests:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_PERIOD_S, self._check_all)
            self._check(list(self.requests.values()))
