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
    EgretshedError,
    NoReplicaAvailable,
)
from egretshed.logs import log_event
from egretshed.routing.circuit import Circuit
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
from egretshed.slots.records import (
    CallObservation,
    Slot,
)

CACHE_EVENTS_PERIOD_S = 1.0
# Replicas of one pool that a node uses while they have slots. Each replica in use costs
# a renewal per period, so the cost must not grow with the pool.
PART_REPLICAS = 8
MAX_DOUBLINGS = 10
GIVEN_UP = CallObservation(
    completed=False, first_token_s=0.0, total_s=0.0, seems_cold=False
)


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
        self._losses: dict[str, PrefixLosses] = {}
        self._short: Counter[str] = Counter()  # By pool, calls lately not placed.

    def choose(self, call: StageCall) -> RoutingDecision:
        """Return a decision that holds a slot; raise `NoReplicaAvailable` if none."""
        ranking = self._rank(call)
        decision = self._take_first(call, ranking)
        log_decision(self.env, call, ranking, decision)
        if decision is None:
            self.borrower.note_demand(ranking.wanted())
            count_refused(self.env, call)
            raise NoReplicaAvailable(pool=call.pool, lost=ranking.lost)
        return decision

    async def choose_within(self, call: StageCall, wait_s: float) -> RoutingDecision:
        """Like `choose`, waiting at most `wait_s` for a slot to become free."""
        ends_s = self.env.clock.monotonic_s() + wait_s
        while True:
            ranking = self._rank(call)
            decision = self._take_first(call, ranking)
            left_s = ends_s - self.env.clock.monotonic_s()
            if decision is None and left_s > 0 and ranking.scored:
                # Ranks anew each period: other replicas may have slots by then.
                wait_s = min(left_s, self.env.settings.slots.renew_period_s)
                await self.borrower.wait_for_slot(ranking.wanted(), wait_s)
                continue
            log_decision(self.env, call, ranking, decision)
            if decision is not None:
                return decision
            count_refused(self.env, call)
            raise NoReplicaAvailable(pool=call.pool, lost=ranking.lost)

    def observe(
        self,
        decision: RoutingDecision,
        result: BackendResult | None,
        error: EgretshedError | None,
        ended: bool = True,
    ) -> None:
        """Learn from the call and release its slot; neither given means cancelled.

        A call that its server may not have `ended` keeps its slot until `release`.
        """
        replica_id = decision.replica.replica_id
        sign = "rejected" if isinstance(error, BackendRejected) else ""
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
        self._judge(decision, result, error)
        if not ended:
            return
        self.borrower.release(
            decision.slot,
            CallObservation(
                completed=result is not None,
                first_token_s=result.first_token_s if result else 0.0,
                total_s=result.total_s if result else 0.0,
                seems_cold=seems_cold,
            ),
        )

    def release(self, decision: RoutingDecision) -> None:
        """Release the slot of a call that was observed before it had ended."""
        self.borrower.release(decision.slot, GIVEN_UP)

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
        lost = {}
        usable = []
        for replica in pool.replicas:
            reason = self._why_not(call, replica)
            if reason:
                lost[replica.replica_id] = reason
            else:
                usable.append(self._candidate(call, pool, replica))
        usable = self._own_part(call, usable, lost)
        if not usable:
            return Ranking([], lost)
        scored = self._policy.rank(call, usable, self.env.random)
        scored.sort(
            key=lambda item: item[1].replica.failure_domain in call.excluded_domains
        )
        return Ranking(scored, lost)

    def _own_part(
        self, call: StageCall, usable: list[Candidate], lost: dict[str, str]
    ) -> list[Candidate]:
        """Keep this node's part of a large pool, doubled by each call not placed."""
        size = PART_REPLICAS << min(self._short[call.pool], MAX_DOUBLINGS)
        if len(usable) <= size:
            return usable
        own = self.env.identity.node_id
        ordered = sorted(
            usable, key=lambda item: _digest(f"{own}/{item.replica.replica_id}")
        )
        for item in ordered[size:]:
            lost[item.replica.replica_id] = "other_part"
        return ordered[:size]

    def _why_not(self, call: StageCall, replica: Replica) -> str:
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

    def _judge(self, decision, result, error) -> None:
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
