"""Owner side of slots: answers borrowers, follows load, revokes what is too much."""

import asyncio
import math
from collections.abc import Callable

from egretshed.configuration.schema import (
    Pool,
    Replica,
)
from egretshed.environment import Environment
from egretshed.errors import EgretshedError
from egretshed.gen.messages.ttypes import (
    LoanDemand,
    LoanGrant,
    LoanReply,
    LoanRequest,
    LoanReturn,
)
from egretshed.logs import log_event
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.slots.handover import Handover
from egretshed.slots.ledger import Grant
from egretshed.slots.owned_replica import (
    LostOwnership,
    OwnedReplicaState,
    configured_max_call_s,
)
from egretshed.slots.records import (
    BorrowerId,
    OwnedReplicaStatus,
)

MAX_LOAD_AGE_MS = 2**31 - 1


class Lender:
    """Lends the slots of the replicas that this node owns.

    `deliver` hands an unasked reply to this node's own borrower.
    """

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        membership,
        configuration,
        backends,
        deliver: Callable[[str, LoanReply], None],
    ):
        self.env = env
        self.peers = peers
        self.membership = membership
        self.configuration = configuration
        self.backends = backends
        self.deliver = deliver
        self._states: dict[str, OwnedReplicaState] = {}
        self._polls: dict[str, asyncio.Task] = {}
        self._ticked_s = env.clock.monotonic_s()
        self._known_for = None
        self._known: dict[str, tuple[str, Pool, Replica]] = {}
        self._owned_for = None
        self._owned_in = None
        self._owned: dict[str, None] = {}
        self.handover = Handover(env, peers, self)
        peers.handle(LoanRequest, self._on_request)
        peers.handle(LoanReturn, self._on_return)

    async def run(self) -> None:
        """Refresh what is owned and poll loads until cancelled."""
        period_s = self.env.settings.slots.renew_period_s / 2
        try:
            while True:
                self.refresh()
                await self.env.clock.sleep(period_s)
        finally:
            for task in self._polls.values():
                task.cancel()

    async def _on_request(self, sender: Sender, message: LoanRequest) -> LoanReply:
        return self.answer(sender, message)

    async def _on_return(self, sender: Sender, message: LoanReturn) -> None:
        self.answer(sender, message)

    def answer(self, sender: Sender, message: LoanRequest | LoanReturn) -> LoanReply:
        """Apply a borrower's report and return its grants."""
        self._check_pause()
        borrower = BorrowerId(sender.node_id, message.incarnation)
        grants = []
        for demand in message.demands:
            known = self._replicas().get(demand.replica_id)
            if known is None or not self._is_owner(known[2]):
                grants.append(_not_owner(demand.replica_id))
                continue
            _, pool, replica = known
            state = self._observe(replica)
            self._report(state, borrower, demand, message.sequence or 0, pool)
            if isinstance(message, LoanRequest):
                grants.append(self._lend(state, borrower, pool))
        return LoanReply(grants)

    def refresh(self) -> None:
        """Follow ownership, shares and limits; revoke and poll where due."""
        self._check_pause()
        now_s = self.env.clock.monotonic_s()
        replicas = self._replicas()
        owned_ids = self._owned_ids()
        kept_ids = [r for r in self._states if r in replicas and r not in owned_ids]
        for replica_id in [*owned_ids, *kept_ids]:
            _, pool, replica = replicas[replica_id]
            state = self._observe(replica)
            for borrower in state.ledger.forget_ended(now_s):
                state.warmth.forget(borrower)
            if replica_id in owned_ids:
                self._revoke(state, pool)
                self._poll_if_due(state, replica_id)
            elif not state.ledger.loans and not self.handover.is_open(state):
                del self._states[replica_id]
        for replica_id in self._states.keys() - replicas.keys():
            del self._states[replica_id]
        self.handover.offer_all(self._states)

    def owner_of(self, replica_id: str) -> str | None:
        """Return the node that owns a declared replica, as this node sees it."""
        known = self._replicas().get(replica_id)
        if known is None:
            return None
        return self.membership.owner_of(known[2], self._region(known[2]))

    def owned(self) -> list[OwnedReplicaStatus]:
        now_s = self.env.clock.monotonic_s()
        max_call_s = configured_max_call_s(self.configuration.current)
        return [
            self._states[replica_id].status(name, pool, replica, now_s, max_call_s)
            for replica_id, (name, pool, replica) in self._replicas().items()
            if replica_id in self._states and self._is_owner(replica)
        ]

    def take_over_wait_s(self) -> float:
        """Return how long a new owner lends nothing.

        An earlier owner may lend until it has noticed that it was cut off, and its
        loans last for a loan duration after that. The time to notice grows with the
        fleet, so the setting is only the least wait.
        """
        slots = self.env.settings.slots
        earlier_s = self.membership.detection_bound_s() + slots.loan_duration_s
        return max(slots.take_over_wait_s, earlier_s)

    def _report(
        self,
        state: OwnedReplicaState,
        borrower: BorrowerId,
        demand: LoanDemand,
        sequence: int,
        pool: Pool,
    ) -> None:
        now_s = self.env.clock.monotonic_s()
        if state.ledger.report(borrower, demand, sequence, now_s):
            self._learn(state, borrower, demand, pool)

    def _lend(
        self, state: OwnedReplicaState, borrower: BorrowerId, pool: Pool
    ) -> LoanGrant:
        now_s = self.env.clock.monotonic_s()
        max_call_s = configured_max_call_s(self.configuration.current)
        grant = state.ledger.lend(
            borrower,
            state.amount(pool, now_s, max_call_s),
            state.foreign(pool, now_s, max_call_s),
            now_s,
        )
        return self._message(state, pool, grant)

    def _learn(
        self,
        state: OwnedReplicaState,
        borrower: BorrowerId,
        demand: LoanDemand,
        pool: Pool,
    ) -> None:
        now_s = self.env.clock.monotonic_s()
        if demand.seems_cold:
            state.warmth.note_cold(now_s)
            self._log_cold(demand.replica_id, borrower.node_id)
            self._revoke(state, pool)
        elif demand.completed_calls is not None:
            state.warmth.note_completed(borrower, demand.completed_calls, pool, now_s)

    def _log_cold(self, replica_id: str, source: str) -> None:
        log_event(self.env.logger, "replica_cold", replica_id=replica_id, source=source)

    def _message(self, state: OwnedReplicaState, pool: Pool, grant: Grant) -> LoanGrant:
        age_s = self.env.clock.monotonic_s() - state.report_seen_s
        duration_ms = int(self.env.settings.slots.loan_duration_s * 1000)
        return LoanGrant(
            replica_id=state.ledger.replica_id,
            loan_id=grant.loan_id,
            slots=grant.slots,
            duration_ms=duration_ms,
            limit_slots=state.limit(pool, self.env.clock.monotonic_s()),
            in_flight_calls=state.report.in_flight if state.report else 0,
            warm=state.warmth.state == "warm",
            load_age_ms=min(MAX_LOAD_AGE_MS, math.ceil(age_s * 1000)),
            lends_after_ms=math.ceil(self._lends_after_s(state, pool) * 1000) or None,
        )

    def _lends_after_s(self, state: OwnedReplicaState, pool: Pool) -> float:
        now_s = self.env.clock.monotonic_s()
        max_call_s = configured_max_call_s(self.configuration.current)
        limit = state.warmth.limit(pool)
        after_s = state.window.lends_after_s(limit, now_s, max_call_s)
        if state.foreign(pool, now_s, max_call_s) < limit:
            return after_s
        # Nothing is lent before a load report shows what earlier owners left running.
        period_s = self.env.settings.slots.load_report_period_s
        return after_s + period_s + (state.report.age_s if state.report else 0.0)

    def _revoke(self, state: OwnedReplicaState, pool: Pool) -> None:
        now_s = self.env.clock.monotonic_s()
        if now_s < state.window.resumes_s:
            return  # Earlier loans expire before this owner lends.
        max_call_s = configured_max_call_s(self.configuration.current)
        amount = state.amount(pool, now_s, max_call_s)
        foreign = state.foreign(pool, now_s, max_call_s) if amount else 0
        for borrower, grant in state.ledger.revoke(amount, foreign, now_s):
            reply = LoanReply([self._message(state, pool, grant)])
            if borrower.node_id == self.env.identity.node_id:
                self.deliver(borrower.node_id, reply)
            else:
                self.peers.send(borrower.node_id, reply)

    def _observe(self, replica: Replica) -> OwnedReplicaState:
        """Return the replica's state with its share as of now."""
        now_s = self.env.clock.monotonic_s()
        wait_s = self.take_over_wait_s()
        state = self._states.get(replica.replica_id)
        if state is None:
            state = OwnedReplicaState(self.env, replica.replica_id, now_s, wait_s)
            self._states[replica.replica_id] = state
        state.window.wait_s = wait_s
        share = None
        if self.membership.is_settled() and self._is_owner(replica):
            share = self.membership.lending_share(self._region(replica))
        self._note_lost(state, replica, share)
        state.window.record(now_s, share)
        state.may_get_work = self.configuration.current.is_in_service(
            replica
        ) and not self.membership.is_backend_leaving(replica.replica_id)
        return state

    def _note_lost(self, state: OwnedReplicaState, replica: Replica, share) -> None:
        """Record the moment when another node has become the owner."""
        was = state.window.share
        if share is not None:
            state.lost = None
        elif was is not None and self.membership.is_settled():
            state.lost = self._lost_steadily(state, replica, was)

    def _lost_steadily(self, state: OwnedReplicaState, replica: Replica, share):
        """Return the loss if this node could lend its whole share, else None."""
        now_s = self.env.clock.monotonic_s()
        max_call_s = configured_max_call_s(self.configuration.current)
        _, pool, _ = self._replicas()[replica.replica_id]
        limits = (pool.cold_slots, pool.warm_slots)
        if all(state.window.is_steady(limit, now_s, max_call_s) for limit in limits):
            foreign_until_s = now_s + state.foreign_left_s(now_s, max_call_s)
            foreign = state.foreign(pool, now_s, max_call_s)
            return LostOwnership(now_s, share, foreign, foreign_until_s)
        return None

    def state_if_owner(self, replica_id: str) -> OwnedReplicaState | None:
        """Return the state as of now if this node may lend the replica's slots."""
        self._check_pause()
        known = self._replicas().get(replica_id)
        if known is None or not self.membership.is_settled():
            return None
        return self._observe(known[2]) if self._is_owner(known[2]) else None

    def state_if_lost(self, replica_id: str) -> OwnedReplicaState | None:
        """Return the state as of now if this node was the owner until lately."""
        self._check_pause()
        known = self._replicas().get(replica_id)
        if known is None or replica_id not in self._states:
            return None
        if not self.membership.is_settled() or self._is_owner(known[2]):
            return None
        return self._observe(known[2])

    def _check_pause(self) -> None:
        """Stop lending after a pause: another node may have taken over meanwhile."""
        now_s = self.env.clock.monotonic_s()
        limit_s = self.env.settings.membership.pause_limit_s
        if now_s - self._ticked_s > limit_s:
            for state in self._states.values():
                state.window.interrupt(now_s)
                state.lost = None
        self._ticked_s = now_s

    def _is_owner(self, replica: Replica) -> bool:
        owner = self.membership.owner_of(replica, self._region(replica))
        return owner == self.env.identity.node_id

    def _region(self, replica: Replica) -> str:
        domain = self.configuration.current.failure_domains.get(replica.failure_domain)
        return domain.region if domain else ""

    def _owned_ids(self) -> dict[str, None]:
        """Return the replicas that this node owns, in the declared order.

        Asking for the owner of each replica four times a second took 5 ms of CPU a
        second with 200 replicas.
        """
        current = self.configuration.current
        revision = self.membership.revision
        if self._owned_for != revision or self._owned_in is not current:
            self._owned_for, self._owned_in = revision, current
            self._owned = {
                replica_id: None
                for replica_id, (_, _, replica) in self._replicas().items()
                if self._is_owner(replica)
            }
        return self._owned

    def _replicas(self) -> dict[str, tuple[str, Pool, Replica]]:
        current = self.configuration.current
        if self._known_for is not current:
            self._known_for = current
            self._known = {
                replica.replica_id: (name, pool, replica)
                for name, pool in current.pools.items()
                for replica in pool.replicas
            }
        return self._known

    def _poll_if_due(self, state: OwnedReplicaState, replica_id: str) -> None:
        now_s = self.env.clock.monotonic_s()
        period_s = self.env.settings.slots.load_report_period_s
        if replica_id in self._polls or now_s - state.polled_s < period_s:
            return
        state.note_poll(now_s)
        task = asyncio.create_task(self._poll(state, replica_id))
        self._polls[replica_id] = task
        task.add_done_callback(lambda _: self._polls.pop(replica_id, None))

    async def _poll(self, state: OwnedReplicaState, replica_id: str) -> None:
        was = state.warmth.state
        self.env.metrics.counter(
            "slots_load_polls_total", "Load reports asked of backend servers"
        ).inc()
        try:
            report = await self.backends.get(replica_id).load()
        except EgretshedError as error:
            self.env.metrics.counter(
                "slots_load_failures_total", "Failed load polls", ("replica", "error")
            ).labels(replica_id, error.code).inc()
            return
        state.record_load_report(report, self.env.clock.monotonic_s())
        if state.warmth.state == "cold" != was:
            self._log_cold(replica_id, "load report")


def _not_owner(replica_id: str) -> LoanGrant:
    return LoanGrant(replica_id, 0, 0, 0, 0, 0, False, not_owner=True)
