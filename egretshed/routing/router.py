"""Places each stage call on a replica and updates estimates from its result."""

import asyncio
from collections import Counter

import xxhash

from egretshed.backends.interface import BackendResult
from egretshed.configuration.schema import (
    Pool,
    Replica,
)
from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    BackendRejected,
    BackendSlow,
    EgretshedError,
    NoReplicaAvailable,
)
from egretshed.logs import log_event
from egretshed.routing.capacity import PoolCapacities
from egretshed.routing.circuit_breaker import CircuitBreaker
from egretshed.routing.decision_log import (
    Ranking,
    count_refused,
    log_decision,
)
from egretshed.routing.latency import (
    PrefixMisses,
    ReplicaLatency,
)
from egretshed.routing.policies import (
    POLICIES,
)
from egretshed.routing.prefix_cache import PrefixCacheHints
from egretshed.routing.records import (
    Candidate,
    RoutingDecision,
    StageCall,
)
from egretshed.routing.wait_queue import (
    WaitingCall,
    WaitQueue,
)
from egretshed.slots.records import (
    CallObservation,
    Slot,
)

CACHE_EVENTS_PERIOD_S = 1.0
# Size of the subset of a pool that a node uses while the subset has free slots. Each
# replica in use costs a renewal per period, so the cost must not grow with the pool.
SUBSET_SIZE = 8
MAX_SUBSET_DOUBLINGS = 10


class Router:
    """Places the calls of this node on replicas.

    The input is a `StageCall`, the result a `RoutingDecision` that holds a slot.
    """

    def __init__(self, env: Environment, configuration, borrower, membership, backends):
        self.env = env
        self.configuration = configuration
        self.borrower = borrower
        self.membership = membership
        self.backends = backends
        self.hints = PrefixCacheHints()
        self._policy = POLICIES.get(env.settings.routing.policy)()
        self._breakers: dict[str, CircuitBreaker] = {}
        self._latencies: dict[str, ReplicaLatency] = {}
        self._wait_queue = WaitQueue()
        self.capacities = PoolCapacities(env, borrower, membership, self._usable_ids)
        self._prefix_misses: dict[str, PrefixMisses] = {}
        # By pool: raised by a call that was not placed, lowered by one that was.
        self._subset_doublings: Counter[str] = Counter()
        self._replica_orders: dict[str, tuple[Pool, tuple[Replica, ...]]] = {}

    def choose(self, call: StageCall) -> RoutingDecision:
        """Return a decision that holds a slot.

        Waiting calls of the pool are placed first. Raises `NoReplicaAvailable` if no
        usable replica has a free slot.
        """
        self._serve_wait_queue(call.pool)
        ranking = self._rank(call)
        decision = self._take_best(call, ranking)
        log_decision(self.env, call, ranking, decision)
        if decision is None:
            self.borrower.request_slots(ranking.preferred_ids())
            count_refused(self.env, call)
            raise NoReplicaAvailable(pool=call.pool, lost=ranking.rejections)
        return decision

    async def choose_within(self, call: StageCall, wait_s: float) -> RoutingDecision:
        """Like `choose`, but wait for at most `wait_s` seconds for a free slot.

        Waiting calls get slots in order of priority, then deadline. A call takes a slot
        only if no waiting call before it can use that slot.
        """
        waiting = self._wait_queue.add(call, self.env.clock.monotonic_s())
        decision = None
        try:
            decision = await self._wait_for_placement(waiting, wait_s)
            return decision
        finally:
            self._wait_queue.remove(waiting)
            if decision is None and waiting.placed.done():
                # Cancelled after the call was placed and before its decision was read.
                self.observe(waiting.placed.result(), None, None)

    async def _wait_for_placement(
        self, waiting: WaitingCall, wait_s: float
    ) -> RoutingDecision:
        clock = self.env.clock
        ends_at_s = clock.monotonic_s() + wait_s
        while True:
            self._serve_wait_queue(waiting.call.pool)
            if waiting.placed.done():
                return waiting.placed.result()
            call = waiting.call_at(clock.monotonic_s())
            ranking = self._rank(call)
            left_s = ends_at_s - clock.monotonic_s()
            if self._place(waiting, call, ranking):
                return waiting.placed.result()
            lends_after_s = self.capacities.lends_after_s(call.pool)
            if left_s <= lends_after_s or not ranking.scored:
                log_decision(self.env, call, ranking, None)
                count_refused(self.env, call)
                raise NoReplicaAvailable(
                    pool=call.pool, lost=ranking.rejections, lends_after_s=lends_after_s
                )
            # Rank again after each period, since other replicas may have slots by then.
            period_s = min(left_s, self.env.settings.slots.renew_period_s)
            await self._wait_for_slot_or_placement(
                waiting, ranking.preferred_ids(), period_s
            )

    async def _wait_for_slot_or_placement(
        self, waiting: WaitingCall, replica_ids: list[str], limit_s: float
    ) -> None:
        slot = asyncio.ensure_future(self.borrower.wait_for_slot(replica_ids, limit_s))
        try:
            await asyncio.wait(
                {slot, waiting.placed}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            slot.cancel()

    def _serve_wait_queue(self, pool: str) -> None:
        """Place waiting calls of the pool in their order while there are free slots."""
        now_s = self.env.clock.monotonic_s()
        for waiting in self._wait_queue.in_order(pool):
            call = waiting.call_at(now_s)
            if self._place(waiting, call, self._rank(call)):
                continue
            if not call.excluded_replicas:
                return  # There is no free slot for the calls behind it either.

    def _place(self, waiting: WaitingCall, call: StageCall, ranking: Ranking) -> bool:
        decision = self._take_best(call, ranking)
        if decision is None:
            return False
        log_decision(self.env, call, ranking, decision)
        self._wait_queue.place(waiting, decision)
        return True

    def observe(
        self,
        decision: RoutingDecision,
        result: BackendResult | None,
        error: EgretshedError | None,
    ) -> None:
        """Release the slot and update the estimates from the outcome of the call.

        Without a result and an error, the call was cancelled.
        """
        self.release(decision, self.record_result(decision, result, error))

    def release(self, decision: RoutingDecision, observation: CallObservation) -> None:
        self.borrower.release(decision.slot, observation)

    def record_result(
        self,
        decision: RoutingDecision,
        result: BackendResult | None,
        error: EgretshedError | None,
    ) -> CallObservation:
        """Update the estimates from the outcome; return the observation for `release`.

        Without a result and an error, the call was cancelled.
        """
        replica_id = decision.replica.replica_id
        cold_sign = "rejected" if isinstance(error, BackendRejected) else ""
        if isinstance(error, BackendSlow):
            taken_s = self.env.clock.monotonic_s() - decision.decided_at_s
            self._latencies.setdefault(replica_id, ReplicaLatency()).observe_slow(
                taken_s
            )
        if result is not None:
            cold_sign = self._update_estimates(decision, result)
        seems_cold = bool(cold_sign)
        if seems_cold:
            self.hints.clear(replica_id)
            log_event(
                self.env.logger,
                "replica_seems_cold",
                replica_id=replica_id,
                sign=cold_sign,
            )
        elif result is not None:
            self.hints.add(replica_id, decision.call.prefix)
        self._record_on_breaker(decision, result, error)
        return CallObservation(
            completed=result is not None,
            first_token_s=result.first_token_s if result else 0.0,
            total_s=result.total_s if result else 0.0,
            seems_cold=seems_cold,
        )

    async def run(self) -> None:
        """Poll the cache events of engines until cancelled."""
        while True:
            engines = [
                replica.replica_id
                for pool in self.configuration.current.pools.values()
                if pool.role == "engine"
                for replica in pool.replicas
            ]
            self._drop_removed_replicas()
            await asyncio.gather(*map(self._poll_cache_events, engines))
            await self.env.clock.sleep(CACHE_EVENTS_PERIOD_S)

    async def _poll_cache_events(self, replica_id: str) -> None:
        # Only engines of which this node holds slots are polled: otherwise each engine
        # would get one request a second from every node.
        if not self.borrower.view(replica_id).held:
            return
        try:
            backend = self.backends.get(replica_id)
            events = await backend.cache_events(
                self.hints.last_event_number(replica_id)
            )
        except EgretshedError:
            return  # Hints are optional; calls show whether the server is healthy.
        self.hints.apply(replica_id, events)

    def _rank(self, call: StageCall) -> Ranking:
        pool = self.configuration.current.pools.get(call.pool)
        if pool is None:
            raise NoReplicaAvailable(f"unknown pool {call.pool!r}", pool=call.pool)
        rejections: dict[str, str] = {}
        replicas, unexamined = self._usable_replicas(call, pool, rejections)
        usable = [self._candidate(call, pool, replica) for replica in replicas]
        if not usable:
            return Ranking([], rejections, unexamined)
        scored = self._policy.rank(call, usable, self.env.random)
        scored.sort(
            key=lambda item: item[1].replica.failure_domain in call.excluded_domains
        )
        return Ranking(scored, rejections, unexamined)

    def _usable_ids(self, name: str) -> list[str]:
        """Return the ids of the replicas of a pool that this node may use now."""
        pool = self.configuration.current.pools.get(name)
        if pool is None:
            return []
        call = StageCall("", "", "", "", name, 0.0)
        return [
            replica.replica_id for replica in self._usable_replicas(call, pool, {})[0]
        ]

    def _usable_replicas(
        self, call: StageCall, pool: Pool, rejections: dict[str, str]
    ) -> tuple[list[Replica], int]:
        """Return the usable replicas and the number of replicas not examined.

        Adds the reasons why others are not usable to `rejections`. A node uses its own
        subset of a large pool; the subset doubles with each call that is not placed.
        Examining all replicas of a pool of 144 took 0.9 ms per decision.
        """
        size = SUBSET_SIZE << min(
            self._subset_doublings[call.pool], MAX_SUBSET_DOUBLINGS
        )
        replicas = self._in_node_order(call.pool, pool)
        usable: list[Replica] = []
        for examined, replica in enumerate(replicas):
            if len(usable) == size:
                return usable, len(replicas) - examined
            reason = self._exclusion_reason(call, replica)
            if reason:
                rejections[replica.replica_id] = reason
            else:
                usable.append(replica)
        return usable, 0

    def _in_node_order(self, name: str, pool: Pool) -> tuple[Replica, ...]:
        """Return the replicas in this node's order, so that nodes use other subsets."""
        cached = self._replica_orders.get(name)
        if cached is None or cached[0] is not pool:
            node_id = self.env.identity.node_id
            ordered = sorted(
                pool.replicas, key=lambda item: _digest(f"{node_id}/{item.replica_id}")
            )
            cached = self._replica_orders[name] = (pool, tuple(ordered))
        return cached[1]

    def _exclusion_reason(self, call: StageCall, replica: Replica) -> str:
        """Return why the replica may not get this call, "" if it may."""
        configuration = self.configuration.current
        domain = configuration.failure_domains.get(replica.failure_domain)
        if not self.configuration.is_fresh():
            return "configuration_stale"
        if domain is None or domain.out:
            return "domain_out"
        if replica.draining:
            return "draining"
        if self.membership.is_backend_leaving(replica.replica_id):
            return "leaving"
        if replica.replica_id in call.excluded_replicas:
            return "excluded"
        if self._is_breaker_open(replica):
            return "failing"
        return ""

    def _is_breaker_open(self, replica: Replica) -> bool:
        if not self.env.settings.routing.circuit:
            return False
        return not self._breaker(replica).allows(self.env.clock.monotonic_s())

    def _candidate(self, call: StageCall, pool: Pool, replica: Replica) -> Candidate:
        latency = self._latencies.get(replica.replica_id)
        return Candidate(
            replica=replica,
            view=self.borrower.view(replica.replica_id),
            first_token_s=latency.first_token_s if latency else 0.0,
            total_s=latency.total_s if latency else 0.0,
            prefix_match=self._prefix_match(replica.replica_id, call.prefix),
            is_same_domain=replica.failure_domain == self.env.identity.failure_domain,
            cost_per_busy_s=pool.cost_per_busy_s,
        )

    def _prefix_match(self, replica_id: str, prefix: str) -> float:
        if not self.env.settings.routing.prefix_hints:
            return 0.0
        return self.hints.match(replica_id, prefix)

    def _take_best(self, call: StageCall, ranking: Ranking) -> RoutingDecision | None:
        for _, candidate in ranking.scored:
            replica = candidate.replica
            slot = self._take_slot(call, replica)
            if slot is None:
                ranking.rejections[replica.replica_id] = "no_slot"
                continue
            self._subset_doublings[call.pool] = max(
                0, self._subset_doublings[call.pool] - 1
            )
            return RoutingDecision(
                call=call,
                replica=replica,
                slot=slot,
                policy=self.env.settings.routing.policy,
                prefix_match=candidate.prefix_match,
                decided_at_s=self.env.clock.monotonic_s(),
                is_trial=self._breaker(replica).record_start(),
            )
        self._subset_doublings[call.pool] = min(
            MAX_SUBSET_DOUBLINGS, self._subset_doublings[call.pool] + 1
        )
        return None

    def _take_slot(self, call: StageCall, replica: Replica) -> Slot | None:
        return self.borrower.take(replica.replica_id, call.attempt_id, call.remaining_s)

    def _update_estimates(
        self, decision: RoutingDecision, result: BackendResult
    ) -> str:
        """Return the sign of a cold server that the result shows, or "".

        Without a sign, the result updates the latency averages.
        """
        replica_id = decision.replica.replica_id
        latency = self._latencies.setdefault(replica_id, ReplicaLatency())
        if latency.is_late(result):
            latency.raise_peak(result)
            return "first_token_late"
        misses = self._prefix_misses.setdefault(replica_id, PrefixMisses())
        if misses.suggests_empty_cache(result, decision.prefix_match):
            return "prefixes_lost"
        latency.observe(result)
        return ""

    def _record_on_breaker(self, decision, result, error) -> None:
        breaker = self._breaker(decision.replica)
        if result is not None:
            breaker.record_success()
        elif isinstance(error, BackendError):
            now_s = self.env.clock.monotonic_s()
            breaker.record_failure(now_s, decision.is_trial)
        else:
            breaker.record_abandoned(decision.is_trial)

    def _breaker(self, replica: Replica) -> CircuitBreaker:
        return self._breakers.setdefault(replica.replica_id, CircuitBreaker())

    def _drop_removed_replicas(self) -> None:
        declared = {
            replica.replica_id
            for pool in self.configuration.current.pools.values()
            for replica in pool.replicas
        }
        self.hints.retain_only(declared)
        for by_replica in (self._breakers, self._latencies, self._prefix_misses):
            for replica_id in by_replica.keys() - declared:
                del by_replica[replica_id]


def _digest(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
