"""Handover of loan ledgers from the earlier owner of a replica to its successor.

Without the ledger the successor lends nothing until all loans of the earlier owner have
ended. The earlier owner offers its ledgers and the successor requests them, so that it
measures the age of the reply by its own clock. Late offers, late replies and replies
after a pause of either node are not used, since another owner may have lent in between.
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

# Limits as shares of the loan duration: for the age of the loss of ownership, and for
# the reply time of a request. A node that became the owner after the earlier one had
# stopped lends after one loan duration at the earliest, so both limits and a refresh
# period of the lender together must be shorter than that.
OFFER_LIMIT_SHARE = 0.5
REPLY_LIMIT_SHARE = 0.25
INHERITED_LOAN_ID = 0


class Handover:
    """Both sides of the handover, on the states of `lender`."""

    def __init__(self, env: Environment, peers: PeerNetwork, lender):
        self.env = env
        self.peers = peers
        self.lender = lender
        self._requests: dict[str, asyncio.Task] = {}
        peers.handle(HandoverOffer, self._on_offer)
        peers.handle(HandoverRequest, self._on_request)

    # Side of the earlier owner.

    def may_hand_over(self, state: OwnedReplicaState) -> bool:
        """Return whether the ledger is recent enough to be handed over."""
        if state.lost is None:
            return False
        limit_s = self.env.settings.slots.loan_duration_s * OFFER_LIMIT_SHARE
        return self.env.clock.monotonic_s() - state.lost.lost_s <= limit_s

    def offer_all(self, states: dict[str, OwnedReplicaState]) -> None:
        """Offer each ledger that has no successor yet to the present owner."""
        by_owner: dict[str, list[str]] = {}
        for replica_id, state in states.items():
            if not self.may_hand_over(state) or state.lost.successor is not None:
                continue
            owner = self.lender.owner_of(replica_id)
            if owner not in (None, self.env.identity.node_id):
                by_owner.setdefault(owner, []).append(replica_id)
        for owner, replica_ids in by_owner.items():
            self.peers.send(owner, HandoverOffer(replica_ids))

    async def _on_request(
        self, sender: Sender, message: HandoverRequest
    ) -> HandoverReply:
        ledgers = [self._hand_over(sender, id_) for id_ in message.replica_ids]
        return HandoverReply([ledger for ledger in ledgers if ledger is not None])

    def _hand_over(self, sender: Sender, replica_id: str) -> HandedLedger | None:
        """Return the ledger if the sender is the owner, else None.

        The first process that gets the ledger is recorded as the successor; no other
        process can get it afterwards.
        """
        state = self.lender.state_if_lost(replica_id)
        if state is None or not self.may_hand_over(state):
            return None
        if self.lender.owner_of(replica_id) != sender.node_id:
            return None
        successor = BorrowerId(sender.node_id, sender.incarnation)
        if state.lost.successor not in (None, successor):
            return None
        state.lost = state.lost._replace(successor=successor)
        return self._build_ledger(state)

    def _build_ledger(self, state: OwnedReplicaState) -> HandedLedger:
        now_s = self.env.clock.monotonic_s()
        loans = [
            _handed_loan(borrower, loan, now_s)
            for borrower, loan in state.ledger.loans.items()
        ]
        share = state.lost.share
        return HandedLedger(
            replica_id=state.ledger.replica_id,
            loans=loans,
            warmth=state.warmth.to_handed(now_s),
            foreign_calls=state.lost.foreign_calls,
            foreign_for_ms=_to_ms(state.lost.foreign_calls_until_s - now_s),
            reachable=share.reachable,
            listed=share.listed,
            rounds_up=share.rounds_up,
        )

    # Side of the successor.

    async def _on_offer(self, sender: Sender, message: HandoverOffer) -> None:
        if sender.node_id in self._requests:
            return
        task = asyncio.create_task(
            self._request_ledgers(sender.node_id, message.replica_ids)
        )
        self._requests[sender.node_id] = task
        task.add_done_callback(lambda _: self._requests.pop(sender.node_id, None))

    async def _request_ledgers(self, node_id: str, replica_ids: list[str]) -> None:
        requested_s = self.env.clock.monotonic_s()
        resume_times = {}
        for replica_id in replica_ids:
            state = self.lender.state_if_owner(replica_id)
            if state is not None and requested_s < state.share_window.lending_resumes_s:
                resume_times[replica_id] = state.share_window.lending_resumes_s
        if not resume_times:
            return
        try:
            reply = await self.peers.call(node_id, HandoverRequest(list(resume_times)))
        except EgretshedError:
            return  # Lending starts after the take-over wait.
        limit_s = self.env.settings.slots.loan_duration_s * REPLY_LIMIT_SHARE
        if self.env.clock.monotonic_s() - requested_s > limit_s:
            return
        for ledger in reply.ledgers:
            self._take_over(node_id, ledger, resume_times.get(ledger.replica_id))

    def _take_over(
        self, node_id: str, ledger: HandedLedger, lending_resumes_s: float | None
    ):
        state = self.lender.state_if_owner(ledger.replica_id)
        now_s = self.env.clock.monotonic_s()
        # A changed time shows that lending was interrupted since the request.
        if (
            state is None
            or state.share_window.lending_resumes_s != lending_resumes_s
            or now_s >= lending_resumes_s
        ):
            return
        for loan in ledger.loans:
            state.ledger.inherit(
                BorrowerId(loan.node_id, loan.incarnation),
                Grant(
                    INHERITED_LOAN_ID,
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
        foreign_calls_for_s = ledger.foreign_for_ms / 1000
        state.continue_from(ledger.foreign_calls, foreign_calls_for_s, share, now_s)
        self.env.metrics.counter(
            "slots_handovers_total", "Ledgers taken over from earlier owners"
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
        expires_in_ms=_to_ms(expires_s - now_s),
        ends_in_ms=_to_ms(max(ends_s, loan.running_until_s) - now_s),
        running_calls=loan.running,
        running_for_ms=_to_ms(loan.running_until_s - now_s),
        sequence=loan.sequence,
    )


def _to_ms(seconds: float) -> int:
    return math.ceil(seconds * 1000) if seconds > 0 else 0
