"""Fake backend server that tracks its calls and reports its load with a delay."""

from collections import deque

from egretshed.backends.interface import (
    CacheEvent,
    LoadReport,
)
from egretshed.clock import Clock
from egretshed.errors import BackendUnreachable


class FakeServer:
    """In-memory backend server; load reports show its state of `lag_s` ago."""

    def __init__(self, clock: Clock, lag_s: float = 0.2, warm: bool = True):
        self.clock = clock
        self.lag_s = lag_s
        self.calls: set[str] = set()
        self.warm = warm
        self.cold_since_s = clock.monotonic_s()
        self.leaving = False
        self.reachable = True
        self.events: list[CacheEvent] = []
        self._history: deque[tuple[float, int, bool]] = deque()
        self._record_state()

    def start(self, attempt_id: str) -> None:
        self.calls.add(attempt_id)
        self._record_state()

    def end(self, attempt_id: str) -> None:
        self.calls.discard(attempt_id)
        self._record_state()

    def set_warm(self, warm: bool) -> None:
        self.warm = warm
        if not warm:
            self.cold_since_s = self.clock.monotonic_s()
        self._record_state()

    async def load(self) -> LoadReport:
        if not self.reachable:
            raise BackendUnreachable(
                "the fake server is unreachable", may_have_run=False
            )
        visible_until_s = self.clock.monotonic_s() - self.lag_s
        while len(self._history) > 1 and self._history[1][0] <= visible_until_s:
            self._history.popleft()
        _, in_flight, warm = self._history[0]
        return LoadReport(in_flight, 0, warm, self.leaving, self.lag_s)

    async def cache_events(self, after: int) -> list[CacheEvent]:
        return [event for event in self.events if event.number > after]

    def _record_state(self) -> None:
        now_s = self.clock.monotonic_s()
        self._history.append((now_s, len(self.calls), self.warm))


class FakeDirectory:
    """Backend directory over fake servers by replica ID."""

    def __init__(self, servers: dict[str, FakeServer]):
        self.servers = servers

    def get(self, replica_id: str) -> FakeServer:
        return self.servers[replica_id]
