"""Prefix cache of a simulated engine, with delayed and missing cache events."""

from collections import OrderedDict

import xxhash

from egretshed.backends.interface import CacheEvent
from egretshed.clock import Clock
from standins.backend_spec import Timing

HASH_RANGE = 2**32


class PrefixCache:
    """LRU cache of prompt prefixes, bounded by `Timing.cache_prefixes`.

    Every insertion and eviction appends a `CacheEvent` with the next number.
    """

    def __init__(self, replica_id: str, timing: Timing, clock: Clock):
        self.replica_id = replica_id
        self.timing = timing
        self.clock = clock
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []

    def cached_tokens(self, prefix: str) -> int:
        """Return the cached length of the prefix, 0 if absent, and mark it as used."""
        if prefix not in self._tokens:
            return 0
        self._tokens.move_to_end(prefix)
        return self._tokens[prefix]

    def add(self, prefix: str, tokens: int) -> None:
        if not prefix or self.timing.cache_prefixes < 1:
            return
        if prefix not in self._tokens:
            self._append_event(prefix, present=True)
        self._tokens[prefix] = max(tokens, self._tokens.get(prefix, 0))
        self._tokens.move_to_end(prefix)
        while len(self._tokens) > self.timing.cache_prefixes:
            evicted, _ = self._tokens.popitem(last=False)
            self._append_event(evicted, present=False)

    def clear(self) -> None:
        """Empty the cache without emitting events, as an engine restart does."""
        self._tokens.clear()

    def prefixes(self) -> list[str]:
        return list(self._tokens)

    def export(self, prefix: str) -> bytes | None:
        """Return the token count as decimal digits, or None if not cached."""
        tokens = self._tokens.get(prefix)
        return None if tokens is None else str(tokens).encode()

    def events(self, after: int) -> list[CacheEvent]:
        """Return the published events numbered above `after`.

        An event is published `cache_event_lag_s` after it occurred. A share of
        `cache_event_gap_share` is never published.
        """
        visible_until_s = self.clock.monotonic_s() - self.timing.cache_event_lag_s
        return [
            event
            for created_s, event in self._events
            if event.number > after
            and created_s <= visible_until_s
            and not self._is_dropped(event)
        ]

    def _append_event(self, prefix: str, present: bool) -> None:
        event = CacheEvent(len(self._events) + 1, prefix, present)
        self._events.append((self.clock.monotonic_s(), event))

    def _is_dropped(self, event: CacheEvent) -> bool:
        # Hashed instead of drawn, so that every poll omits the same events.
        draw = xxhash.xxh32_intdigest(f"{self.replica_id}/{event.number}".encode())
        return draw / HASH_RANGE < self.timing.cache_event_gap_share
