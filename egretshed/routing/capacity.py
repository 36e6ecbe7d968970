"""What this node can run on each pool now, for admission."""

from collections.abc import Callable
from typing import NamedTuple

from egretshed.environment import Environment

# Admission asks with each request; held slots change with each renewal only.
KEEP_S = 0.05
DEMAND_REPLICAS = 4


class PoolCapacity(NamedTuple):
    """`slots` are those held, used or not; `replica_ids` those that may get work.

    `limit` is what all nodes together may use, as far as the owners have said.

    `lends_after_s` is how long no owner will lend a slot of the pool.
    """

    slots: int
    limit: int
    lends_after_s: float
    replica_ids: tuple[str, ...]


class PoolCapacities:
    """Capacities of all pools; `usable` returns the replicas that may get work."""

    def __init__(
        self,
        env: Environment,
        borrower,
        membership,
        usable: Callable[[str], list[str]],
    ):
        self.env = env
        self.borrower = borrower
        self.membership = membership
        self.usable = usable
        self._kept: dict[str, tuple[float, PoolCapacity]] = {}

    def max_requests(self, pool: str) -> int:
        """Return how many requests with their last stage at the pool may run at once.

        That is a quarter more than the slots held, since some are in earlier stages.
        """
        slots = self._of(pool).slots
        return slots + slots // 4

    def expected_slots(self, pool: str) -> int | None:
        """Return the slots that this node can count on when all nodes are busy.

        That is its even share of the limits or what it holds, if that is more; None
        if no owner has answered yet.
        """
        capacity = self._of(pool)
        if not capacity.limit:
            return None
        nodes = max(1, len(self.membership.reachable()))
        return max(capacity.slots, capacity.limit // nodes)

    def lends_after_s(self, pool: str) -> float:
        """Return how long no slot of the pool can be had; 0 if one may be had now."""
        return self._of(pool).lends_after_s

    def request_slots(self, pool: str) -> None:
        """Ask the owners for more slots, for requests that wait for the pool."""
        replica_ids = list(self._of(pool).replica_ids)
        count = min(DEMAND_REPLICAS, len(replica_ids))
        self.borrower.request_slots(self.env.random.sample(replica_ids, count))

    def _of(self, pool: str) -> PoolCapacity:
        now_s = self.env.clock.monotonic_s()
        kept = self._kept.get(pool)
        if kept is not None and now_s < kept[0]:
            return kept[1]
        capacity = self._measure(pool)
        self._kept[pool] = (now_s + KEEP_S, capacity)
        return capacity

    def _measure(self, pool: str) -> PoolCapacity:
        usable = self.usable(pool)
        views = [self.borrower.view(replica_id) for replica_id in usable]
        slots = sum(view.held for view in views)
        limit = sum(view.limit for view in views)
        soonest_s = min((view.lends_after_s for view in views), default=0.0)
        return PoolCapacity(slots, limit, 0.0 if slots else soonest_s, tuple(usable))
