"""Memory that results take on stage servers, as tracked by the batching node."""

from collections import defaultdict

from egretshed.environment import Environment


class ResultLedger:
    """Bytes of results on each stage server until they are freed or expire."""

    def __init__(self, env: Environment):
        self.env = env
        self._held: dict[str, dict[str, tuple[float, int]]] = defaultdict(dict)
        self._reserved: dict[str, int] = defaultdict(int)
        self._unaccounted: dict[str, tuple[float, int]] = {}

    def reserve(self, server_id: str, size_bytes: int) -> None:
        """Reserve memory for the results of a running call."""
        self._reserved[server_id] += size_bytes

    def release(self, server_id: str, size_bytes: int) -> None:
        self._reserved[server_id] = max(0, self._reserved[server_id] - size_bytes)

    def add(self, server_id: str, handle: str, size_bytes: int, ttl_s: float) -> None:
        """Count a finished result until it is removed, for `ttl_s` at most."""
        expires_s = self.env.clock.monotonic_s() + ttl_s
        self._held[server_id][handle] = (expires_s, size_bytes)

    def remove(self, handle: str) -> str | None:
        """Stop counting a result; return the server that held it, or None."""
        for server_id, results in self._held.items():
            if results.pop(handle, None) is not None:
                return server_id
        return None

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
        expires_s, unaccounted = self._unaccounted.get(server_id, (0.0, 0))
        if now_s >= expires_s:
            unaccounted = 0
        results = self._held[server_id]
        for handle, (expires_s, _) in list(results.items()):
            if expires_s <= now_s:
                del results[handle]
        held = unaccounted + sum(size for _, size in results.values())
        return limit_bytes - held - self._reserved[server_id]

    def forget(self, server_id: str) -> None:
        self._held.pop(server_id, None)
        self._reserved.pop(server_id, None)
        self._unaccounted.pop(server_id, None)
