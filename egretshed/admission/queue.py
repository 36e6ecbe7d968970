"""Admission of requests on one node: run now, wait in turn, or be refused at once."""

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

TICK_S = 0.05
DEFAULT_SHARE = 1.0


class ConfigurationSource(Protocol):
    current: Configuration


class Capacity(Protocol):
    """What this node can run on each pool; see `routing.capacity.PoolCapacities`."""

    def max_requests(self, pool: str) -> int:
        """Return how many requests with their last stage at the pool may run."""

    def expected_slots(self, pool: str) -> int | None:
        """Return how many slots of the pool can be counted on, or None if unknown."""

    def lends_after_s(self, pool: str) -> float:
        """Return for how long no slot of the pool can be had."""

    def request_slots(self, pool: str) -> None:
        """Ask for more slots of the pool."""


class AdmissionQueue:
    """Admits requests in the order of `FairQueue`, up to `ConcurrencyLimit`.

    With a `capacity`, only as many run for a pool as it has room for, so that the rest
    wait here in a fair order and not half-run at their last stage.

    Example::

        ticket = await queue.admit(request)
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
        self._running: Counter[str] = Counter()  # By pool of the last stage.
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
        """Expire queued requests and use slots that become free, until cancelled."""
        while True:
            await self._env.clock.sleep(TICK_S)
            self._dispatch()

    async def admit(self, request: AdmissionRequest) -> AdmissionTicket:
        """Return when the request may run.

        Raises `NotRun` with `reason` (`too_late`, `queue_full`, `deadline_in_queue`,
        `no_slots`) and `retry_after_s` in seconds.
        """
        entry = self._make_entry(request)
        if not self._first_come and self._lends_too_late(entry):
            raise self._refuse(entry, "no_slots")
        self._queue.add(entry)
        if not self._first_come:
            self._refuse_beyond_limits(entry)
        self._dispatch()
        try:
            return await entry.granted
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise

    def _refuse_beyond_limits(self, entry: Entry) -> None:
        if not self._can_end_in_time(entry):
            self._queue.remove(entry)
            raise self._refuse(entry, "too_late")
        if len(self._queue) > self._env.settings.admission.queue_requests:
            self._drop(self._queue.pop_worst(), "queue_full")

    def _make_entry(self, request: AdmissionRequest) -> Entry:
        return Entry(
            request,
            next(self._numbers),
            self._env.clock.monotonic_s() + request.deadline_s,
            self.expected_cost_s(request),
            asyncio.get_running_loop().create_future(),
        )

    def expected_cost_s(self, request: AdmissionRequest) -> float:
        """Return the median time of the kind, or of its stages if not yet measured.

        It is at least the time of the request's tokens: requests that did not end in
        time are missing from the medians.
        """
        *before, last = request.stage_pools
        times = self._stage_times
        if request.kind in self._measured_kinds:
            usual_s = self._kind_times.estimate_s(request.kind)
        else:
            usual_s = sum(times.estimate_s(pool) for pool in request.stage_pools)
        if not request.generation_s:
            return usual_s
        before_s = sum(times.estimate_s(pool) for pool in before)
        first_s = times.estimate_first_token_s(last)
        return max(usual_s, before_s + first_s + request.generation_s)

    def _can_end_in_time(self, entry: Entry) -> bool:
        if self._may_probe():
            return True
        if entry.request.deadline_s < entry.cost_s:
            return False
        if len(self._queue) == 1 and self.concurrency.free() > 0:
            return True
        ahead_s = self._queue.ahead_s(entry) + entry.cost_s
        wait_s = ahead_s / self._slots_for(entry)
        return wait_s + entry.cost_s <= entry.request.deadline_s

    def _slots_for(self, entry: Entry) -> int:
        """Return how many requests for the entry's pool are expected to run at once."""
        limit = int(self.concurrency.limit)
        likely = self._capacity.expected_slots(entry.pool) if self._capacity else None
        return limit if likely is None else max(1, min(limit, likely))

    def _lends_too_late(self, entry: Entry) -> bool:
        """Return whether no owner lends a slot of any stage within the deadline."""
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
        return {pool for pool in self._queue.pools() if self._room(pool) <= 0}

    def _room(self, pool: str) -> int:
        least = min(MIN_RUNNING, self._env.settings.admission.running_requests)
        return max(least, self._capacity.max_requests(pool)) - self._running[pool]

    def _may_probe(self) -> bool:
        """Whether a request runs whatever its estimate.

        Without this, an estimate above every deadline would never be measured again.
        """
        return self.concurrency.running == 0

    def _dispatch(self) -> None:
        now_s = self._env.clock.monotonic_s()
        if not self._may_probe():
            while (late := self._queue.pop_late(now_s)) is not None:
                self._drop(late, "deadline_in_queue")
        self._drop_without_slots()
        full = self._full_pools()
        free = self.concurrency.free() if len(self._queue) else 0
        while free > 0 and (entry := self._queue.pop(full)) is not None:
            is_late = now_s + entry.cost_s > entry.deadline_at_s
            if is_late and not self._first_come and not self._may_probe():
                self._drop(entry, "deadline_in_queue")
            elif not entry.granted.done():
                self._grant(entry, now_s)
                free -= 1
                if self._capacity is not None and self._room(entry.pool) <= 0:
                    full.add(entry.pool)
        for pool in full & self._queue.pools():
            self._capacity.request_slots(pool)
        self._queued.set(len(self._queue))

    def _drop_without_slots(self) -> None:
        """Refuse queued requests once their owners say that they lend too late."""
        if self._capacity is None:
            return
        for pool in self._queue.pools():
            if not self._capacity.lends_after_s(pool):
                continue
            for entry in filter(self._lends_too_late, self._queue.queued_for(pool)):
                self._queue.remove(entry)
                self._drop(entry, "no_slots")

    def _grant(self, entry: Entry, now_s: float) -> None:
        running = self.concurrency.running
        most = self._env.settings.admission.running_requests
        require(self._env, running < most, "P2_admission_limit", running=running)
        self.concurrency.started()
        self._running[entry.pool] += 1
        entry.granted.set_result(AdmissionTicket(entry, now_s, self._release))

    def _release(self, ticket: AdmissionTicket, completed: bool) -> None:
        now_s = self._env.clock.monotonic_s()
        took_s = now_s - ticket.started_s
        if completed:
            self._kind_times.observe(ticket.request.kind, took_s, took_s)
            self._measured_kinds.add(ticket.request.kind)
        self._running[ticket.pool] -= 1
        self.concurrency.ended(completed and now_s <= ticket.deadline_at_s)
        self._dispatch()

    def _withdraw(self, entry: Entry) -> None:
        """Undo an admission whose caller no longer waits for it."""
        if self._queue.remove(entry):
            return
        granted = entry.granted
        if granted.done() and not granted.cancelled() and not granted.exception():
            granted.result().release(completed=False)

    def _drop(self, entry: Entry, reason: str) -> None:
        failure = self._refuse(entry, reason)
        if not entry.granted.done():
            entry.granted.set_exception(failure)

    def _refuse(self, entry: Entry, reason: str) -> NotRun:
        self._refused.labels(reason).inc()
        slots = self._slots_for(entry)
        after_s = self._retry_delays.next_s(self._queue.backlog_s, entry.cost_s, slots)
        return NotRun(
            "the request was refused before it started",
            reason=reason,
            retry_after_s=round(after_s + self._lends_after_s(entry), 3),
        )

    def _share_of(self, customer_id: str) -> float:
        customer = self._configuration.current.customers.get(customer_id)
        return DEFAULT_SHARE if customer is None else customer.share
