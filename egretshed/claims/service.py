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
    StoredBodies,
    TrackedClaim,
    TrackedClaimState,
)
from egretshed.environment import Environment
from egretshed.errors import (
    AlreadyClaimed,
    ClaimsUnavailable,
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
# How long an unused claim of ours waits for its id to be submitted here again.
IDLE_LIMIT_S = 10.0
# Undecided ids cost memory until the table answers; beyond this no claim is tried.
MAX_UNDECIDED = 10_000
FLUSH_PERIOD_S = 0.05


class ClaimService:
    """Claims of one process; `run` must be running for claims to be decided.

    `is_alive(node_id, incarnation)` says whether another process still runs; without
    it every other process counts as ended.
    """

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        is_alive: Callable[[str, int], bool] | None = None,
    ):
        self._env = env
        self._is_alive_elsewhere = is_alive
        self._issued = IssuedIds(env)
        self._tracked: dict[str, TrackedClaim] = {}
        self._pending: dict[str, PendingClaim] = {}
        self._stored = StoredBodies()
        self._reader = OutcomeReader(platform, self._is_alive)
        self._claims = ClaimWriter(
            env, platform, self._on_ours, self._on_other, self._on_undecided
        )
        self._outcomes = OutcomeWriter(env, platform, self._on_stored)

    async def run(self) -> None:
        """Write claims and outcomes until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._claims.run())
            tasks.create_task(self._outcomes.run())
            tasks.create_task(self._decide_again())

    async def flush(self, limit_s: float) -> bool:
        """Wait for outcomes to be stored; return False if some are not in time."""
        ends_s = self._env.clock.monotonic_s() + limit_s
        while not self._outcomes.is_empty:
            if self._env.clock.monotonic_s() >= ends_s:
                return False
            await self._env.clock.sleep(FLUSH_PERIOD_S)
        return True

    def issue_ids(self, customer_id: str, count: int) -> list[str]:
        """Return request ids that only this process runs, without the table."""
        return self._issued.issue(customer_id, count)

    async def claim(self, customer_id: str, request_id: str) -> Claim:
        """Return the right to run the request; each right is given out once.

        Raises `AlreadyClaimed` (with the outcome, if known), `ClaimsUnavailable` (this
        submission does not run), and for issued ids `InvalidRequest` or
        `OutcomeUnknown` (field `node_id`: the node to submit to, unless it has ended).
        """
        if self._outcomes.is_full:
            raise _unavailable("outcome_backlog")
        issued = self._issued.read(customer_id, request_id)
        if issued is not None:
            return await self._claim_issued(customer_id, request_id, issued)
        key = claim_key(customer_id, request_id)
        while (pending := self._pending.get(key)) is not None:
            if self._tracked[key].state is TrackedClaimState.BLOCKED:
                raise _unavailable("claim_undecided")
            # The first submission's claim is being written; its result decides.
            await asyncio.wait({pending.decided})
        if key in self._tracked:
            return self._hand_out(self._tracked[key])
        if (stored := self._stored.get(key)) is not None:
            raise _already(_done(*stored))
        return await self._claim_in_table(self._new_claim(customer_id, request_id))

    async def store_outcome(self, claim: Claim, outcome: dict[str, Any]) -> None:
        """Keep the outcome and queue it for the table, through outages.

        It is visible to `outcome` at once. A second outcome of a claim is refused with
        `InvariantViolated`.
        """
        tracked = self._tracked.get(claim.key)
        may_store = (
            tracked is not None
            and tracked.claim.token == claim.token
            and tracked.state is TrackedClaimState.RUNNING
        )
        require(self._env, may_store, "P6_one_outcome", key=claim.key)
        tracked.body = msgspec.json.encode(outcome)
        tracked.state = TrackedClaimState.DONE
        self._outcomes.add(tracked)

    async def outcome(self, customer_id: str, request_id: str) -> StoredOutcome | None:
        """Return what is known of a request, or None if it was never claimed.

        Raises `ClaimsUnavailable` if only the unreachable table could tell.
        """
        key = claim_key(customer_id, request_id)
        if (tracked := self._tracked.get(key)) is not None:
            return self._tracked_outcome(tracked)
        if (stored := self._stored.get(key)) is not None:
            return _done(*stored)
        issued = self._issued.read(customer_id, request_id)
        if issued and self._issued.is_ours(issued) and not self._issued.is_used(issued):
            return None
        found = await self._read(key)
        return found if found or issued is None else self._outcome_issued(issued)

    async def _claim_in_table(self, claim: Claim) -> Claim:
        if len(self._pending) >= MAX_UNDECIDED:
            raise _unavailable("too_many_undecided")
        tracked = TrackedClaim(claim, TrackedClaimState.WRITING, ABSENT_VERSION)
        pending = PendingClaim(tracked)
        self._tracked[claim.key] = tracked
        self._pending[claim.key] = pending
        self._claims.join(pending)
        await asyncio.wait({pending.decided})
        if pending.decided.exception() is not None:
            raise _unavailable("table_unavailable")
        row = pending.decided.result()
        if row is not None:
            raise _already(await self._resolve(row))
        return self._hand_out(tracked)

    def _hand_out(self, tracked: TrackedClaim) -> Claim:
        """Give out an idle claim; the state change makes sure that it is given once."""
        if tracked.state is not TrackedClaimState.IDLE:
            raise _already(self._tracked_outcome(tracked))
        tracked.state = TrackedClaimState.RUNNING
        return tracked.claim

    async def _claim_issued(
        self, customer_id: str, request_id: str, issued: IssuedId
    ) -> Claim:
        if self._issued.is_ours(issued) and self._issued.use(issued):
            claim = self._new_claim(customer_id, request_id)._replace(issued=True)
            self._tracked[claim.key] = TrackedClaim(
                claim, TrackedClaimState.RUNNING, ABSENT_VERSION
            )
            return claim
        if self._issued.is_ours(issued):
            raise _already(await self.outcome(customer_id, request_id))
        if self._is_alive(issued.node_id, issued.incarnation):
            # Not `NotRun`: the issuing node may have run it already.
            raise OutcomeUnknown(
                "only the node that issued the request id can run it or tell",
                reason="issued_by_other_node",
                node_id=issued.node_id,
            )
        await self._refuse_orphan(customer_id, request_id, issued)

    async def _refuse_orphan(
        self, customer_id: str, request_id: str, issued: IssuedId
    ) -> None:
        """Answer for a node that has ended: its stored outcome, else unknown."""
        try:
            found = await self._read(claim_key(customer_id, request_id))
        except ClaimsUnavailable:
            found = None
        if found is not None:
            raise _already(found)
        raise OutcomeUnknown(
            "the node that issued the request id has ended", node_id=issued.node_id
        )

    def _tracked_outcome(self, tracked: TrackedClaim) -> StoredOutcome | None:
        if tracked.state is TrackedClaimState.DONE:
            return _done(tracked.claim, tracked.body)
        if tracked.state is TrackedClaimState.RUNNING:
            return _without_outcome("running", tracked.claim)
        if tracked.state is TrackedClaimState.IDLE:
            return None
        raise _unavailable("claim_undecided")

    def _outcome_issued(self, issued: IssuedId) -> StoredOutcome:
        """Return the state of a used id that has no row."""
        elsewhere = not self._issued.is_ours(issued)
        if elsewhere and self._is_alive(issued.node_id, issued.incarnation):
            return _without_outcome("issued_elsewhere", issued)
        return _without_outcome("unknown", issued)

    async def _read(self, key: str) -> StoredOutcome | None:
        try:
            return await self._reader.read(key)
        except PlatformUnavailable as error:
            raise _unavailable("table_unavailable") from error

    async def _resolve(self, row: Row) -> StoredOutcome:
        try:
            return await self._reader.resolve(row)
        except PlatformUnavailable as error:
            raise _unavailable("table_unavailable") from error

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
        if self._is_alive_elsewhere is None:
            return False
        return self._is_alive_elsewhere(node_id, incarnation)

    def _on_ours(self, pending: PendingClaim, version: int) -> None:
        tracked = pending.tracked
        tracked.version = version
        tracked.state = TrackedClaimState.IDLE
        tracked.idle_since_s = self._env.clock.monotonic_s()
        del self._pending[tracked.claim.key]
        if not pending.decided.done():
            pending.decided.set_result(None)

    def _on_other(self, pending: PendingClaim, row: Row) -> None:
        del self._pending[pending.tracked.claim.key]
        del self._tracked[pending.tracked.claim.key]
        if not pending.decided.done():
            pending.decided.set_result(row)

    def _on_undecided(self, pending: PendingClaim) -> None:
        tracked = pending.tracked
        if pending.may_be_written:
            tracked.state = TrackedClaimState.BLOCKED
        else:
            del self._pending[tracked.claim.key]
            del self._tracked[tracked.claim.key]
        if not pending.decided.done():
            pending.decided.set_exception(PlatformUnavailable())

    def _on_stored(self, tracked: TrackedClaim) -> None:
        del self._tracked[tracked.claim.key]
        self._stored.add(tracked.claim, tracked.body)

    async def _decide_again(self) -> None:
        """Retry undecided claims and close those that nobody uses."""
        while True:
            await self._env.clock.sleep(RETRY_PERIOD_S)
            blocked = [
                pending
                for pending in self._pending.values()
                if pending.tracked.state is TrackedClaimState.BLOCKED
            ]
            most = self._env.settings.claims.group_max_claims
            for start in range(0, len(blocked), most):
                await self._claims.decide(blocked[start : start + most])
            await self._close_idle()

    async def _close_idle(self) -> None:
        """Store `not_run` for claims that were never used.

        Otherwise other nodes would report the id as running as long as this node lives.
        """
        idle_before_s = self._env.clock.monotonic_s() - IDLE_LIMIT_S
        for tracked in list(self._tracked.values()):
            if (
                tracked.state is TrackedClaimState.IDLE
                and tracked.idle_since_s <= idle_before_s
            ):
                tracked.state = TrackedClaimState.RUNNING
                failure = NotRun(reason="claim_unused", retry_after_s=RETRY_AFTER_S)
                await self.store_outcome(tracked.claim, failure.to_body())


def _done(claim: Claim, body: bytes) -> StoredOutcome:
    outcome = msgspec.json.decode(body)
    return StoredOutcome("done", outcome, claim.node_id, claim.incarnation)


def _without_outcome(state: str, owner: Claim | IssuedId) -> StoredOutcome:
    return StoredOutcome(state, None, owner.node_id, owner.incarnation)


def _already(found: StoredOutcome) -> AlreadyClaimed:
    return AlreadyClaimed(
        state=found.state, outcome=found.outcome, node_id=found.node_id
    )


def _unavailable(reason: str) -> ClaimsUnavailable:
    return ClaimsUnavailable(
        "the claim could not be decided; this submission does not run",
        reason=reason,
        retry_after_s=RETRY_AFTER_S,
    )
