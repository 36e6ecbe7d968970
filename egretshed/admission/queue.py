"""Admission control of one node: each request is started, queued or refused."""

import asyncio
import itertools
from collections import Counter
from typing import Protocol

from egretshed.admission.concurrency import (
    MIN_RUNNING,
    ConcurrencyLimit,
)
from egretshed.admission.entries import (
    AdmissionRequest,
    AdmissionTicket,
    Entry,
)
from egretshed.admission.fair_queue import FairQueue
from egretshed.admission.first_come import FirstComeQueue
from egretshed.admission.retry_after import RetryDelays
from egretshed.configuration.schema import Configuration
from egretshed.environment import Environment
from egretshed.errors import NotRun
from egretshed.invariants import require
from egretshed.retries.stage_times import StageTimes

DISPATCH_PERIOD_S = 0.05
DEFAULT_SHARE = 1.0


class ConfigurationSource(Protocol):
    current: Configuration


class Capacity(Protocol):
    """What this node can run on each pool; see `routing.capacity.PoolCapacities`."""

    def max_requests(self, pool: str) -> int:
        """Return how many requests whose last stage uses the pool may run at once."""

    def expected_slots(self, pool: str) -> int | None:
        """Return how many slots of the pool can be relied on, or None if unknown."""

    def lends_after_s(self, pool: str) -> float:
        """Return the time until an owner lends a slot of the pool, 0 if one may now."""

    def request_slots(self, pool: str) -> None:
        """Request more slots of the pool from their owners."""


class AdmissionQueue:
    """Admits requests in the order of `FairQueue`, up to `ConcurrencyLimit`.

    With a `capacity`, the requests running for each pool are limited too. The others
    wait here, in fair order, and not for a slot of their last stage with their earlier
    stages already run.

    Example::

        ticket = await queue.admit(request)
        completed = False
        try:
            completed = await run(request)
        finally:
            ticket.release(completed)
    """

    def __init__(
        self,
        env: Environment,
        configuration: ConfigurationSource,
        stage_times: StageTimes,
        capacity: Capacity | None = None,
    ):
        self._env = env
        self._configuration = configuration
        self._stage_times = stage_times
        self._kind_times = StageTimes(env)
        self._measured_kinds: set[str] = set()
        self._first_come = env.settings.admission.first_come
        self._queue = (
            FirstComeQueue() if self._first_come else FairQueue(self._share_of)
        )
        self.concurrency = ConcurrencyLimit(env)
        self._capacity = capacity
        self._running: Counter[str] = Counter()  # by pool of the last stage
        self._retry_delays = RetryDelays(env)
        self._numbers = itertools.count()
        self._refused = env.metrics.counter(
            "admission_refused_total", "Requests refused", ("reason",)
        )
        self._queued = env.metrics.gauge("admission_queued", "Requests in the queue")

    @property
    def queued(self) -> int:
        return len(self._queue)

    async def run(self) -> None:
        """Refuse overdue requests and start those with free slots, until cancelled."""
        while True:
            await self._env.clock.sleep(DISPATCH_PERIOD_S)
            self._dispatch()

    async def admit(self, request: AdmissionRequest) -> AdmissionTicket:
        """Wait until the request may run, and return its ticket.

        Raises `NotRun` with `retry_after_s` in seconds and a `reason`: `too_late` if
        the expected wait exceeds the deadline, `queue_full`, `deadline_in_queue` if
        the deadline can no longer be met, or `no_slots` if no slot is lent in time.
        """
        entry = self._make_entry(request)
        if not self._first_come and self._lent_too_late(entry):
            raise self._refusal(entry, "no_slots")
        self._queue.add(entry)
        if not self._first_come:
            self._check_limits(entry)
        self._dispatch()
        try:
            return await entry.granted
        except asyncio.CancelledError:
            self._cancel(entry)
            raise

    def _check_limits(self, entry: Entry) -> None:
        if not self._can_meet_deadline(entry):
            self._queue.remove(entry)
            raise self._refusal(entry, "too_late")
        if len(self._queue) > self._env.settings.admission.queue_requests:
            self._refuse(self._queue.evict(), "queue_full")

    def _make_entry(self, request: AdmissionRequest) -> Entry:
        return Entry(
            request,
            next(self._numbers),
            self._env.clock.monotonic_s() + request.deadline_s,
            self.expected_cost_s(request),
            asyncio.get_running_loop().create_future(),
        )

    def expected_cost_s(self, request: AdmissionRequest) -> float:
        """Return the expected time from start to end of a request.

        That is the median time of its kind, or the sum of the medians of its stages
        while no request of the kind has completed. It is at least the expected time of
        the first token plus `generation_s`, since the medians leave out requests that
        did not complete.
        """
        *earlier, last = request.stage_pools
        times = self._stage_times
        if request.kind in self._measured_kinds:
            usual_s = self._kind_times.estimate_s(request.kind)
        else:
            usual_s = sum(times.estimate_s(pool) for pool in request.stage_pools)
        if not request.generation_s:
            return usual_s
        earlier_s = sum(times.estimate_s(pool) for pool in earlier)
        first_token_s = times.estimate_first_token_s(last)
        return max(usual_s, earlier_s + first_token_s + request.generation_s)

    def _can_meet_deadline(self, entry: Entry) -> bool:
        if self._may_probe():
            return True
        if entry.request.deadline_s < entry.cost_s:
            return False
        if len(self._queue) == 1 and self.concurrency.available() > 0:
            return True
        ahead_s = self._queue.work_ahead_s(entry) + entry.cost_s
        wait_s = ahead_s / self._expected_slots(entry)
        return wait_s + entry.cost_s <= entry.request.deadline_s

    def _expected_slots(self, entry: Entry) -> int:
        """Return how many requests for the entry's pool are expected to run at once."""
        limit = int(self.concurrency.limit)
        slots = self._capacity.expected_slots(entry.pool) if self._capacity else None
        return limit if slots is None else max(1, min(limit, slots))

    def _lent_too_late(self, entry: Entry) -> bool:
        """Return whether no slot of some stage is lent before the deadline."""
        left_s = entry.deadline_at_s - self._env.clock.monotonic_s()
        return self._lends_after_s(entry) >= left_s

    def _lends_after_s(self, entry: Entry) -> float:
        if self._capacity is None:
            return 0.0
        pools = entry.request.stage_pools
        return max(map(self._capacity.lends_after_s, pools), default=0.0)

    def _full_pools(self) -> set[str]:
        if self._capacity is None:
            return set()
        return {pool for pool in self._queue.pools() if self._available_for(pool) <= 0}

    def _available_for(self, pool: str) -> int:
        minimum = min(MIN_RUNNING, self._env.settings.admission.running_requests)
        return max(minimum, self._capacity.max_requests(pool)) - self._running[pool]

    def _may_probe(self) -> bool:
        """Return whether a request may run even if its estimate exceeds its deadline.

        Otherwise an estimate that is above all deadlines would never be measured again.
        """
        return self.concurrency.running == 0

    def _dispatch(self) -> None:
        now_s = self._env.clock.monotonic_s()
        if not self._may_probe():
            while (overdue := self._queue.pop_overdue(now_s)) is not None:
                self._refuse(overdue, "deadline_in_queue")
        self._refuse_without_slots()
        full_pools = self._full_pools()
        available = self.concurrency.available() if len(self._queue) else 0
        while available > 0 and (entry := self._queue.pop(full_pools)) is not None:
            misses_deadline = now_s + entry.cost_s > entry.deadline_at_s
            if misses_deadline and not self._first_come and not self._may_probe():
                self._refuse(entry, "deadline_in_queue")
            elif not entry.granted.done():
                self._grant(entry, now_s)
                available -= 1
                if self._capacity is not None and self._available_for(entry.pool) <= 0:
                    full_pools.add(entry.pool)
        for pool in full_pools & self._queue.pools():
            self._capacity.request_slots(pool)
        self._queued.set(len(self._queue))

    def _refuse_without_slots(self) -> None:
        """Refuse queued requests if no slot will be lent before their deadline."""
        if self._capacity is None:
            return
        for pool in self._queue.pools():
            if not self._capacity.lends_after_s(pool):
                continue
            for entry in filter(self._lent_too_late, self._queue.queued_for(pool)):
                self._queue.remove(entry)
                self._refuse(entry, "no_slots")

    def _grant(self, entry: Entry, now_s: float) -> None:
        running = self.concurrency.running
        max_running = self._env.settings.admission.running_requests
        require(self._env, running < max_running, "P2_admission_limit", running=running)
        self.concurrency.record_start()
        self._running[entry.pool] += 1
        entry.granted.set_result(AdmissionTicket(entry, now_s, self._release))

    def _release(self, ticket: AdmissionTicket, completed: bool) -> None:
        now_s = self._env.clock.monotonic_s()
        took_s = now_s - ticket.started_s
        if completed:
            self._kind_times.observe(ticket.request.kind, took_s, took_s)
            self._measured_kinds.add(ticket.request.kind)
        self._running[ticket.pool] -= 1
        self.concurrency.record_end(completed and now_s <= ticket.deadline_at_s)
        self._dispatch()

    def _cancel(self, entry: Entry) -> None:
        """Dequeue an entry or release its ticket, since its caller was cancelled."""
        if self._queue.remove(entry):
            return
        granted = entry.granted
        if granted.done() and not granted.cancelled() and not granted.exception():
            granted.result().release(completed=False)

    def _refuse(self, entry: Entry, reason: str) -> None:
        error = self._refusal(entry, reason)
        if not entry.granted.done():
            entry.granted.set_exception(error)

    def _refusal(self, entry: Entry, reason: str) -> NotRun:
        self._refused.labels(reason).inc()
        slots = self._expected_slots(entry)
        after_s = self._retry_delays.next_s(self._queue.backlog_s, entry.cost_s, slots)
        return NotRun(
            "the request was refused before it started",
            reason=reason,
            retry_after_s=round(after_s + self._lends_after_s(entry), 3),
        )

    def _share_of(self, customer_id: str) -> float:
        customer = self._configuration.current.customers.get(customer_id)
        return DEFAULT_SHARE if customer is None else customer.share
