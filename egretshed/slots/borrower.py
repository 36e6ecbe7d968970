"""Borrower side of slots: takes and releases slots on loan without messages.

A loan is a lease of slots on one replica. It expires by this node's clock, counted from
the time its request was sent, so the borrower stops using the slots before the owner
counts them as free.
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

MAX_DEMAND_HINTS = 8
MAX_CALL_S = 86400.0


class _Waiter(NamedTuple):
    replica_ids: tuple[str, ...]
    event: asyncio.Event


class Borrower:
    """Slots that this node has on loan, by replica.

    While membership is unsettled or the borrower is closed, no slot can be taken.
    """

    def __init__(self, env: Environment, membership, configuration):
        self.env = env
        self.membership = membership
        self.configuration = configuration
        self.states: dict[str, BorrowedReplicaState] = {}
        self.wake_event = asyncio.Event()
        self.urgent_replicas: set[str] = set()
        self.is_closed = False
        self._waiters: list[_Waiter] = []

    def view(self, replica_id: str) -> ReplicaView:
        """Return the state of the replica, with zero counts if it is unknown."""
        state = self.states.get(replica_id)
        if state is None:
            return ReplicaView(replica_id)
        view = state.view(self.env.clock.monotonic_s())
        return view if self._may_use_loans() else view._replace(free=0)

    def take(self, replica_id: str, attempt_id: str, max_call_s: float) -> Slot | None:
        """Return a slot for a call of at most `max_call_s`, or None if there is none.

        A call that is longer than the loan covers gets no slot, and the next request
        asks for a longer loan: the owner reserves the slots of a dead borrower only for
        the longest call of its loan.
        """
        state = self._state(replica_id)
        now_s = self.env.clock.monotonic_s()
        if not self._may_use_loans() or not state.free(now_s):
            return None
        if max_call_s > state.max_call_s:
            state.requested_max_call_s = min(max_call_s, MAX_CALL_S)
            self._request_now(replica_id)
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
        state.peak_calls = max(state.peak_calls, len(state.calls))
        return slot

    def release(self, slot: Slot, observation: CallObservation) -> None:
        """Release the slot of an ended call. Idempotent."""
        state = self._state(slot.replica_id)
        if slot.attempt_id not in state.calls:
            return
        state.record_call_end(slot, observation)
        if observation.seems_cold:
            self._request_now(slot.replica_id)
        self.wake_waiters()

    def request_slots(self, replica_ids: list[str]) -> None:
        """Ask the owner of each replica for one more slot, up to `MAX_DEMAND_HINTS`."""
        for replica_id in replica_ids:
            state = self._state(replica_id)
            state.demand_hints = min(MAX_DEMAND_HINTS, state.demand_hints + 1)
        self.wake_event.set()

    async def wait_for_slot(self, replica_ids: list[str], timeout_s: float) -> bool:
        """Return whether one of the replicas has a free slot within `timeout_s`.

        The slot is not reserved: another call may take it first.
        """
        if self._has_free_slot(replica_ids):
            return True
        waiter = _Waiter(tuple(replica_ids), asyncio.Event())
        self._waiters.append(waiter)
        self._change_waiting_calls(waiter, 1)
        self.wake_event.set()
        try:
            await wait_for_event(self.env.clock, waiter.event, timeout_s)
        finally:
            self._waiters.remove(waiter)
            self._change_waiting_calls(waiter, -1)
        return self._has_free_slot(replica_ids)

    def on_unsolicited_reply(self, owner: str, reply: LoanReply) -> None:
        """Apply revocations; an immediate request confirms them to the owner."""
        now_s = self.env.clock.monotonic_s()
        for grant in reply.grants:
            state = self.states.get(grant.replica_id)
            if state is not None:
                state.apply_revocation(owner, grant, now_s)
                self._request_now(grant.replica_id)

    def drop_loans(self) -> None:
        """Stop using all loans, for example when membership is unsettled."""
        for state in self.states.values():
            state.drop_loan()

    def wake_waiters(self) -> None:
        for waiter in self._waiters:
            if self._has_free_slot(waiter.replica_ids):
                waiter.event.set()

    def max_call_s(self) -> float:
        return configured_max_call_s(self.configuration.current)

    def _may_use_loans(self) -> bool:
        return not self.is_closed and self.membership.is_settled()

    def _has_free_slot(self, replica_ids) -> bool:
        now_s = self.env.clock.monotonic_s()
        if not self._may_use_loans():
            return False
        known = (self.states.get(replica_id) for replica_id in replica_ids)
        return any(state is not None and state.free(now_s) for state in known)

    def _change_waiting_calls(self, waiter: _Waiter, change: int) -> None:
        for replica_id in waiter.replica_ids:
            self._state(replica_id).waiting_calls += change

    def _request_now(self, replica_id: str) -> None:
        self.urgent_replicas.add(replica_id)
        self.wake_event.set()

    def _state(self, replica_id: str) -> BorrowedReplicaState:
        state = self.states.get(replica_id)
        if state is None:
            state = self.states[replica_id] = BorrowedReplicaState(replica_id)
        return state
