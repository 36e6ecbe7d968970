"""Memory that results take on stage servers, as tracked by the batching node."""

import heapq
from collections import defaultdict
from typing import NamedTuple

from egretshed.environment import Environment


class _HeldResult(NamedTuple):
    server_id: str
    size_bytes: int
    expires_at_s: float


class ResultLedger:
    """Bytes of results on each stage server until they are freed or expire.

    Totals are kept up to date with each change: the available memory of every server is
    read each time that jobs are dispatched.
    """

    def __init__(self, env: Environment):
        self.env = env
        self._held: dict[str, _HeldResult] = {}
        # Expiry time and handle of each result, the earliest first.
        self._expiries: list[tuple[float, str]] = []
        self._held_bytes: dict[str, int] = defaultdict(int)
        self._reserved: dict[str, int] = defaultdict(int)
        self._unaccounted: dict[str, tuple[float, int]] = {}

    def reserve(self, server_id: str, size_bytes: int) -> None:
        """Reserve memory for the results of a running call."""
        self._reserved[server_id] += size_bytes

    def release(self, server_id: str, size_bytes: int) -> None:
        self._reserved[server_id] = max(0, self._reserved[server_id] - size_bytes)

    def add(self, server_id: str, handle: str, size_bytes: int, ttl_s: float) -> None:
        """Count a finished result until it is removed, for `ttl_s` at most."""
        expires_at_s = self.env.clock.monotonic_s() + ttl_s
        self.remove(handle)
        self._held[handle] = _HeldResult(server_id, size_bytes, expires_at_s)
        self._held_bytes[server_id] += size_bytes
        heapq.heappush(self._expiries, (expires_at_s, handle))

    def remove(self, handle: str) -> str | None:
        """Stop counting a result; return the server that held it, or None."""
        result = self._held.pop(handle, None)
        if result is None:
            return None
        self._held_bytes[result.server_id] -= result.size_bytes
        return result.server_id

    def server_of(self, handle: str) -> str | None:
        """Return the id of the server that holds a result, None if it is not known."""
        result = self._held.get(handle)
        return None if result is None else result.server_id

    def _remove_expired(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            expires_at_s, handle = heapq.heappop(self._expiries)
            result = self._held.get(handle)
            if result is not None and result.expires_at_s == expires_at_s:
                self.remove(handle)

    def note_full(self, server_id: str, limit_bytes: int, for_s: float) -> None:
        """Count all memory that seems available on a server as taken for `for_s`.

        The server reported that it is full: it holds results of an earlier owner, or
        of calls whose responses were lost.
        """
        self._unaccounted.pop(server_id, None)
        unaccounted = max(0, self.available_bytes(server_id, limit_bytes))
        self._unaccounted[server_id] = (
            self.env.clock.monotonic_s() + for_s,
            unaccounted,
        )

    def available_bytes(self, server_id: str, limit_bytes: int) -> int:
        """Return how many more bytes of results the server can hold."""
        now_s = self.env.clock.monotonic_s()
        self._remove_expired(now_s)
        taken_bytes = self._held_bytes[server_id] + self._reserved[server_id]
        unaccounted = self._unaccounted.get(server_id)
        if unaccounted is not None and now_s < unaccounted[0]:
            taken_bytes += unaccounted[1]
        return limit_bytes - taken_bytes

    def keep_only(self, server_ids: set[str]) -> None:
        """Drop what is counted on servers that are no longer listed."""
        for handle, result in list(self._held.items()):
            if result.server_id not in server_ids:
                del self._held[handle]
        for counts in (self._held_bytes, self._reserved, self._unaccounted):
            for server_id in [s for s in counts if s not in server_ids]:
                del counts[server_id]
