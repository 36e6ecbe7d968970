"""Passes ledgers from an owner that has stopped to its successor.

Without a ledger the successor waits until all loans of the earlier owner have ended.
The earlier owner offers its ledgers; the successor asks for them, so that it knows by
its own clock how old the answer is. What was offered late, or answered after a pause
on either side, is not used: another owner may have lent in between.
"""

import asyncio
import math

from egretshed.environment import Environment
from egretshed.errors import EgretshedError
from egretshed.gen.messages.ttypes import (
    HandedLedger,
    HandedLoan,
    HandoverOffer,
    HandoverReply,
    HandoverRequest,
)
from egretshed.logs import log_event
from egretshed.membership.ownership import LendingShare
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.slots.ledger import (
    Grant,
    Loan,
)
from egretshed.slots.owned_replica import OwnedReplicaState
from egretshed.slots.records import BorrowerId

# Parts of the loan duration. An owner that became one after the earlier one stopped
# lends a loan duration later at the earliest, so offer and answer together, with a tick
# of the lender, must take less.
OFFER_PART = 0.5
ANSWER_PART = 0.25
INHERITED_ID = 0


class Handover:
    """Both sides; `lender` has the states."""

    def __init__(self, env: Environment, peers: PeerNetwork, lender):
        self.env = env
        self.peers = peers
        self.lender = lender
        self._asking: dict[str, asyncio.Task] = {}
        peers.handle(HandoverOffer, self._on_offer)
        peers.handle(HandoverRequest, self._on_request)

    # The earlier owner.

    def is_open(self, state: OwnedReplicaState) -> bool:
        """Return whether the ledger may be handed over now."""
        if state.lost is None:
            return False
        limit_s = self.env.settings.slots.loan_duration_s * OFFER_PART
        return self.env.clock.monotonic_s() - state.lost.at_s <= limit_s

    def offer_all(self, states: dict[str, OwnedReplicaState]) -> None:
        """Offer each ledger that nobody has taken to the owner as seen here."""
        by_owner: dict[str, list[str]] = {}
        for replica_id, state in states.items():
            if not self.is_open(state) or state.lost.taker is not None:
                continue
            owner = self.lender.owner_of(replica_id)
            if owner not in (None, self.env.identity.node_id):
                by_owner.setdefault(owner, []).append(replica_id)
        for owner, replica_ids in by_owner.items():
            self.peers.send(owner, HandoverOffer(replica_ids))

    async def _on_request(
        self, sender: Sender, message: HandoverRequest
    ) -> HandoverReply:
        ledgers = [self._hand(sender, each) for each in message.replica_ids]
        return HandoverReply([ledger for ledger in ledgers if ledger is not None])

    def _hand(self, sender: Sender, replica_id: str) -> HandedLedger | None:
        """Give up the replica for good in favour of the process that asks."""
        state = self.lender.state_if_lost(replica_id)
        if state is None or not self.is_open(state):
            return None
        if self.lender.owner_of(replica_id) != sender.node_id:
            return None
        taker = BorrowerId(sender.node_id, sender.incarnation)
        if state.lost.taker not in (None, taker):
            return None
        state.lost = state.lost._replace(taker=taker)
        return self._ledger(state)

    def _ledger(self, state: OwnedReplicaState) -> HandedLedger:
        now_s = self.env.clock.monotonic_s()
        loans = [
            _handed_loan(borrower, loan, now_s)
            for borrower, loan in state.ledger.loans.items()
        ]
        share = state.lost.share
        return HandedLedger(
            replica_id=state.ledger.replica_id,
            loans=loans,
            warmth=state.warmth.handed(now_s),
            foreign_calls=state.lost.foreign,
            foreign_for_ms=_ms(state.lost.foreign_until_s - now_s),
            reachable=share.reachable,
            listed=share.listed,
            rounds_up=share.rounds_up,
        )

    # The successor.

    async def _on_offer(self, sender: Sender, message: HandoverOffer) -> None:
        if sender.node_id in self._asking:
            return
        task = asyncio.create_task(self._ask(sender.node_id, message.replica_ids))
        self._asking[sender.node_id] = task
        task.add_done_callback(lambda _: self._asking.pop(sender.node_id, None))

    async def _ask(self, node_id: str, replica_ids: list[str]) -> None:
        asked_s = self.env.clock.monotonic_s()
        waiting = {}
        for replica_id in replica_ids:
            state = self.lender.state_if_owner(replica_id)
            if state is not None and asked_s < state.window.resumes_s:
                waiting[replica_id] = state.window.resumes_s
        if not waiting:
            return
        try:
            reply = await self.peers.call(node_id, HandoverRequest(list(waiting)))
        except EgretshedError:
            return  # The take-over wait goes on.
        limit_s = self.env.settings.slots.loan_duration_s * ANSWER_PART
        if self.env.clock.monotonic_s() - asked_s > limit_s:
            return
        for ledger in reply.ledgers:
            self._take(node_id, ledger, waiting.get(ledger.replica_id))

    def _take(self, node_id: str, ledger: HandedLedger, resumes_s: float | None):
        state = self.lender.state_if_owner(ledger.replica_id)
        now_s = self.env.clock.monotonic_s()
        # Another time to resume shows that lending was interrupted meanwhile.
        if state is None or state.window.resumes_s != resumes_s or now_s >= resumes_s:
            return
        for loan in ledger.loans:
            state.ledger.inherit(
                BorrowerId(loan.node_id, loan.incarnation),
                Grant(
                    INHERITED_ID,
                    loan.slots,
                    now_s + loan.expires_in_ms / 1000,
                    now_s + loan.ends_in_ms / 1000,
                ),
                loan.running_calls,
                now_s + loan.running_for_ms / 1000,
                loan.sequence,
            )
        state.warmth.continue_from(ledger.warmth, now_s)
        share = LendingShare(ledger.reachable, ledger.listed, ledger.rounds_up)
        foreign_for_s = ledger.foreign_for_ms / 1000
        state.continue_from(ledger.foreign_calls, foreign_for_s, share, now_s)
        self.env.metrics.counter(
            "slots_handovers_total", "Ledgers taken over from an earlier owner"
        ).inc()
        log_event(
            self.env.logger,
            "ledger_taken_over",
            replica_id=ledger.replica_id,
            from_node=node_id,
        )


def _handed_loan(borrower: BorrowerId, loan: Loan, now_s: float) -> HandedLoan:
    committed = loan.committed(now_s)
    expires_s, ends_s = loan.latest_end_s()
    return HandedLoan(
        node_id=borrower.node_id,
        incarnation=borrower.incarnation,
        slots=committed,
        expires_in_ms=_ms(expires_s - now_s),
        ends_in_ms=_ms(max(ends_s, loan.running_until_s) - now_s),
        running_calls=loan.running,
        running_for_ms=_ms(loan.running_until_s - now_s),
        sequence=loan.sequence,
    )


def _ms(seconds: float) -> int:
    return math.ceil(seconds * 1000) if seconds > 0 else 0
