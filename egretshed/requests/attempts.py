"""Makes one attempt of a stage: choose a replica, claim, call, record the result."""

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
    SlotWaitTimes,
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
    CallTokenLatency,
    PoolTokenLatencies,
    await_unless_too_slow,
)
from egretshed.retries.decision import (
    Retry,
    may_have_run,
)
from egretshed.routing.records import (
    RoutingDecision,
    StageCall,
)

REFUSAL_RETRY_AFTER_S = (0.2, 1.0)
# Quantile of a pool's call times that is taken as the minimum time of a call.
FAST_CALL_QUANTILE = 0.1


class Attempts:
    """Makes the stage attempts of all requests of this node."""

    def __init__(self, env: Environment, services: RunnerServices):
        self.env = env
        self.services = services
        self.abandoned = AbandonedCalls(env.clock, services.router, services.backends)
        self.token_latencies = PoolTokenLatencies()
        self.slot_wait_times = SlotWaitTimes()
        self._numbers = itertools.count(1)

    async def choose_replica(
        self,
        run: Run,
        stage: Stage,
        state: PipelineState,
        share_s: float,
        exclusions: Retry,
    ) -> RoutingDecision:
        """Return a decision that holds a slot, waiting for one while that is useful.

        Raises `NotRun`, or `RequestFailed` if the request was already sent to a backend
        server.
        """
        remaining_s = max(run.deadline_at_s - self.env.clock.monotonic_s(), 0.0)
        call = StageCall(
            request_id=run.submission.request_id,
            attempt_id=self._next_attempt_id(),
            customer_id=run.submission.customer_id,
            stage=stage.name,
            pool=stage.pool,
            remaining_s=remaining_s,
            prefix=cache_prefix(state),
            excluded_replicas=exclusions.excluded_replicas,
            excluded_domains=exclusions.excluded_domains,
            priority=run.submission.priority,
        )
        # With a slot that becomes free later, the call would miss the deadline.
        min_call_s = self._min_call_s(stage, state)
        wait_s = max(0.0, remaining_s - min_call_s)
        requested_at_s = self.env.clock.monotonic_s()
        try:
            decision = await self.services.router.choose_within(call, wait_s)
            waited_s = self.env.clock.monotonic_s() - requested_at_s
            self.slot_wait_times.observe(stage.pool, waited_s)
            return decision
        except NoReplicaAvailable as error:
            error_type = RequestFailed if run.stream.sent_to_backend else NotRun
            after_s = error.fields.get("lends_after_s", 0.0)
            raise error_type(
                f"no replica of {stage.pool} is available",
                reason="no_replica",
                stage=stage.name,
                retry_after_s=after_s + self.env.random.uniform(*REFUSAL_RETRY_AFTER_S),
            ) from error

    def _min_call_s(self, stage: Stage, state: PipelineState) -> float:
        """Return the minimum time that the call is expected to take.

        Computed from the number of tokens where their latency is known: the kinds of a
        pool differ in tokens by a factor of 8, so the times of the pool's other calls
        are no estimate for a long generation.
        """
        times = self.services.stage_times
        generation_s = self.token_latencies.generation_s(stage.pool, state.max_tokens())
        if not generation_s:
            return times.estimate_s(stage.pool, FAST_CALL_QUANTILE)
        return (
            times.estimate_first_token_s(stage.pool, FAST_CALL_QUANTILE) + generation_s
        )

    async def attempt(
        self, run: Run, stage: Stage, state, handler, decision: RoutingDecision
    ) -> BackendResult:
        router = self.services.router
        try:
            await self._claim(run)
            result = await self._call(run, stage, state, handler, decision)
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
        """Claim a non-repeatable request before its first call."""
        submission = run.submission
        if submission.kind.repeatable or run.claim is not None:
            return
        run.claim = await self.services.claims.claim(
            submission.customer_id, submission.request_id
        )
        # The claim proves that no earlier submission has made a call: it would have
        # claimed the id first.
        run.stream.earlier_may_have_run = False

    async def _call(
        self, run: Run, stage: Stage, state, handler, decision: RoutingDecision
    ) -> BackendResult:
        configuration = self.services.configuration.current
        pool = configuration.pools[stage.pool]
        attempt_id = decision.call.attempt_id
        call = BackendCall(
            attempt_id=attempt_id,
            request_id=run.submission.request_id,
            customer_id=run.submission.customer_id,
            stage=stage.name,
            payload=handler.payload(state, stage),
            priority=run.submission.priority,
            remaining_s=run.deadline_at_s - self.env.clock.monotonic_s(),
            progress_limit_s=pool.progress_limit_s,
            model=pool.model,
        )
        if run.stream.has_tokens:
            run.stream.reset()
        run.attempt_id = attempt_id
        run.stream.sent_to_backend = True
        backend = self.services.backends.get(decision.replica.replica_id)

        latency = CallTokenLatency(
            call.payload.get("max_tokens", 0),
            run.deadline_at_s,
            self.token_latencies.token_s(stage.pool),
        )

        def on_tokens(event: TokenEvent) -> None:
            latency.record(len(event.tokens), self.env.clock.monotonic_s())
            self._on_tokens(run, attempt_id, event)

        def could_complete_elsewhere() -> bool:
            return self._could_complete_elsewhere(run, stage, latency)

        work = asyncio.ensure_future(backend.call(call, on_tokens))
        try:
            result = await await_unless_too_slow(
                self.env.clock, work, latency, could_complete_elsewhere
            )
        finally:
            # Abandoned calls count as well: leaving out the slowest ones would bias the
            # average.
            self.token_latencies.observe(stage.pool, *latency.span())
        require(
            self.env,
            result.attempt_id == run.attempt_id,
            "P1_result_of_this_attempt",
            request_id=run.submission.request_id,
        )
        return result

    def _could_complete_elsewhere(
        self, run: Run, stage: Stage, latency: CallTokenLatency
    ) -> bool:
        """Whether a server of average latency could still complete the call in time."""
        submission = run.submission
        budgets = self.services.budgets
        if not submission.kind.repeatable:
            return False
        if not budgets.can_retry(submission.customer_id, stage.name):
            return False
        times = self.services.stage_times
        expected_s = times.estimate_first_token_s(stage.pool)
        expected_s += latency.expected_tokens * latency.average_token_s
        return self.env.clock.monotonic_s() + expected_s <= run.deadline_at_s

    def _on_tokens(self, run: Run, attempt_id: str, event: TokenEvent) -> None:
        """Append tokens of the current attempt; drop those of abandoned attempts."""
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
