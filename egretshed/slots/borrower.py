"""Borrower side of slots: takes and releases without messages.

A loan ends by this node's own clock, counted from when its request was sent, so the
borrower stops before the owner counts the slots as free.
"""

import asyncio
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import LoanReply
from egretshed.invariants import require
from egretshed.slots.borrowed_replica import BorrowedReplicaState
from egretshed.slots.event_wait import wait_for_event
from egretshed.slots.owned_replica import configured_max_call_s
from egretshed.slots.records import (
    CallObservation,
    ReplicaView,
    Slot,
)

MAX_HINTS = 8
MAX_CALL_S = 86400.0


class _Waiter(NamedTuple):
    replica_ids: tuple[str, ...]
    event: asyncio.Event


class Borrower:
    """Slots that this node has on loan, by replica."""

    def __init__(self, env: Environment, membership, configuration):
        self.env = env
        self.membership = membership
        self.configuration = configuration
        self.states: dict[str, BorrowedReplicaState] = {}
        self.wake = asyncio.Event()
        self.urgent: set[str] = set()
        self.is_closed = False
        self._waiters: list[_Waiter] = []

    def view(self, replica_id: str) -> ReplicaView:
        """Return what is known of the replica; all zero if nothing is."""
        state = self.states.get(replica_id)
        if state is None:
            return ReplicaView(replica_id)
        view = state.view(self.env.clock.monotonic_s())
        return view if self._may_take() else view._replace(free=0)

    def take(self, replica_id: str, attempt_id: str, max_call_s: float) -> Slot | None:
        """Return a slot for a call of at most `max_call_s`, or None if there is none.

        A call longer than the loan allows is refused and asked for with the next
        request, since the owner reserves a dead borrower's slots only that long.
        """
        state = self._state(replica_id)
        now_s = self.env.clock.monotonic_s()
        if not self._may_take() or not state.free(now_s):
            return None
        if max_call_s > state.max_call_s:
            state.requested_max_call_s = min(max_call_s, MAX_CALL_S)
            self._hurry(replica_id)
            return None
        require(
            self.env,
            len(state.calls) < state.held(now_s) and attempt_id not in state.calls,
            "P2_calls_within_loan",
            replica_id=replica_id,
            attempt_id=attempt_id,
        )
        slot = Slot(replica_id, attempt_id, now_s + max_call_s)
        state.calls[attempt_id] = slot
        state.peak = max(state.peak, len(state.calls))
        return slot

    def release(self, slot: Slot, observation: CallObservation) -> None:
        """Give a slot back after its call ended; releasing twice has no effect."""
        state = self._state(slot.replica_id)
        if slot.attempt_id not in state.calls:
            return
        state.observe(slot, observation)
        if observation.seems_cold:
            self._hurry(slot.replica_id)
        self.wake_waiters()

    def request_slots(self, replica_ids: list[str]) -> None:
        """Ask for one more slot on each replica."""
        for replica_id in replica_ids:
            state = self._state(replica_id)
            state.hints = min(MAX_HINTS, state.hints + 1)
        self.wake.set()

    async def wait_for_slot(self, replica_ids: list[str], timeout_s: float) -> bool:
        """Return whether one of the replicas has a free slot within `timeout_s`.

        The slot is not held: another call may take it first.
        """
        if self._any_free(replica_ids):
            return True
        waiter = _Waiter(tuple(replica_ids), asyncio.Event())
        self._waiters.append(waiter)
        self._count_waiting(waiter, 1)
        self.wake.set()
        try:
            await wait_for_event(self.env.clock, waiter.event, timeout_s)
        finally:
            self._waiters.remove(waiter)
            self._count_waiting(waiter, -1)
        return self._any_free(replica_ids)

    def on_unasked(self, owner: str, reply: LoanReply) -> None:
        """Apply lowered totals; the next request confirms them to the owner."""
        now_s = self.env.clock.monotonic_s()
        for grant in reply.grants:
            state = self.states.get(grant.replica_id)
            if state is not None:
                state.lower(owner, grant, now_s)
                self._hurry(grant.replica_id)

    def drop_loans(self) -> None:
        """Stop using all loans, for example after a pause."""
        for state in self.states.values():
            state.drop()

    def wake_waiters(self) -> None:
        for waiter in self._waiters:
            if self._any_free(waiter.replica_ids):
                waiter.event.set()

    def max_call_s(self) -> float:
        return configured_max_call_s(self.configuration.current)

    def _may_take(self) -> bool:
        return not self.is_closed and self.membership.is_settled()

    def _any_free(self, replica_ids) -> bool:
        now_s = self.env.clock.monotonic_s()
        if not self._may_take():
            return False
        known = (self.states.get(replica_id) for replica_id in replica_ids)
        return any(state is not None and state.free(now_s) for state in known)

    def _count_waiting(self, waiter: _Waiter, step: int) -> None:
        for replica_id in waiter.replica_ids:
            self._state(replica_id).waiting += step

    def _hurry(self, replica_id: str) -> None:
        self.urgent.add(replica_id)
        self.wake.set()

    def _state(self, replica_id: str) -> BorrowedReplicaState:
        state = self.states.get(replica_id)
        if state is None:
            state = self.states[replica_id] = BorrowedReplicaState(replica_id)
        return state
