"""Queue ordered by priority, then weighted customer share, then earliest deadline.

Each pool has its own turn, so that requests for a full pool hold back no others.
Within a priority and pool each customer has a virtual time that rises by the expected
cost of what was dispatched for it, divided by its share; the lowest goes next. A
customer that was idle starts at the virtual time of the last dispatch, so it neither
saves up
service nor waits behind a flood of another one.
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

# Bookkeeping of idle customers is dropped in batches of this many dispatches.
SWEEP_DISPATCHES = 1024


class _Customer:
    """One customer's entries of one priority, by deadline."""

    __slots__ = ("backlog_s", "customer_id", "entries", "share")

    def __init__(self, customer_id: str, share: float):
        self.customer_id = customer_id
        self.share = share
        self.backlog_s = 0.0
        self.entries = SortedList(key=Entry.deadline_order)


class _Level:
    """One priority and pool: customers by virtual time and by backlog per share."""

    def __init__(self) -> None:
        self.customers: dict[str, _Customer] = {}
        self.by_turn: SortedList = SortedList()
        self.by_excess: SortedList = SortedList()
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
            started = self.virtual_times.get(name, 0.0)
            self.virtual_times[name] = max(started, self.virtual_time)
        else:
            self._unlist(customer)
        customer.entries.add(entry)
        customer.backlog_s += entry.cost_s
        self.backlog_s += entry.cost_s
        self._list(customer)

    def remove(self, entry: Entry) -> None:
        customer = self.customers[entry.request.customer_id]
        self._unlist(customer)
        self._take(customer, entry)

    def first(self) -> Entry:
        """Return the entry whose turn it is."""
        return self.customers[self.by_turn[0][-1]].entries[0]

    def pop(self) -> Entry:
        customer = self.customers[self.by_turn[0][-1]]
        self._unlist(customer)
        name = customer.customer_id
        entry = customer.entries[0]
        self.virtual_time = self.virtual_times[name]
        self.virtual_times[name] += entry.cost_s / customer.share
        self._take(customer, entry)
        self._sweep()
        return entry

    def worst(self) -> Entry:
        """Return the entry to drop first: the most over-share customer's last."""
        return self.customers[self.by_excess[-1][-1]].entries[-1]

    def _take(self, customer: _Customer, entry: Entry) -> None:
        customer.entries.remove(entry)
        customer.backlog_s -= entry.cost_s
        self.backlog_s -= entry.cost_s
        if customer.entries:
            self._list(customer)
        else:
            del self.customers[customer.customer_id]
            self.active_share -= customer.share
        if not self.customers:
            # Removes what rounding has left over.
            self.backlog_s = self.active_share = 0.0

    def _turn(self, customer: _Customer) -> tuple[float, float, str]:
        name = customer.customer_id
        return self.virtual_times[name], customer.entries[0].deadline_at_s, name

    def _excess(self, customer: _Customer) -> tuple[float, str]:
        return customer.backlog_s / customer.share, customer.customer_id

    def _list(self, customer: _Customer) -> None:
        self.by_turn.add(self._turn(customer))
        self.by_excess.add(self._excess(customer))

    def _unlist(self, customer: _Customer) -> None:
        self.by_turn.remove(self._turn(customer))
        self.by_excess.remove(self._excess(customer))

    def _sweep(self) -> None:
        self.dispatches += 1
        if self.dispatches % SWEEP_DISPATCHES == 0:
            self.virtual_times = {
                name: at
                for name, at in self.virtual_times.items()
                if at > self.virtual_time or name in self.customers
            }


class FairQueue:
    """Entries of all priorities; every operation costs O(log n)."""

    def __init__(self, share_of: Callable[[str], float]):
        self._share_of = share_of
        self._levels: SortedDict = SortedDict()
        self._by_latest_start: SortedList = SortedList(key=Entry.start_order)

    def __len__(self) -> int:
        return len(self._by_latest_start)

    @property
    def backlog_s(self) -> float:
        """Expected run time of all entries together."""
        return sum(level.backlog_s for level in self._levels.values())

    def add(self, entry: Entry) -> None:
        level = self._levels.setdefault(_key(entry), _Level())
        level.add(entry, self._share_of(entry.request.customer_id))
        self._by_latest_start.add(entry)

    def remove(self, entry: Entry) -> bool:
        """Take an entry out; return False if it has left already."""
        if entry not in self._by_latest_start:
            return False
        self._by_latest_start.remove(entry)
        self._levels[_key(entry)].remove(entry)
        return True

    def pools(self) -> set[str]:
        """Return the pools that queued entries wait for."""
        return {pool for (_, pool), level in self._levels.items() if level.by_turn}

    def queued_for(self, pool: str) -> list[Entry]:
        return [entry for entry in self._by_latest_start if entry.pool == pool]

    def pop(self, full_pools: Container[str] = ()) -> Entry | None:
        """Return the entry whose turn it is, passing over `full_pools`.

        Of pools with entries of the same priority, the earliest deadline goes first.
        """
        best: _Level | None = None
        best_order = (math.inf, (math.inf, 0))
        for (priority, pool), level in self._levels.items():
            if priority > best_order[0]:
                break
            if not level.by_turn or pool in full_pools:
                continue
            order = (priority, level.first().deadline_order())
            if order < best_order:
                best, best_order = level, order
        if best is None:
            return None
        entry = best.pop()
        self._by_latest_start.remove(entry)
        return entry

    def pop_late(self, now_s: float) -> Entry | None:
        """Return an entry that could not end in time even if it started now."""
        if not self._by_latest_start:
            return None
        entry = self._by_latest_start[0]
        if entry.latest_start_s > now_s:
            return None
        self.remove(entry)
        return entry

    def pop_worst(self) -> Entry:
        """Return the entry to drop: lowest priority, most over-share customer."""
        levels = [(key, lv) for key, lv in self._levels.items() if lv.by_turn]
        lowest = max(priority for (priority, _), _ in levels)
        candidates = [lv for (priority, _), lv in levels if priority == lowest]
        entry = max(candidates, key=lambda lv: lv.by_excess[-1]).worst()
        self.remove(entry)
        return entry

    def ahead_s(self, entry: Entry) -> float:
        """Return the expected run time of what goes before a queued `entry`.

        Entries for other pools are left out, since they use other slots.

        Others of the same priority get at most their share while the customer's own
        earlier entries run. This bound avoids a pass over all customers.
        """
        higher_s = sum(
            level.backlog_s
            for (number, pool), level in self._levels.items()
            if number < entry.request.priority and pool == entry.pool
        )
        level = self._levels[_key(entry)]
        customer = level.customers[entry.request.customer_id]
        position = customer.entries.index(entry)
        own_s = customer.backlog_s * position / len(customer.entries) + entry.cost_s
        fair_s = own_s * level.active_share / customer.share
        return higher_s + max(0.0, min(level.backlog_s, fair_s) - entry.cost_s)


def _key(entry: Entry) -> tuple[int, str]:
    return entry.request.priority, entry.pool
