"""Hints about the prefixes that engines have cached.

They are derived from the cache events of the engines, which are delayed and may have
gaps.
"""

import os
from collections import OrderedDict

from egretshed.backends.interface import CacheEvent

MAX_PREFIXES = 256


class PrefixCacheHints:
    """Cached prefixes by replica, at most `MAX_PREFIXES` each with LRU eviction.

    Hints only influence the choice of a replica: a wrong one costs time, but no call
    fails because of it.
    """

    def __init__(self) -> None:
        self._prefixes: dict[str, OrderedDict[str, None]] = {}
        self._numbers: dict[str, int] = {}

    def last_event_number(self, replica_id: str) -> int:
        return self._numbers.get(replica_id, 0)

    def apply(self, replica_id: str, events: list[CacheEvent]) -> None:
        """Apply events in the order of their numbers; skip those applied before.

        After a gap all older hints are dropped, since a removal may be among the
        missing events.
        """
        for event in sorted(events, key=lambda event: event.number):
            last = self.last_event_number(replica_id)
            if event.number <= last:
                continue
            if event.number > last + 1:
                self.clear(replica_id)
            self._numbers[replica_id] = event.number
            if event.present:
                self.add(replica_id, event.prefix)
            else:
                self._prefixes_of(replica_id).pop(event.prefix, None)

    def add(self, replica_id: str, prefix: str) -> None:
        """Record that the replica has this prefix cached, as the most recent one."""
        if not prefix:
            return
        held = self._prefixes_of(replica_id)
        held[prefix] = None
        held.move_to_end(prefix)
        while len(held) > MAX_PREFIXES:
            held.popitem(last=False)

    def clear(self, replica_id: str) -> None:
        """Drop all hints of a replica, for example when it seems cold."""
        self._prefixes.pop(replica_id, None)

    def retain_only(self, replica_ids: set[str]) -> None:
        for replica_id in self._prefixes.keys() - replica_ids:
            del self._prefixes[replica_id]
        for replica_id in self._numbers.keys() - replica_ids:
            del self._numbers[replica_id]

    def match(self, replica_id: str, prefix: str) -> float:
        """Return the share of `prefix`, from 0 to 1, that may be cached there."""
        if not prefix:
            return 0.0
        held = self._prefixes.get(replica_id, ())
        if prefix in held:
            return 1.0
        longest = max((_common_length(prefix, item) for item in held), default=0)
        return longest / len(prefix)

    def _prefixes_of(self, replica_id: str) -> OrderedDict[str, None]:
        return self._prefixes.setdefault(replica_id, OrderedDict())


def _common_length(left: str, right: str) -> int:
    return len(os.path.commonprefix((left, right)))
