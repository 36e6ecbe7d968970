"""Capacity of each pool that is available to this node, for admission control."""

from collections.abc import Callable
from typing import NamedTuple

from egretshed.environment import Environment

# Admission asks once per request, while held slots change only on a renewal.
CACHE_TTL_S = 0.05
# Number of replicas whose owners are asked for slots at a time.
DEMAND_REPLICAS = 4


class PoolCapacity(NamedTuple):
    """Capacity of one pool as this node knows it.

    `held_slots` counts the slots that this node holds, in use or not. `limit` is the
    number of slots of all nodes together, as far as owners have reported it. No owner
    lends a slot for `lends_after_s` seconds. `replica_ids` are the usable replicas.
    """

    held_slots: int
    limit: int
    lends_after_s: float
    replica_ids: tuple[str, ...]


class PoolCapacities:
    """Capacities of all pools; `usable` returns the usable replicas of a pool."""

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
        self._cache: dict[str, tuple[float, PoolCapacity]] = {}

    def max_requests(self, pool: str) -> int:
        """Return how many requests whose last stage uses the pool may run at once.

        That is a quarter more than the held slots, since some of the requests are still
        in earlier stages.
        """
        held_slots = self._capacity(pool).held_slots
        return held_slots + held_slots // 4

    def expected_slots(self, pool: str) -> int | None:
        """Return the number of slots that this node can expect when all nodes are busy.

        That is its equal share of the limit, or the number of held slots if that is
        larger; None if no owner has answered yet.
        """
        capacity = self._capacity(pool)
        if not capacity.limit:
            return None
        nodes = max(1, len(self.membership.reachable()))
        return max(capacity.held_slots, capacity.limit // nodes)

    def lends_after_s(self, pool: str) -> float:
        """Return for how long no owner lends a slot of the pool, in seconds.

        It is 0 if a slot is held or may be lent now.
        """
        return self._capacity(pool).lends_after_s

    def request_slots(self, pool: str) -> None:
        """Ask owners for more slots, on behalf of requests that wait for the pool."""
        replica_ids = list(self._capacity(pool).replica_ids)
        count = min(DEMAND_REPLICAS, len(replica_ids))
        self.borrower.request_slots(self.env.random.sample(replica_ids, count))

    def _capacity(self, pool: str) -> PoolCapacity:
        now_s = self.env.clock.monotonic_s()
        cached = self._cache.get(pool)
        if cached is not None and now_s < cached[0]:
            return cached[1]
        capacity = self._compute(pool)
        self._cache[pool] = (now_s + CACHE_TTL_S, capacity)
        return capacity

    def _compute(self, pool: str) -> PoolCapacity:
        usable = self.usable(pool)
        views = [self.borrower.view(replica_id) for replica_id in usable]
        held_slots = sum(view.held for view in views)
        limit = sum(view.limit for view in views)
        soonest_s = min((view.lends_after_s for view in views), default=0.0)
        return PoolCapacity(
            held_slots, limit, 0.0 if held_slots else soonest_s, tuple(usable)
        )
