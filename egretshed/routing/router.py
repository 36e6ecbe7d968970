"""Chooses a replica for each stage call, takes its slot and learns from the result."""

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
from egretshed.routing.circuit_breaker import Circuit
from egretshed.routing.decision_log import (
    Ranking,
    count_refused,
    log_decision,
)
from egretshed.routing.latency import (
    PrefixLosses,
    ReplicaTimes,
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
    WaitingLine,
)
from egretshed.slots.records import (
    CallObservation,
    Slot,
)

CACHE_EVENTS_PERIOD_S = 1.0
# Replicas of one pool that a node uses while they have slots. Each replica in use costs
# a renewal per period, so the cost must not grow with the pool.
PART_REPLICAS = 8
MAX_DOUBLINGS = 10


class Router:
    """Places calls of this node on replicas; see `StageCall` and `RoutingDecision`."""

    def __init__(self, env: Environment, configuration, borrower, membership, backends):
        self.env = env
        self.configuration = configuration
        self.borrower = borrower
        self.membership = membership
        self.backends = backends
        self.hints = PrefixCacheHints()
        self._policy = POLICIES.get(env.settings.routing.policy)()
        self._circuits: dict[str, Circuit] = {}
        self._times: dict[str, ReplicaTimes] = {}
        self._line = WaitingLine()
        self.capacities = PoolCapacities(env, borrower, membership, self._usable_ids)
        self._losses: dict[str, PrefixLosses] = {}
        self._short: Counter[str] = Counter()  # By pool, calls lately not placed.
        self._own_orders: dict[str, tuple[Pool, tuple[Replica, ...]]] = {}

    def choose(self, call: StageCall) -> RoutingDecision:
        """Return a decision that holds a slot; raise `NoReplicaAvailable` if none.

        Waiting calls of the pool are served first.
        """
        self._serve_line(call.pool)
        ranking = self._rank(call)
        decision = self._take_first(call, ranking)
        log_decision(self.env, call, ranking, decision)
        if decision is None:
            self.borrower.request_slots(ranking.wanted())
            count_refused(self.env, call)
            raise NoReplicaAvailable(pool=call.pool, lost=ranking.lost)
        return decision

    async def choose_within(self, call: StageCall, wait_s: float) -> RoutingDecision:
        """Like `choose`, waiting at most `wait_s` for a slot to become free.

        Slots go to waiting calls by priority, then by when they must have ended; a call
        takes a slot only if no waiting call before it can use it.
        """
        waiting = self._line.join(call, self.env.clock.monotonic_s())
        decision = None
        try:
            decision = await self._wait_in_line(waiting, wait_s)
            return decision
        finally:
            self._line.leave(waiting)
            if decision is None and waiting.placed.done():
                # Cancelled between the placing and the return.
                self.observe(waiting.placed.result(), None, None)

    async def _wait_in_line(
        self, waiting: WaitingCall, wait_s: float
    ) -> RoutingDecision:
        clock = self.env.clock
        ends_s = clock.monotonic_s() + wait_s
        while True:
            self._serve_line(waiting.call.pool)
            if waiting.placed.done():
                return waiting.placed.result()
            call = waiting.call_at(clock.monotonic_s())
            ranking = self._rank(call)
            left_s = ends_s - clock.monotonic_s()
            if self._place(waiting, call, ranking):
                return waiting.placed.result()
            lends_after_s = self.capacities.lends_after_s(call.pool)
            if left_s <= lends_after_s or not ranking.scored:
                log_decision(self.env, call, ranking, None)
                count_refused(self.env, call)
                raise NoReplicaAvailable(
                    pool=call.pool, lost=ranking.lost, lends_after_s=lends_after_s
                )
            # Ranks anew each period: other replicas may have slots by then.
            period_s = min(left_s, self.env.settings.slots.renew_period_s)
            await self._until_slot_or_placed(waiting, ranking.wanted(), period_s)

    async def _until_slot_or_placed(
        self, waiting: WaitingCall, replica_ids: list[str], limit_s: float
    ) -> None:
        slot = asyncio.ensure_future(self.borrower.wait_for_slot(replica_ids, limit_s))
        try:
            await asyncio.wait(
                {slot, waiting.placed}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            slot.cancel()

    def _serve_line(self, pool: str) -> None:
        """Place waiting calls of the pool in their order, as far as slots go."""
        now_s = self.env.clock.monotonic_s()
        for waiting in self._line.in_order(pool):
            call = waiting.call_at(now_s)
            if self._place(waiting, call, self._rank(call)):
                continue
            if not call.excluded_replicas:
                return  # No slot is left for those behind either.

    def _place(self, waiting: WaitingCall, call: StageCall, ranking: Ranking) -> bool:
        decision = self._take_first(call, ranking)
        if decision is None:
            return False
        log_decision(self.env, call, ranking, decision)
        self._line.place(waiting, decision)
        return True

    def observe(
        self,
        decision: RoutingDecision,
        result: BackendResult | None,
        error: EgretshedError | None,
    ) -> None:
        """Release the slot and learn from the call; neither given means cancelled."""
        self.release(decision, self.record_result(decision, result, error))

    def release(self, decision: RoutingDecision, observation: CallObservation) -> None:
        self.borrower.release(decision.slot, observation)

    def record_result(
        self,
        decision: RoutingDecision,
        result: BackendResult | None,
        error: EgretshedError | None,
    ) -> CallObservation:
        """Learn from the call; return what to release its slot with."""
        replica_id = decision.replica.replica_id
        sign = "rejected" if isinstance(error, BackendRejected) else ""
        if isinstance(error, BackendSlow):
            taken_s = self.env.clock.monotonic_s() - decision.decided_s
            self._times.setdefault(replica_id, ReplicaTimes()).observe_slow(taken_s)
        if result is not None:
            sign = self._learn(decision, result)
        seems_cold = bool(sign)
        if seems_cold:
            self.hints.forget(replica_id)
            log_event(
                self.env.logger, "replica_seems_cold", replica_id=replica_id, sign=sign
            )
        elif result is not None:
            self.hints.note(replica_id, decision.call.prefix)
        self._note_on_circuit(decision, result, error)
        return CallObservation(
            completed=result is not None,
            first_token_s=result.first_token_s if result else 0.0,
            total_s=result.total_s if result else 0.0,
            seems_cold=seems_cold,
        )

    async def run(self) -> None:
        """Follow the engines' cache events until cancelled."""
        while True:
            engines = [
                replica.replica_id
                for pool in self.configuration.current.pools.values()
                if pool.role == "engine"
                for replica in pool.replicas
            ]
            self._forget_removed()
            await asyncio.gather(*map(self._read_events, engines))
            await self.env.clock.sleep(CACHE_EVENTS_PERIOD_S)

    async def _read_events(self, replica_id: str) -> None:
        # Only engines that this node uses: reading them all from each node would cost
        # every engine one request a second from every node.
        if not self.borrower.view(replica_id).held:
            return
        try:
            backend = self.backends.get(replica_id)
            events = await backend.cache_events(self.hints.last_number(replica_id))
        except EgretshedError:
            return  # Hints are only hints; calls show whether the server is well.
        self.hints.apply(replica_id, events)

    def _rank(self, call: StageCall) -> Ranking:
        pool = self.configuration.current.pools.get(call.pool)
        if pool is None:
            raise NoReplicaAvailable(f"unknown pool {call.pool!r}", pool=call.pool)
        lost: dict[str, str] = {}
        replicas, rest = self._usable(call, pool, lost)
        usable = [self._candidate(call, pool, replica) for replica in replicas]
        if not usable:
            return Ranking([], lost, rest)
        scored = self._policy.rank(call, usable, self.env.random)
        scored.sort(
            key=lambda item: item[1].replica.failure_domain in call.excluded_domains
        )
        return Ranking(scored, lost, rest)

    def _usable_ids(self, name: str) -> list[str]:
        """Return the replicas of a pool that this node may use now."""
        pool = self.configuration.current.pools.get(name)
        if pool is None:
            return []
        call = StageCall("", "", "", "", name, 0.0)
        return [replica.replica_id for replica in self._usable(call, pool, {})[0]]

    def _usable(
        self, call: StageCall, pool: Pool, lost: dict[str, str]
    ) -> tuple[list[Replica], int]:
        """Return the replicas that may get the call, and how many were not looked at.

        Adds to `lost` why others may not. A node uses its own part of a large pool,
        doubled by each call not placed. Looking at all of 144 replicas took 0.9 ms for
        each decision.
        """
        size = PART_REPLICAS << min(self._short[call.pool], MAX_DOUBLINGS)
        replicas = self._in_own_order(call.pool, pool)
        usable: list[Replica] = []
        for seen, replica in enumerate(replicas):
            if len(usable) == size:
                return usable, len(replicas) - seen
            reason = self._exclusion_reason(call, replica)
            if reason:
                lost[replica.replica_id] = reason
            else:
                usable.append(replica)
        return usable, 0

    def _in_own_order(self, name: str, pool: Pool) -> tuple[Replica, ...]:
        """Return the replicas in this node's order, which differs between nodes."""
        known = self._own_orders.get(name)
        if known is None or known[0] is not pool:
            own = self.env.identity.node_id
            ordered = sorted(
                pool.replicas, key=lambda item: _digest(f"{own}/{item.replica_id}")
            )
            known = self._own_orders[name] = (pool, tuple(ordered))
        return known[1]

    def _exclusion_reason(self, call: StageCall, replica: Replica) -> str:
        """Return why the replica may not get this call, or an empty string."""
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
        if self._is_failing(replica):
            return "failing"
        return ""

    def _is_failing(self, replica: Replica) -> bool:
        if not self.env.settings.routing.circuit:
            return False
        return not self._circuit(replica).allows(self.env.clock.monotonic_s())

    def _candidate(self, call: StageCall, pool: Pool, replica: Replica) -> Candidate:
        times = self._times.get(replica.replica_id)
        return Candidate(
            replica=replica,
            view=self.borrower.view(replica.replica_id),
            first_token_s=times.first_token_s if times else 0.0,
            total_s=times.total_s if times else 0.0,
            prefix_match=self._prefix_match(replica.replica_id, call.prefix),
            is_near=replica.failure_domain == self.env.identity.failure_domain,
            cost_per_busy_s=pool.cost_per_busy_s,
        )

    def _prefix_match(self, replica_id: str, prefix: str) -> float:
        if not self.env.settings.routing.prefix_hints:
            return 0.0
        return self.hints.match(replica_id, prefix)

    def _take_first(self, call: StageCall, ranking: Ranking) -> RoutingDecision | None:
        for _, candidate in ranking.scored:
            replica = candidate.replica
            slot = self._take(call, replica)
            if slot is None:
                ranking.lost[replica.replica_id] = "no_slot"
                continue
            self._short[call.pool] = max(0, self._short[call.pool] - 1)
            return RoutingDecision(
                call=call,
                replica=replica,
                slot=slot,
                policy=self.env.settings.routing.policy,
                prefix_match=candidate.prefix_match,
                decided_s=self.env.clock.monotonic_s(),
                is_trial=self._circuit(replica).note_start(),
            )
        self._short[call.pool] = min(MAX_DOUBLINGS, self._short[call.pool] + 1)
        return None

    def _take(self, call: StageCall, replica: Replica) -> Slot | None:
        return self.borrower.take(replica.replica_id, call.attempt_id, call.remaining_s)

    def _learn(self, decision: RoutingDecision, result: BackendResult) -> str:
        """Return the sign of a cold server in the result, or learn its times."""
        replica_id = decision.replica.replica_id
        times = self._times.setdefault(replica_id, ReplicaTimes())
        if times.is_late(result):
            times.observe_late(result)
            return "first_token_late"
        losses = self._losses.setdefault(replica_id, PrefixLosses())
        if losses.seems_empty(result, decision.prefix_match):
            return "prefixes_lost"
        times.observe(result)
        return ""

    def _note_on_circuit(self, decision, result, error) -> None:
        circuit = self._circuit(decision.replica)
        if result is not None:
            circuit.note_success()
        elif isinstance(error, BackendError):
            now_s = self.env.clock.monotonic_s()
            circuit.note_failure(now_s, decision.is_trial)
        else:
            circuit.note_abandoned(decision.is_trial)

    def _circuit(self, replica: Replica) -> Circuit:
        return self._circuits.setdefault(replica.replica_id, Circuit())

    def _forget_removed(self) -> None:
        declared = {
            replica.replica_id
            for pool in self.configuration.current.pools.values()
            for replica in pool.replicas
        }
        self.hints.keep_only(declared)
        for known in (self._circuits, self._times, self._losses):
            for replica_id in known.keys() - declared:
                del known[replica_id]


def _digest(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
