"""Messages of the borrower: one batched request per owner, when due or short."""

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

# A borrower that stays short asks again after this long, then twice as long, up to the
# renew period: free slots of a busy replica last a fraction of a call.
SHORT_RETRY_S = 0.05


class _OwnerTimes:
    """When an owner was last asked, and how long to wait while short."""

    def __init__(self) -> None:
        self.asked_s = -float("inf")
        self.retry_s = SHORT_RETRY_S


class Renewer:
    """Keeps the borrower's loans renewed; one exchange at a time with each owner."""

    def __init__(
        self, env: Environment, peers: PeerNetwork, borrower: Borrower, lender: Lender
    ):
        self.env = env
        self.peers = peers
        self.borrower = borrower
        self.lender = lender
        self._sequence = itertools.count(1)
        self._owners: dict[str, _OwnerTimes] = {}
        self._exchanges: dict[str, asyncio.Task] = {}
        peers.handle(LoanReply, self._on_unasked)

    async def run(self) -> None:
        """Renew until cancelled."""
        clock = self.env.clock
        try:
            while True:
                self.borrower.wake.clear()
                wait_s = self._start_due(clock.monotonic_s())
                await wait_for_event(clock, self.borrower.wake, wait_s)
        finally:
            for task in self._exchanges.values():
                task.cancel()

    async def return_loans(self) -> None:
        """Return all loans; calls that still run are reported to the owners."""
        self.borrower.is_closed = True
        self.borrower.drop_loans()
        own = self.env.identity
        for owner, states in self._by_owner().items():
            message = self._message(LoanReturn, owner, states)
            for demand in message.demands:
                demand.wanted_slots = 0
            if owner == own.node_id:
                self.lender.answer(Sender(own.node_id, own.incarnation), message)
                continue
            try:
                await self.peers.call(owner, message)
            except EgretshedError:
                continue  # The loan expires by itself.

    async def _on_unasked(self, sender: Sender, reply: LoanReply) -> None:
        self.borrower.on_unasked(sender.node_id, reply)

    def _start_due(self, now_s: float) -> float:
        """Start the exchanges that are due; return the seconds to the next one."""
        period_s = self.env.settings.slots.renew_period_s
        if self.borrower.is_closed:
            return period_s
        if not self.lender.membership.is_settled():
            self.borrower.drop_loans()
            return min(period_s, SHORT_RETRY_S)
        next_s = period_s
        for owner, states in self._by_owner().items():
            due_s = self._due_s(owner, states, now_s)
            if owner in self._exchanges:
                continue
            if due_s <= now_s:
                self._start(owner, states, now_s)
            else:
                next_s = min(next_s, due_s - now_s)
        return next_s

    def _due_s(
        self, owner: str, states: list[BorrowedReplicaState], now_s: float
    ) -> float:
        times = self._owners.setdefault(owner, _OwnerTimes())
        if any(state.replica_id in self.borrower.urgent for state in states):
            return now_s
        if any(state.is_short(now_s) for state in states):
            return times.asked_s + times.retry_s
        return times.asked_s + self.env.settings.slots.renew_period_s

    def _start(
        self, owner: str, states: list[BorrowedReplicaState], now_s: float
    ) -> None:
        times = self._owners[owner]
        period_s = self.env.settings.slots.renew_period_s
        short = any(state.is_short(now_s) for state in states)
        times.retry_s = min(2 * times.retry_s, period_s) if short else SHORT_RETRY_S
        times.asked_s = now_s
        self.borrower.urgent -= {state.replica_id for state in states}
        task = asyncio.create_task(self._exchange(owner, states))
        self._exchanges[owner] = task
        task.add_done_callback(lambda _: self._ended(owner))

    def _ended(self, owner: str) -> None:
        self._exchanges.pop(owner, None)
        self.borrower.wake.set()

    async def _exchange(self, owner: str, states: list[BorrowedReplicaState]) -> None:
        sent_s = self.env.clock.monotonic_s()
        for state in states:
            state.give_up_unwanted()
        message = self._message(LoanRequest, owner, states)
        signs = {state.replica_id: state.cold_signs for state in states}
        for state in states:
            state.note_sent()
        try:
            reply = await self._ask(owner, message)
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
            state.confirm_signs(signs[grant.replica_id])
            if not state.cold_signs:
                state.accept(owner, grant, sent_s, max_call_s[grant.replica_id])
        self.borrower.wake_waiters()

    async def _ask(self, owner: str, message: LoanRequest) -> LoanReply:
        own = self.env.identity
        if owner == own.node_id:
            return self.lender.answer(Sender(owner, own.incarnation), message)
        return await self.peers.call(owner, message)

    def _message(self, kind: type, owner: str, states: list[BorrowedReplicaState]):
        now_s = self.env.clock.monotonic_s()
        max_call_s = self.borrower.max_call_s()
        demands = [state.demand(owner, max_call_s, now_s) for state in states]
        return kind(self.env.identity.incarnation, demands, next(self._sequence))

    def _by_owner(self) -> dict[str, list[BorrowedReplicaState]]:
        """Return the active replicas by the node that owns them now."""
        now_s = self.env.clock.monotonic_s()
        owners: dict[str, list[BorrowedReplicaState]] = {}
        for state in self.borrower.states.values():
            if not state.is_active(now_s):
                continue
            owner = self.lender.owner_of(state.replica_id)
            if owner is not None:
                owners.setdefault(owner, []).append(state)
        return owners

    def _count_failure(self, error: EgretshedError) -> None:
        self.env.metrics.counter(
            "slots_request_failures_total", "Loan requests without reply", ("error",)
        ).labels(error.code).inc()
