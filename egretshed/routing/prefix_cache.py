"""Hints of which prefixes each engine holds, from its late and incomplete events."""

import os
from collections import OrderedDict

from egretshed.backends.interface import CacheEvent

MAX_PREFIXES = 256


class PrefixCacheHints:
    """At most `MAX_PREFIXES` prefixes a replica, the least recently seen dropped.

    A hint only shifts a choice: a wrong one costs time, never correctness.
    """

    def __init__(self) -> None:
        self._prefixes: dict[str, OrderedDict[str, None]] = {}
        self._numbers: dict[str, int] = {}

    def last_number(self, replica_id: str) -> int:
        return self._numbers.get(replica_id, 0)

    def apply(self, replica_id: str, events: list[CacheEvent]) -> None:
        """Apply events in order; after a gap the older hints are dropped.

        A removal may be among the events that are missing.
        """
        for event in sorted(events, key=lambda event: event.number):
            last = self.last_number(replica_id)
            if event.number <= last:
                continue
            if event.number > last + 1:
                self.forget(replica_id)
            self._numbers[replica_id] = event.number
            if event.present:
                self.note(replica_id, event.prefix)
            else:
                self._of(replica_id).pop(event.prefix, None)

    def note(self, replica_id: str, prefix: str) -> None:
        """Record that the replica has just computed this prefix."""
        if not prefix:
            return
        known = self._of(replica_id)
        known[prefix] = None
        known.move_to_end(prefix)
        while len(known) > MAX_PREFIXES:
            known.popitem(last=False)

    def forget(self, replica_id: str) -> None:
        """Drop all hints of a replica, for example once it seems cold."""
        self._prefixes.pop(replica_id, None)

    def keep_only(self, replica_ids: set[str]) -> None:
        for replica_id in self._prefixes.keys() - replica_ids:
            del self._prefixes[replica_id]
        for replica_id in self._numbers.keys() - replica_ids:
            del self._numbers[replica_id]

    def match(self, replica_id: str, prefix: str) -> float:
        """Return the share of `prefix`, from 0 to 1, that the replica may hold."""
        if not prefix:
            return 0.0
        known = self._prefixes.get(replica_id, ())
        if prefix in known:
            return 1.0
        longest = max((_common_length(prefix, item) for item in known), default=0)
        return longest / len(prefix)

    def _of(self, replica_id: str) -> OrderedDict[str, None]:
        return self._prefixes.setdefault(replica_id, OrderedDict())


def _common_length(left: str, right: str) -> int:
    return len(os.path.commonprefix((left, right)))
