"""One attempt of one stage: choose a replica, claim, call, learn from the result."""

import asyncio
import itertools

from egretshed.backends.interface import (
    BackendCall,
    BackendResult,
    TokenEvent,
)
from egretshed.configuration.schema import Stage
from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    EgretshedError,
    NoReplicaAvailable,
    NotRun,
    RequestCancelled,
    RequestFailed,
)
from egretshed.invariants import require
from egretshed.requests.abandoned_calls import AbandonedCalls
from egretshed.requests.early_reservation import (
    SlotWaits,
)
from egretshed.requests.run import (
    Run,
    RunnerServices,
)
from egretshed.requests.stages import (
    PipelineState,
    cache_prefix,
)
from egretshed.requests.token_latency import (
    CallPace,
    UsualPaces,
    within_pace,
)
from egretshed.retries.decision import (
    Retry,
    may_have_run,
)
from egretshed.routing.records import (
    RoutingDecision,
    StageCall,
)

REFUSAL_RETURN_S = (0.2, 1.0)
# Quantile of a pool's calls that counts as the least time that one may take.
FASTEST_SHARE = 0.1


class Attempts:
    """Makes the attempts of all requests of this node."""

    def __init__(self, env: Environment, services: RunnerServices):
        self.env = env
        self.services = services
        self.abandoned = AbandonedCalls(env.clock, services.router, services.backends)
        self.paces = UsualPaces()
        self.slot_waits = SlotWaits()
        self._numbers = itertools.count(1)

    async def choose(
        self, run: Run, stage: Stage, state: PipelineState, share_s: float, away: Retry
    ) -> RoutingDecision:
        remaining_s = max(run.end_s - self.env.clock.monotonic_s(), 0.0)
        call = StageCall(
            request_id=run.submission.request_id,
            attempt_id=self._next_attempt_id(),
            customer_id=run.submission.customer_id,
            stage=stage.name,
            pool=stage.pool,
            remaining_s=remaining_s,
            prefix=cache_prefix(state),
            excluded_replicas=away.excluded_replicas,
            excluded_domains=away.excluded_domains,
            priority=run.submission.priority,
        )
        # A slot that comes later would be used in vain.
        fastest_s = self._least_s(stage, state)
        wait_s = max(0.0, remaining_s - fastest_s)
        asked_s = self.env.clock.monotonic_s()
        try:
            decision = await self.services.router.choose_within(call, wait_s)
            waited_s = self.env.clock.monotonic_s() - asked_s
            self.slot_waits.observe(stage.pool, waited_s)
            return decision
        except NoReplicaAvailable as error:
            kind = RequestFailed if run.stream.sent_to_backend else NotRun
            after_s = error.fields.get("lends_after_s", 0.0)
            raise kind(
                f"no replica of {stage.pool} is available",
                reason="no_replica",
                stage=stage.name,
                retry_after_s=after_s + self.env.random.uniform(*REFUSAL_RETURN_S),
            ) from error

    def _least_s(self, stage: Stage, state: PipelineState) -> float:
        """Return the least time that the call may take.

        The kinds of a pool differ in tokens by a factor of 8, so that the times of the
        pool's other calls tell little of a long generation.
        """
        times = self.services.stage_times
        tokens_s = self.paces.tokens_take_s(stage.pool, state.tokens())
        if not tokens_s:
            return times.estimate_s(stage.pool, FASTEST_SHARE)
        return times.estimate_first_token_s(stage.pool, FASTEST_SHARE) + tokens_s

    async def attempt(
        self, run: Run, stage: Stage, state, form, decision: RoutingDecision
    ) -> BackendResult:
        router = self.services.router
        try:
            await self._claim(run)
            result = await self._call(run, stage, state, form, decision)
        except EgretshedError as error:
            if isinstance(error, BackendError) and may_have_run(error):
                self.abandoned.add(decision, error)
            else:
                router.observe(decision, None, error)
            raise
        except asyncio.CancelledError:
            self.abandoned.add(decision, RequestCancelled())
            raise
        router.observe(decision, result, None)
        self.services.stage_times.observe(
            stage.pool, result.total_s, result.first_token_s
        )
        return result

    async def _claim(self, run: Run) -> None:
        """Claim a request that may not be repeated, before its first call."""
        submission = run.submission
        if submission.kind.repeatable or run.claim is not None:
            return
        run.claim = await self.services.claims.claim(
            submission.customer_id, submission.request_id
        )
        # An earlier submission would have claimed the id before its first call.
        run.stream.earlier_may_have_run = False

    async def _call(
        self, run: Run, stage: Stage, state, form, decision: RoutingDecision
    ) -> BackendResult:
        configuration = self.services.configuration.current
        pool = configuration.pools[stage.pool]
        attempt_id = decision.call.attempt_id
        call = BackendCall(
            attempt_id=attempt_id,
            request_id=run.submission.request_id,
            customer_id=run.submission.customer_id,
            stage=stage.name,
            payload=form.payload(state, stage),
            priority=run.submission.priority,
            remaining_s=run.end_s - self.env.clock.monotonic_s(),
            progress_limit_s=pool.progress_limit_s,
            model=pool.model,
        )
        if run.stream.has_tokens:
            run.stream.reset()
        run.attempt_id = attempt_id
        run.stream.sent_to_backend = True
        backend = self.services.backends.get(decision.replica.replica_id)

        pace = CallPace(
            call.payload.get("max_tokens", 0),
            run.end_s,
            self.paces.token_s(stage.pool),
        )

        def on_tokens(event: TokenEvent) -> None:
            pace.note(len(event.tokens), self.env.clock.monotonic_s())
            self._on_tokens(run, attempt_id, event)

        def could_move() -> bool:
            return self._could_move(run, stage, pace)

        work = asyncio.ensure_future(backend.call(call, on_tokens))
        try:
            result = await within_pace(self.env.clock, work, pace, could_move)
        finally:
            # Also of calls that are given up: those are the slowest ones.
            self.paces.observe(stage.pool, *pace.span())
        require(
            self.env,
            result.attempt_id == run.attempt_id,
            "P1_result_of_this_attempt",
            request_id=run.submission.request_id,
        )
        return result

    def _could_move(self, run: Run, stage: Stage, pace: CallPace) -> bool:
        """Whether another server of usual pace could complete the call in time."""
        submission = run.submission
        budgets = self.services.budgets
        if not submission.kind.repeatable:
            return False
        if not budgets.has_retry(submission.customer_id, stage.name):
            return False
        times = self.services.stage_times
        usual_s = times.estimate_first_token_s(stage.pool)
        usual_s += pace.expected_tokens * pace.usual_token_s
        return self.env.clock.monotonic_s() + usual_s <= run.end_s

    def _on_tokens(self, run: Run, attempt_id: str, event: TokenEvent) -> None:
        """Keep tokens of the current attempt; drop those of an abandoned one."""
        if run.attempt_id != attempt_id or run.stream.finished:
            self.env.metrics.counter(
                "late_tokens_total", "Tokens of abandoned attempts"
            ).inc(len(event.tokens))
            return
        run.stream.append_tokens(event.tokens)

    def _next_attempt_id(self) -> str:
        identity = self.env.identity
        number = next(self._numbers)
        return f"{identity.node_id}:{identity.incarnation}:{number}"
