"""Renewal of loans: sends each owner one batched request for all of its replicas.

A request is sent every renew period, earlier while slots are lacking, and at once after
a revocation, a cold sign or a call that needs a longer loan.
"""

import asyncio
import itertools

from egretshed.environment import Environment
from egretshed.errors import EgretshedError
from egretshed.gen.messages.ttypes import (
    LoanReply,
    LoanRequest,
    LoanReturn,
)
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.slots.borrowed_replica import BorrowedReplicaState
from egretshed.slots.borrower import Borrower
from egretshed.slots.event_wait import wait_for_event
from egretshed.slots.lending import Lender

# First retry delay while slots are lacking. It doubles up to the renew period, since a
# busy replica's slots are free only for a fraction of a call.
MIN_RETRY_S = 0.05


class _RequestTimes:
    """Time of the last request to an owner, and the present retry delay."""

    def __init__(self) -> None:
        self.requested_s = -float("inf")
        self.retry_s = MIN_RETRY_S


class Renewer:
    """Keeps the loans of a borrower renewed, with one request in flight per owner."""

    def __init__(
        self, env: Environment, peers: PeerNetwork, borrower: Borrower, lender: Lender
    ):
        self.env = env
        self.peers = peers
        self.borrower = borrower
        self.lender = lender
        self._sequence = itertools.count(1)
        self._request_times: dict[str, _RequestTimes] = {}
        self._exchanges: dict[str, asyncio.Task] = {}
        peers.handle(LoanReply, self._on_unsolicited_reply)

    async def run(self) -> None:
        """Renew loans until cancelled."""
        clock = self.env.clock
        try:
            while True:
                self.borrower.wake_event.clear()
                wait_s = self._start_due_exchanges(clock.monotonic_s())
                await wait_for_event(clock, self.borrower.wake_event, wait_s)
        finally:
            for task in self._exchanges.values():
                task.cancel()

    async def return_loans(self) -> None:
        """Return all loans; report calls that are still running to the owners."""
        self.borrower.is_closed = True
        self.borrower.drop_loans()
        own = self.env.identity
        for owner, states in self._active_states_by_owner().items():
            message = self._build_message(LoanReturn, owner, states)
            for demand in message.demands:
                demand.wanted_slots = 0
            if owner == own.node_id:
                self.lender.answer(Sender(own.node_id, own.incarnation), message)
                continue
            try:
                await self.peers.call(owner, message)
            except EgretshedError:
                continue  # The loan expires at the owner.

    async def _on_unsolicited_reply(self, sender: Sender, reply: LoanReply) -> None:
        self.borrower.on_unsolicited_reply(sender.node_id, reply)

    def _start_due_exchanges(self, now_s: float) -> float:
        """Start the exchanges that are due; return the seconds until the next one."""
        period_s = self.env.settings.slots.renew_period_s
        if self.borrower.is_closed:
            return period_s
        if not self.lender.membership.is_settled():
            self.borrower.drop_loans()
            return min(period_s, MIN_RETRY_S)
        next_s = period_s
        for owner, states in self._active_states_by_owner().items():
            due_s = self._due_s(owner, states, now_s)
            if owner in self._exchanges:
                continue
            if due_s <= now_s:
                self._start_exchange(owner, states, now_s)
            else:
                next_s = min(next_s, due_s - now_s)
        return next_s

    def _due_s(
        self, owner: str, states: list[BorrowedReplicaState], now_s: float
    ) -> float:
        times = self._request_times.setdefault(owner, _RequestTimes())
        if any(state.replica_id in self.borrower.urgent_replicas for state in states):
            return now_s
        if any(state.lacks_slots(now_s) for state in states):
            return times.requested_s + times.retry_s
        return times.requested_s + self.env.settings.slots.renew_period_s

    def _start_exchange(
        self, owner: str, states: list[BorrowedReplicaState], now_s: float
    ) -> None:
        times = self._request_times[owner]
        period_s = self.env.settings.slots.renew_period_s
        lacks_slots = any(state.lacks_slots(now_s) for state in states)
        times.retry_s = min(2 * times.retry_s, period_s) if lacks_slots else MIN_RETRY_S
        times.requested_s = now_s
        self.borrower.urgent_replicas -= {state.replica_id for state in states}
        task = asyncio.create_task(self._exchange(owner, states))
        self._exchanges[owner] = task
        task.add_done_callback(lambda _: self._on_exchange_ended(owner))

    def _on_exchange_ended(self, owner: str) -> None:
        self._exchanges.pop(owner, None)
        self.borrower.wake_event.set()

    async def _exchange(self, owner: str, states: list[BorrowedReplicaState]) -> None:
        sent_s = self.env.clock.monotonic_s()
        for state in states:
            state.release_unneeded()
        message = self._build_message(LoanRequest, owner, states)
        reported_signs = {state.replica_id: state.cold_signs for state in states}
        for state in states:
            state.decay_demand()
        try:
            reply = await self._send_request(owner, message)
        except EgretshedError as error:
            self._count_failure(error)
            return
        max_call_s = {
            demand.replica_id: demand.longest_remaining_ms / 1000
            for demand in message.demands
        }
        for grant in reply.grants:
            if grant.not_owner or grant.replica_id not in max_call_s:
                continue
            state = self.borrower.states[grant.replica_id]
            state.confirm_cold_signs(reported_signs[grant.replica_id])
            if not state.cold_signs:
                state.apply_grant(owner, grant, sent_s, max_call_s[grant.replica_id])
        self.borrower.wake_waiters()

    async def _send_request(self, owner: str, message: LoanRequest) -> LoanReply:
        own = self.env.identity
        if owner == own.node_id:
            return self.lender.answer(Sender(owner, own.incarnation), message)
        return await self.peers.call(owner, message)

    def _build_message(
        self, kind: type, owner: str, states: list[BorrowedReplicaState]
    ):
        now_s = self.env.clock.monotonic_s()
        max_call_s = self.borrower.max_call_s()
        demands = [state.demand(owner, max_call_s, now_s) for state in states]
        return kind(self.env.identity.incarnation, demands, next(self._sequence))

    def _active_states_by_owner(self) -> dict[str, list[BorrowedReplicaState]]:
        """Return the states of active replicas by the present owner of the replica."""
        now_s = self.env.clock.monotonic_s()
        states_by_owner: dict[str, list[BorrowedReplicaState]] = {}
        for state in self.borrower.states.values():
            if not state.is_active(now_s):
                continue
            owner = self.lender.owner_of(state.replica_id)
            if owner is not None:
                states_by_owner.setdefault(owner, []).append(state)
        return states_by_owner

    def _count_failure(self, error: EgretshedError) -> None:
        self.env.metrics.counter(
            "slots_request_failures_total",
            "Loan requests that got no reply",
            ("error",),
        ).labels(error.code).inc()
