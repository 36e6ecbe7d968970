"""Remembers which inputs have run to their end at this node, the most recent ones."""

import math
from collections import OrderedDict

# About 0.3 MB.
MAX_COMPLETED = 2000


class CompletedInputs:
    """Times at which servers have run inputs to their end, by service and input id.

    Example::

        completed.add(("engine", "5c1e07a2"), now_s)
        completed.has_since(("engine", "5c1e07a2"), first_crash_s)
    """

    def __init__(self) -> None:
        self._times_s: OrderedDict[tuple[str, str], float] = OrderedDict()

    def add(self, key: tuple[str, str], now_s: float) -> None:
        self._times_s[key] = now_s
        self._times_s.move_to_end(key)
        if len(self._times_s) > MAX_COMPLETED:
            self._times_s.popitem(last=False)

    def has_since(self, key: tuple[str, str], since_s: float) -> bool:
        """Return whether an input is known to have run to its end after `since_s`."""
        return self._times_s.get(key, -math.inf) > since_s
