"""Queue ordered by priority, then weighted customer share, then earliest deadline.

Entries are queued per priority and pool, so that requests for a full pool do not block
those for other pools. Within a priority and pool, customers are served by weighted fair
queueing: each customer has a virtual time that increases by the expected cost of its
dispatched requests divided by its share, and the customer with the lowest virtual time
goes next. A customer that was idle starts at the virtual time of the last dispatch: it
gains no credit while idle, and does not wait behind another customer's backlog.
"""

import math
from collections.abc import (
    Callable,
    Container,
)

from sortedcontainers import (
    SortedDict,
    SortedList,
)

from egretshed.admission.entries import Entry

# Virtual times of idle customers are deleted once per this many dispatches.
PRUNE_PERIOD_DISPATCHES = 1024


class _Customer:
    """A customer's entries for one priority and pool, by deadline."""

    __slots__ = ("backlog_s", "customer_id", "entries", "share")

    def __init__(self, customer_id: str, share: float):
        self.customer_id = customer_id
        self.share = share
        self.backlog_s = 0.0
        self.entries = SortedList(key=Entry.deadline_order)


class _PoolQueue:
    """Entries for one priority and pool, in the order of weighted fair queueing.

    `customers` holds the customers with queued entries; they are indexed by virtual
    time and by backlog per share. `active_share` is the sum of their shares.
    """

    def __init__(self) -> None:
        self.customers: dict[str, _Customer] = {}
        self.by_virtual_time: SortedList = SortedList()
        self.by_backlog: SortedList = SortedList()
        self.virtual_times: dict[str, float] = {}
        self.virtual_time = 0.0
        self.backlog_s = 0.0
        self.active_share = 0.0
        self.dispatches = 0

    def add(self, entry: Entry, share: float) -> None:
        name = entry.request.customer_id
        customer = self.customers.get(name)
        if customer is None:
            customer = self.customers[name] = _Customer(name, share)
            self.active_share += share
            previous = self.virtual_times.get(name, 0.0)
            self.virtual_times[name] = max(previous, self.virtual_time)
        else:
            self._unindex(customer)
        customer.entries.add(entry)
        customer.backlog_s += entry.cost_s
        self.backlog_s += entry.cost_s
        self._index(customer)

    def remove(self, entry: Entry) -> None:
        customer = self.customers[entry.request.customer_id]
        self._unindex(customer)
        self._remove_from(customer, entry)

    def first(self) -> Entry:
        """Return the entry that `pop` would dispatch."""
        return self.customers[self.by_virtual_time[0][-1]].entries[0]

    def pop(self) -> Entry:
        """Remove and return the next entry; charge its cost to its customer."""
        customer = self.customers[self.by_virtual_time[0][-1]]
        self._unindex(customer)
        name = customer.customer_id
        entry = customer.entries[0]
        self.virtual_time = self.virtual_times[name]
        self.virtual_times[name] += entry.cost_s / customer.share
        self._remove_from(customer, entry)
        self._prune_virtual_times()
        return entry

    def eviction_candidate(self) -> Entry:
        """Return the latest entry of the customer with the most backlog per share."""
        return self.customers[self.by_backlog[-1][-1]].entries[-1]

    def _remove_from(self, customer: _Customer, entry: Entry) -> None:
        customer.entries.remove(entry)
        customer.backlog_s -= entry.cost_s
        self.backlog_s -= entry.cost_s
        if customer.entries:
            self._index(customer)
        else:
            del self.customers[customer.customer_id]
            self.active_share -= customer.share
        if not self.customers:
            # Clears accumulated rounding errors.
            self.backlog_s = self.active_share = 0.0

    def _virtual_time_key(self, customer: _Customer) -> tuple[float, float, str]:
        name = customer.customer_id
        return self.virtual_times[name], customer.entries[0].deadline_at_s, name

    def _backlog_key(self, customer: _Customer) -> tuple[float, str]:
        return customer.backlog_s / customer.share, customer.customer_id

    def _index(self, customer: _Customer) -> None:
        self.by_virtual_time.add(self._virtual_time_key(customer))
        self.by_backlog.add(self._backlog_key(customer))

    def _unindex(self, customer: _Customer) -> None:
        """Remove a customer from the indexes, before the values of its keys change."""
        self.by_virtual_time.remove(self._virtual_time_key(customer))
        self.by_backlog.remove(self._backlog_key(customer))

    def _prune_virtual_times(self) -> None:
        self.dispatches += 1
        if self.dispatches % PRUNE_PERIOD_DISPATCHES == 0:
            self.virtual_times = {
                name: virtual_time
                for name, virtual_time in self.virtual_times.items()
                if virtual_time > self.virtual_time or name in self.customers
            }


class FairQueue:
    """Entries of all priorities and pools.

    Operations on one entry take O(log n) in the number of entries.
    """

    def __init__(self, share_of: Callable[[str], float]):
        self._share_of = share_of
        self._pool_queues: SortedDict = SortedDict()
        self._by_latest_start: SortedList = SortedList(key=Entry.latest_start_order)

    def __len__(self) -> int:
        return len(self._by_latest_start)

    @property
    def backlog_s(self) -> float:
        """Sum of the expected run times of all entries."""
        return sum(queue.backlog_s for queue in self._pool_queues.values())

    def add(self, entry: Entry) -> None:
        queue = self._pool_queues.setdefault(_key(entry), _PoolQueue())
        queue.add(entry, self._share_of(entry.request.customer_id))
        self._by_latest_start.add(entry)

    def remove(self, entry: Entry) -> bool:
        """Remove an entry; return False if it was not queued any more."""
        if entry not in self._by_latest_start:
            return False
        self._by_latest_start.remove(entry)
        self._pool_queues[_key(entry)].remove(entry)
        return True

    def pools(self) -> set[str]:
        """Return the pools of all queued entries."""
        return {
            pool
            for (_, pool), queue in self._pool_queues.items()
            if queue.by_virtual_time
        }

    def queued_for(self, pool: str) -> list[Entry]:
        return [entry for entry in self._by_latest_start if entry.pool == pool]

    def pop(self, full_pools: Container[str] = ()) -> Entry | None:
        """Remove and return the next entry, skipping those for `full_pools`.

        Among the next entries of pools with the same priority, the one with the
        earliest deadline goes first.
        """
        best: _PoolQueue | None = None
        best_order = (math.inf, (math.inf, 0))
        for (priority, pool), queue in self._pool_queues.items():
            if priority > best_order[0]:
                break
            if not queue.by_virtual_time or pool in full_pools:
                continue
            order = (priority, queue.first().deadline_order())
            if order < best_order:
                best, best_order = queue, order
        if best is None:
            return None
        entry = best.pop()
        self._by_latest_start.remove(entry)
        return entry

    def pop_overdue(self, now_s: float) -> Entry | None:
        """Remove and return an entry whose latest start has passed, if there is one."""
        if not self._by_latest_start:
            return None
        entry = self._by_latest_start[0]
        if entry.latest_start_s > now_s:
            return None
        self.remove(entry)
        return entry

    def evict(self) -> Entry:
        """Remove and return the entry to refuse when the queue is full.

        It is of the lowest priority, and there the latest entry of the customer with
        the most backlog per share.
        """
        queues = [(key, q) for key, q in self._pool_queues.items() if q.by_virtual_time]
        lowest = max(priority for (priority, _), _ in queues)
        candidates = [q for (priority, _), q in queues if priority == lowest]
        entry = max(candidates, key=lambda q: q.by_backlog[-1]).eviction_candidate()
        self.remove(entry)
        return entry

    def work_ahead_s(self, entry: Entry) -> float:
        """Return the expected run time of the entries that go before a queued `entry`.

        Entries for other pools are not counted, since they use other slots.

        Other customers of the same priority are assumed to get their share while the
        customer's own earlier entries run. This upper bound avoids iterating over all
        customers.
        """
        higher_s = sum(
            queue.backlog_s
            for (number, pool), queue in self._pool_queues.items()
            if number < entry.request.priority and pool == entry.pool
        )
        queue = self._pool_queues[_key(entry)]
        customer = queue.customers[entry.request.customer_id]
        position = customer.entries.index(entry)
        own_s = customer.backlog_s * position / len(customer.entries) + entry.cost_s
        fair_s = own_s * queue.active_share / customer.share
        return higher_s + max(0.0, min(queue.backlog_s, fair_s) - entry.cost_s)


def _key(entry: Entry) -> tuple[int, str]:
    return entry.request.priority, entry.pool
