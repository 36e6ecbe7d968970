"""Prefix cache of a stand-in engine, with late and incomplete cache events."""

from collections import OrderedDict

import xxhash

from egretshed.backends.interface import CacheEvent
from egretshed.clock import Clock
from standins.backend_spec import Timing

HASH_RANGE = 2**32


class PrefixCache:
    """Least recently used prefixes; each change is an event with the next number."""

    def __init__(self, replica_id: str, timing: Timing, clock: Clock):
        self.replica_id = replica_id
        self.timing = timing
        self.clock = clock
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []

    def cached_tokens(self, prefix: str) -> int:
        """Return the prefix's cached length and mark it as used."""
        if prefix not in self._tokens:
            return 0
        self._tokens.move_to_end(prefix)
        return self._tokens[prefix]

    def add(self, prefix: str, tokens: int) -> None:
        if not prefix or self.timing.cache_prefixes < 1:
            return
        if prefix not in self._tokens:
            self._note(prefix, present=True)
        self._tokens[prefix] = max(tokens, self._tokens.get(prefix, 0))
        self._tokens.move_to_end(prefix)
        while len(self._tokens) > self.timing.cache_prefixes:
            evicted, _ = self._tokens.popitem(last=False)
            self._note(evicted, present=False)

    def clear(self) -> None:
        """Forget everything without an event, as a restarted engine does."""
        self._tokens.clear()

    def prefixes(self) -> list[str]:
        return list(self._tokens)

    def export(self, prefix: str) -> bytes | None:
        tokens = self._tokens.get(prefix)
        return None if tokens is None else str(tokens).encode()

    def events(self, after: int) -> list[CacheEvent]:
        """Return the events old enough to be published, without the lost ones."""
        visible_s = self.clock.monotonic_s() - self.timing.cache_event_lag_s
        return [
            event
            for noted_s, event in self._events
            if event.number > after and noted_s <= visible_s and not self._lost(event)
        ]

    def _note(self, prefix: str, present: bool) -> None:
        event = CacheEvent(len(self._events) + 1, prefix, present)
        self._events.append((self.clock.monotonic_s(), event))

    def _lost(self, event: CacheEvent) -> bool:
        drawn = xxhash.xxh32_intdigest(f"{self.replica_id}/{event.number}".encode())
        return drawn / HASH_RANGE < self.timing.cache_event_gap_share
