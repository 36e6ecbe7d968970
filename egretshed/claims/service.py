"""At-most-once claims on non-repeatable requests, and their stored outcomes."""

import asyncio
import uuid
from collections.abc import Callable
from typing import Any

import msgspec

from egretshed.claims.claim_writer import (
    ClaimWriter,
    PendingClaim,
)
from egretshed.claims.issued_ids import (
    IssuedId,
    IssuedIds,
)
from egretshed.claims.outcome_reader import OutcomeReader
from egretshed.claims.outcome_writer import OutcomeWriter
from egretshed.claims.records import (
    Claim,
    StoredOutcome,
    claim_key,
)
from egretshed.claims.tracked_claims import (
    StoredOutcomeCache,
    TrackedClaim,
    TrackedClaimState,
)
from egretshed.environment import Environment
from egretshed.errors import (
    AlreadyClaimed,
    ClaimsUnavailable,
    EarlierSubmissionMayHaveRun,
    NotRun,
    OutcomeUnknown,
    PlatformUnavailable,
)
from egretshed.invariants import require
from egretshed.platform.interface import (
    ABSENT_VERSION,
    Platform,
    Row,
)

RETRY_PERIOD_S = 0.5
RETRY_AFTER_S = 2.0
# How long an unused claim of this process is kept for another submission of its id.
MAX_IDLE_S = 10.0
# Undecided claims take up memory until the table answers; above this limit new claims
# are refused.
MAX_UNDECIDED_CLAIMS = 10_000
FLUSH_PERIOD_S = 0.05


class ClaimService:
    """Claims and outcomes of one process; `run` must be running to decide claims.

    `is_alive(node_id, incarnation)` tells whether another process is still running;
    without it every other process counts as ended.
    """

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        is_alive: Callable[[str, int], bool] | None = None,
    ):
        self._env = env
        self._is_other_process_alive = is_alive
        self._issued_ids = IssuedIds(env)
        self._tracked: dict[str, TrackedClaim] = {}
        self._pending: dict[str, PendingClaim] = {}
        self._stored_outcomes = StoredOutcomeCache()
        self._reader = OutcomeReader(platform, self._is_alive)
        self._claim_writer = ClaimWriter(
            env, platform, self._on_acquired, self._on_taken, self._on_undecided
        )
        self._outcome_writer = OutcomeWriter(
            env, platform, self._on_stored, self._on_discarded
        )

    async def run(self) -> None:
        """Write claims and outcomes until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._claim_writer.run())
            tasks.create_task(self._outcome_writer.run())
            tasks.create_task(self._maintain_claims())

    async def flush(self, limit_s: float) -> bool:
        """Wait until all outcomes are stored; return False after `limit_s`."""
        deadline_at_s = self._env.clock.monotonic_s() + limit_s
        while not self._outcome_writer.is_empty:
            if self._env.clock.monotonic_s() >= deadline_at_s:
                return False
            await self._env.clock.sleep(FLUSH_PERIOD_S)
        return True

    def issue_ids(self, customer_id: str, count: int) -> list[str]:
        """Return request ids that only this process can run, without a claim row."""
        return self._issued_ids.issue(customer_id, count)

    async def claim(self, customer_id: str, request_id: str) -> Claim:
        """Return a claim to run the request; at most one caller ever gets it.

        Raises `AlreadyClaimed` (with the outcome, if known), `ClaimsUnavailable` (this
        submission does not run), `EarlierSubmissionMayHaveRun` (nor does it, but the id
        was claimed before), and for issued ids `InvalidRequest` or `OutcomeUnknown`
        (field `node_id`: the node to submit to, unless it has ended).
        """
        issued = self._issued_ids.parse(customer_id, request_id)
        if issued is not None:
            return await self._claim_issued(customer_id, request_id, issued)
        key = claim_key(customer_id, request_id)
        while (pending := self._pending.get(key)) is not None:
            if self._tracked[key].state is TrackedClaimState.BLOCKED:
                raise _claims_unavailable("claim_undecided")
            # Another submission's claim is being written; its result applies here too.
            await asyncio.wait({pending.decided})
        if key in self._tracked:
            return self._grant(self._tracked[key])
        if (stored := self._stored_outcomes.get(key)) is not None:
            raise _already_claimed(_done_outcome(*stored))
        return await self._claim_in_table(self._new_claim(customer_id, request_id))

    async def store_outcome(self, claim: Claim, outcome: dict[str, Any]) -> None:
        """Queue the outcome for the table; writes are retried through outages.

        `outcome` returns it immediately. Raises `InvariantViolated` for a second
        outcome of a claim.
        """
        tracked = self._tracked.get(claim.key)
        is_running = (
            tracked is not None
            and tracked.claim.token == claim.token
            and tracked.state is TrackedClaimState.RUNNING
        )
        require(self._env, is_running, "P6_one_outcome", key=claim.key)
        tracked.body = msgspec.json.encode(outcome)
        tracked.state = TrackedClaimState.DONE
        self._outcome_writer.add(tracked)

    async def outcome(self, customer_id: str, request_id: str) -> StoredOutcome | None:
        """Return the state of a request, or None if it has not been claimed.

        Raises `ClaimsUnavailable` if the table is needed and cannot be reached, or if
        the claim is undecided.
        """
        key = claim_key(customer_id, request_id)
        if (tracked := self._tracked.get(key)) is not None:
            return self._tracked_outcome(tracked)
        if (stored := self._stored_outcomes.get(key)) is not None:
            return _done_outcome(*stored)
        issued = self._issued_ids.parse(customer_id, request_id)
        if (
            issued
            and self._issued_ids.is_local(issued)
            and not self._issued_ids.is_used(issued)
        ):
            return None
        read = await self._read(key)
        return read if read or issued is None else self._issued_outcome(issued)

    def _require_outcome_capacity(self) -> None:
        """Raise `ClaimsUnavailable` if the outcome of a new run could not be kept."""
        if self._outcome_writer.is_full:
            raise _claims_unavailable("outcome_backlog")

    async def _claim_in_table(self, claim: Claim) -> Claim:
        self._require_outcome_capacity()
        if len(self._pending) >= MAX_UNDECIDED_CLAIMS:
            raise _claims_unavailable("too_many_undecided")
        tracked = TrackedClaim(claim, TrackedClaimState.WRITING, ABSENT_VERSION)
        pending = PendingClaim(tracked)
        self._tracked[claim.key] = tracked
        self._pending[claim.key] = pending
        self._claim_writer.enqueue(pending)
        await asyncio.wait({pending.decided})
        if pending.decided.exception() is not None:
            raise _claims_unavailable("table_unavailable")
        row = pending.decided.result()
        if row is None:
            return self._grant(tracked)
        try:
            stored_outcome = await self._reader.resolve(row)
        except PlatformUnavailable as error:
            raise _may_have_run("outcome_unreadable") from error
        raise _already_claimed(stored_outcome)

    def _grant(self, tracked: TrackedClaim) -> Claim:
        """Hand out an idle claim; its change of state ensures that it happens once."""
        if tracked.state is not TrackedClaimState.IDLE:
            raise _already_claimed(self._tracked_outcome(tracked))
        self._require_outcome_capacity()
        tracked.state = TrackedClaimState.RUNNING
        return tracked.claim

    async def _claim_issued(
        self, customer_id: str, request_id: str, issued: IssuedId
    ) -> Claim:
        is_local = self._issued_ids.is_local(issued)
        if is_local and not self._issued_ids.is_used(issued):
            self._require_outcome_capacity()
        if is_local and self._issued_ids.mark_used(issued):
            claim = self._new_claim(customer_id, request_id)._replace(issued=True)
            self._tracked[claim.key] = TrackedClaim(
                claim, TrackedClaimState.RUNNING, ABSENT_VERSION
            )
            return claim
        if is_local:
            raise _already_claimed(await self._used_id_outcome(customer_id, request_id))
        if self._is_alive(issued.node_id, issued.incarnation):
            # Not `NotRun`, since the issuing node may have run the request already.
            raise OutcomeUnknown(
                "only the node that issued the request id can run it or report on it",
                reason="issued_by_other_node",
                node_id=issued.node_id,
            )
        await self._refuse_issued_by_ended_node(customer_id, request_id, issued)

    async def _used_id_outcome(
        self, customer_id: str, request_id: str
    ) -> StoredOutcome:
        try:
            return await self.outcome(customer_id, request_id)
        except ClaimsUnavailable as error:
            raise _may_have_run("outcome_unreadable") from error

    async def _refuse_issued_by_ended_node(
        self, customer_id: str, request_id: str, issued: IssuedId
    ) -> None:
        """Raise with the outcome that the ended node stored, else `OutcomeUnknown`."""
        try:
            stored_outcome = await self._read(claim_key(customer_id, request_id))
        except ClaimsUnavailable:
            stored_outcome = None
        if stored_outcome is not None:
            raise _already_claimed(stored_outcome)
        raise OutcomeUnknown(
            "the node that issued the request id has ended", node_id=issued.node_id
        )

    def _tracked_outcome(self, tracked: TrackedClaim) -> StoredOutcome | None:
        if tracked.state is TrackedClaimState.DONE:
            return _done_outcome(tracked.claim, tracked.body)
        if tracked.state is TrackedClaimState.RUNNING:
            return _without_outcome("running", tracked.claim)
        if tracked.state is TrackedClaimState.IDLE:
            return None
        raise _claims_unavailable("claim_undecided")

    def _issued_outcome(self, issued: IssuedId) -> StoredOutcome:
        """Return the state of an issued id that has no row and may have been used."""
        is_remote = not self._issued_ids.is_local(issued)
        if is_remote and self._is_alive(issued.node_id, issued.incarnation):
            return _without_outcome("issued_elsewhere", issued)
        return _without_outcome("unknown", issued)

    async def _read(self, key: str) -> StoredOutcome | None:
        try:
            return await self._reader.read(key)
        except PlatformUnavailable as error:
            raise _claims_unavailable("table_unavailable") from error

    def _new_claim(self, customer_id: str, request_id: str) -> Claim:
        identity = self._env.identity
        return Claim(
            customer_id,
            request_id,
            identity.node_id,
            identity.incarnation,
            uuid.uuid4().hex,
        )

    def _is_alive(self, node_id: str, incarnation: int) -> bool:
        identity = self._env.identity
        if node_id == identity.node_id:
            return incarnation == identity.incarnation
        if self._is_other_process_alive is None:
            return False
        return self._is_other_process_alive(node_id, incarnation)

    def _on_acquired(self, pending: PendingClaim, version: int) -> None:
        tracked = pending.tracked
        tracked.version = version
        tracked.state = TrackedClaimState.IDLE
        tracked.idle_since_s = self._env.clock.monotonic_s()
        del self._pending[tracked.claim.key]
        if not pending.decided.done():
            pending.decided.set_result(None)

    def _on_taken(self, pending: PendingClaim, row: Row) -> None:
        del self._pending[pending.tracked.claim.key]
        del self._tracked[pending.tracked.claim.key]
        if not pending.decided.done():
            pending.decided.set_result(row)

    def _on_undecided(self, pending: PendingClaim) -> None:
        tracked = pending.tracked
        if pending.may_have_been_written:
            tracked.state = TrackedClaimState.BLOCKED
        else:
            del self._pending[tracked.claim.key]
            del self._tracked[tracked.claim.key]
        if not pending.decided.done():
            pending.decided.set_exception(PlatformUnavailable())

    def _on_stored(self, tracked: TrackedClaim) -> None:
        del self._tracked[tracked.claim.key]
        self._stored_outcomes.add(tracked.claim, tracked.body)

    def _on_discarded(self, tracked: TrackedClaim) -> None:
        del self._tracked[tracked.claim.key]

    async def _maintain_claims(self) -> None:
        """Retry undecided claims and close idle ones until cancelled."""
        while True:
            await self._env.clock.sleep(RETRY_PERIOD_S)
            blocked = [
                pending
                for pending in self._pending.values()
                if pending.tracked.state is TrackedClaimState.BLOCKED
            ]
            max_claims = self._env.settings.claims.group_max_claims
            for start in range(0, len(blocked), max_claims):
                await self._claim_writer.decide(blocked[start : start + max_claims])
            await self._close_idle_claims()

    async def _close_idle_claims(self) -> None:
        """Store ``not_run`` as the outcome of claims that stayed idle too long.

        Otherwise other nodes would report the request as running until this process
        ends.
        """
        idle_before_s = self._env.clock.monotonic_s() - MAX_IDLE_S
        for tracked in list(self._tracked.values()):
            if (
                tracked.state is TrackedClaimState.IDLE
                and tracked.idle_since_s <= idle_before_s
            ):
                tracked.state = TrackedClaimState.RUNNING
                failure = NotRun(reason="claim_unused", retry_after_s=RETRY_AFTER_S)
                await self.store_outcome(tracked.claim, failure.to_body())


def _done_outcome(claim: Claim, body: bytes) -> StoredOutcome:
    outcome = msgspec.json.decode(body)
    return StoredOutcome("done", outcome, claim.node_id, claim.incarnation)


def _without_outcome(state: str, owner: Claim | IssuedId) -> StoredOutcome:
    return StoredOutcome(state, None, owner.node_id, owner.incarnation)


def _already_claimed(stored: StoredOutcome) -> AlreadyClaimed:
    return AlreadyClaimed(
        state=stored.state,
        outcome=stored.outcome,
        node_id=stored.node_id,
    )


def _claims_unavailable(reason: str) -> ClaimsUnavailable:
    return ClaimsUnavailable(
        "the claim could not be decided; this submission does not run",
        reason=reason,
        retry_after_s=RETRY_AFTER_S,
    )


def _may_have_run(reason: str) -> EarlierSubmissionMayHaveRun:
    return EarlierSubmissionMayHaveRun(
        "the request id was claimed before, and its outcome cannot be read",
        reason=reason,
        retry_after_s=RETRY_AFTER_S,
    )
