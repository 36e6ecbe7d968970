"""Updates waiting to be spread on probes, each a bounded number of times."""

import math
from collections import deque

# Copies sent per doubling of the fleet; 3 is the usual value for this kind of spread.
SENDS_PER_DOUBLING = 3


class UpdateQueue:
    """Node ids whose record is to be sent; the record is looked up when it is sent."""

    def __init__(self) -> None:
        self._order: deque[str] = deque()
        self._sends_left: dict[str, int] = {}

    def add(self, node_id: str, fleet_size: int) -> None:
        """Start to spread the record of `node_id` from the beginning."""
        if node_id not in self._sends_left:
            self._order.appendleft(node_id)
        doublings = math.ceil(math.log2(fleet_size + 1))
        self._sends_left[node_id] = SENDS_PER_DOUBLING * doublings

    def take(self, limit: int) -> list[str]:
        """Return up to `limit` node ids to put on one message."""
        taken = [self._order.popleft() for _ in range(min(limit, len(self._order)))]
        for node_id in taken:
            self._sends_left[node_id] -= 1
            if self._sends_left[node_id]:
                self._order.append(node_id)
            else:
                del self._sends_left[node_id]
        return taken

    def __len__(self) -> int:
        return len(self._order)
