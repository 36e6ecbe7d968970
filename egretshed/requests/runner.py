"""Runs one request through its stages under one deadline.

One task per request; it reads down the page: admit, then for each stage choose a
replica, claim if the request may not be repeated, call, record.
"""

import asyncio
import itertools
from typing import (
    Any,
    NamedTuple,
)

from egretshed.admission.entries import AdmissionRequest
from egretshed.admission.queue import AdmissionQueue
from egretshed.backends.directory import BackendDirectory
from egretshed.backends.interface import (
    BackendCall,
    BackendResult,
    TokenEvent,
)
from egretshed.claims.records import Claim
from egretshed.claims.service import ClaimService
from egretshed.configuration.schema import Stage
from egretshed.configuration.service import ConfigurationService
from egretshed.environment import Environment
from egretshed.errors import (
    AlreadyClaimed,
    BackendError,
    BackendSilent,
    DeadlineExceeded,
    EarlierMayHaveRun,
    EgretshedError,
    InvalidRequest,
    NoReplicaAvailable,
    NotRun,
    OutcomeUnknown,
    RequestCancelled,
    RequestFailed,
)
from egretshed.invariants import require
from egretshed.logs import log_event
from egretshed.requests.outcomes import (
    complete_outcome,
    outcome_of,
)
from egretshed.requests.stages import (
    PipelineState,
    cache_prefix,
    stage_form,
)
from egretshed.requests.stopping import CallStopper
from egretshed.requests.store import StreamStore
from egretshed.requests.stream import RequestStream
from egretshed.requests.submission import Submission
from egretshed.retries.budgets import RetryBudgets
from egretshed.retries.decision import (
    FailedAttempt,
    GiveUp,
    Retry,
    decide_retry,
    may_have_run,
)
from egretshed.retries.stage_times import (
    StageTimes,
    longest_wait_s,
)
from egretshed.routing.records import (
    RoutingDecision,
    StageCall,
)
from egretshed.routing.router import Router

STORE_EXPIRY_PERIOD_S = 1.0
# Calls that were given up end at their servers within a step; a shutdown waits for that
# before it hands back the slots.
STOP_WAIT_S = 2.0
REFUSAL_RETURN_S = (0.2, 1.0)


class RunnerServices(NamedTuple):
    """Slices that a request passes through."""

    configuration: ConfigurationService
    admission: AdmissionQueue
    router: Router
    backends: BackendDirectory
    claims: ClaimService
    budgets: RetryBudgets
    stage_times: StageTimes


class _Run:
    """State of one running request."""

    def __init__(self, submission: Submission, stream: RequestStream, end_s: float):
        self.submission = submission
        self.stream = stream
        self.end_s = end_s
        self.claim: Claim | None = None
        self.attempt_id = ""
        self.usage: dict[str, Any] = {}
        self.task: asyncio.Task | None = None


class RequestRunner:
    """Runs the requests of this node and keeps their streams."""

    def __init__(self, env: Environment, services: RunnerServices):
        self.env = env
        self.services = services
        self.store = StreamStore(env)
        self._runs: dict[str, _Run] = {}
        self._attempt_numbers = itertools.count(1)
        self._stopper = CallStopper(env, services.router, services.backends)
        self._refusal = ""

    async def run(self) -> None:
        """Expire finished streams until cancelled."""
        try:
            while True:
                await self.env.clock.sleep(STORE_EXPIRY_PERIOD_S)
                self.store.expire()
        finally:
            self._stopper.close()

    def submit(self, submission: Submission, restarted: bool = False) -> RequestStream:
        """Start the request, or join it if this node already has its id.

        `restarted` begins the stream with a `reset` item, for a caller that has part of
        an answer whose node is lost.
        """
        known = self.store.find_request(submission.customer_id, submission.request_id)
        if known is not None:
            self._check_same(known, submission)
            if not known.may_run_again:
                return known
        self._check_may_start(submission)
        stream = self.store.create(submission.customer_id, submission.request_id)
        stream.body_digest = hash(str(submission.body))
        stream.earlier_may_have_run = submission.resubmission
        if restarted:
            stream.reset()
        end_s = self.env.clock.monotonic_s() + submission.deadline_s
        run = _Run(submission, stream, end_s)
        self._runs[stream.stream_id] = run
        run.task = asyncio.create_task(self._run(run))
        return stream

    def refuse_new(self, reason: str) -> None:
        """Start no more requests; running ones go on."""
        self._refusal = reason

    def _check_may_start(self, submission: Submission) -> None:
        reason = self._refusal
        if not self.services.configuration.is_fresh():
            reason = "configuration_not_fresh"
        if not reason:
            return
        kind = EarlierMayHaveRun if submission.resubmission else NotRun
        raise kind(
            "this node starts no new requests",
            reason=reason,
            retry_after_s=round(self.env.random.uniform(*REFUSAL_RETURN_S), 3),
        )

    def cancel(self, customer_id: str, stream_id: str) -> bool:
        """Cancel a running request of this customer; False if there is none."""
        run = self._runs.get(stream_id)
        if run is None or run.submission.customer_id != customer_id:
            return False
        run.task.cancel()
        return True

    async def drain(self, limit_s: float) -> int:
        """Wait for running requests to end; return how many had to be cut."""
        tasks = [run.task for run in self._runs.values()]
        if not tasks:
            await self._stopper.finish(STOP_WAIT_S)
            return 0
        _, late = await asyncio.wait(tasks, timeout=limit_s)
        for task in late:
            task.cancel()
        if late:
            await asyncio.wait(late, timeout=1.0)
        await self._stopper.finish(STOP_WAIT_S)
        return len(late)

    def running_count(self) -> int:
        return len(self._runs)

    def _check_same(self, stream: RequestStream, submission: Submission) -> None:
        if stream.body_digest != hash(str(submission.body)):
            raise InvalidRequest(
                "request_id was used before with another body", path="$.request_id"
            )

    async def _run(self, run: _Run) -> None:
        stream = run.stream
        repeatable = run.submission.kind.repeatable
        try:
            outcome = await self._serve_within_deadline(run)
        except EgretshedError as error:
            outcome = outcome_of(self.env, stream, error, repeatable)
        except asyncio.CancelledError:
            error = RequestCancelled("cancelled by the caller", reason="cancelled")
            outcome = outcome_of(self.env, stream, error, repeatable)
        except Exception as fault:
            log_event(self.env.logger, "request_fault", error=repr(fault))
            error = RequestFailed("internal fault", reason="internal")
            outcome = outcome_of(self.env, stream, error, repeatable)
        finally:
            self._runs.pop(stream.stream_id, None)
        self._finish(run, outcome)
        if run.claim is not None:
            await self.services.claims.store_outcome(run.claim, outcome)

    def _finish(self, run: _Run, outcome: dict[str, Any]) -> None:
        stream = run.stream
        stream.finish(outcome)
        self._record(run, outcome)

    def _record(self, run: _Run, outcome: dict[str, Any]) -> None:
        metrics = self.env.metrics
        submission = run.submission
        customer = metrics.bounded_label("customer", submission.customer_id)
        metrics.counter(
            "requests_total", "Finished requests", ("kind", "customer", "outcome")
        ).labels(submission.kind_name, customer, outcome["outcome"]).inc()
        total_s = self.env.clock.monotonic_s() - run.stream.started_s
        metrics.histogram(
            "request_seconds", "Time from submission to final answer", ("kind",)
        ).labels(submission.kind_name).observe(total_s)
        log_event(
            self.env.logger,
            "request_finished",
            request_id=submission.request_id,
            customer_id=submission.customer_id,
            kind=submission.kind_name,
            outcome=outcome["outcome"],
            reason=outcome.get("reason", ""),
            total_s=round(total_s, 4),
            first_token_s=run.stream.first_token_s,
        )

    async def _serve_within_deadline(self, run: _Run) -> dict[str, Any]:
        try:
            async with asyncio.timeout(run.submission.deadline_s):
                return await self._serve(run)
        except TimeoutError as error:
            if not run.stream.may_have_run:
                raise NotRun("deadline passed", reason="deadline") from error
            if not run.submission.kind.repeatable:
                raise OutcomeUnknown(
                    "deadline passed while running", reason="deadline"
                ) from error
            raise DeadlineExceeded("deadline passed", reason="deadline") from error

    async def _serve(self, run: _Run) -> dict[str, Any]:
        submission = run.submission
        ticket = await self.services.admission.admit(
            AdmissionRequest(
                request_id=submission.request_id,
                customer_id=submission.customer_id,
                kind=submission.kind_name,
                priority=submission.priority,
                deadline_s=submission.deadline_s,
                stage_pools=tuple(stage.pool for stage in submission.stages),
            )
        )
        completed = False
        try:
            outcome = await self._run_stages(run)
            completed = True
            return outcome
        except AlreadyClaimed as claimed:
            return self._stored_outcome(run, claimed)
        finally:
            ticket.release(completed)

    def _stored_outcome(self, run: _Run, claimed: AlreadyClaimed) -> dict[str, Any]:
        stored = claimed.fields.get("outcome")
        if stored:
            return {**stored, "stored": True}
        raise OutcomeUnknown(
            "the request was claimed before and may have run", reason="claimed"
        )

    async def _run_stages(self, run: _Run) -> dict[str, Any]:
        submission = run.submission
        state = PipelineState(
            submission.customer_id,
            submission.kind_name,
            submission.kind,
            submission.body,
        )
        for index, stage in enumerate(submission.stages):
            role = self.services.configuration.current.pools[stage.pool].role
            form = stage_form(role)
            rest = [_times_key(run, later) for later in submission.stages[index:]]
            remaining_s = run.end_s - self.env.clock.monotonic_s()
            wait_s = longest_wait_s(self.services.stage_times, rest, remaining_s)
            result = await self._run_stage(run, stage, state, form, wait_s)
            state = form.merge(state, result.output)
            run.usage[stage.name] = _usage(result)
        output = state.result if state.result is not None else {}
        if run.stream.has_tokens:
            output = {"tokens": run.usage[submission.stages[-1].name]["generated"]}
        return complete_outcome(run.stream, output, run.usage)

    async def _run_stage(
        self, run: _Run, stage: Stage, state: PipelineState, form: type, wait_s: float
    ) -> BackendResult:
        """Try the stage until it completes or no further attempt is allowed.

        Each attempt waits at most `wait_s` for a slot.
        """
        self.services.budgets.note_call(run.submission.customer_id, stage.name)
        away = Retry(frozenset(), frozenset())
        may_have_run_before = False
        for attempt in itertools.count(1):
            decision = await self._choose(run, stage, state, wait_s, away)
            sent_before = run.stream.sent_to_backend
            try:
                return await self._attempt(run, stage, state, form, decision)
            except BackendError as error:
                failed = self._failed_attempt(run, stage, decision, error, attempt)
                failed = failed._replace(
                    sent_before=sent_before,
                    may_have_run_before=may_have_run_before,
                    excluded_replicas=away.excluded_replicas,
                    excluded_domains=away.excluded_domains,
                )
                away = self._retry_or_raise(failed)
                may_have_run_before |= may_have_run(error)
        raise RequestFailed("no attempt left", reason="attempts", stage=stage.name)

    def _failed_attempt(
        self, run: _Run, stage: Stage, decision: RoutingDecision, error, attempt: int
    ) -> FailedAttempt:
        return FailedAttempt(
            error=error,
            customer_id=run.submission.customer_id,
            stage=stage.name,
            replica_id=decision.replica.replica_id,
            failure_domain=decision.replica.failure_domain,
            repeatable=run.submission.kind.repeatable,
            attempts=attempt,
            # Tokens that were delivered are taken back by a reset item.
            delivered_tokens=0,
            remaining_s=run.end_s - self.env.clock.monotonic_s(),
            expected_s=self.services.stage_times.estimate_s(stage.pool),
        )

    def _retry_or_raise(self, failed: FailedAttempt) -> Retry:
        decision = decide_retry(
            failed, self.services.budgets, self.env.settings.retries.max_attempts
        )
        log_event(
            self.env.logger,
            "attempt_failed",
            stage=failed.stage,
            replica_id=failed.replica_id,
            error=failed.error.code,
            attempt=failed.attempts,
            retried=isinstance(decision, Retry),
        )
        if isinstance(decision, GiveUp):
            raise decision.failure from failed.error
        return decision

    async def _choose(
        self, run: _Run, stage: Stage, state: PipelineState, wait_s: float, away: Retry
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
        )
        try:
            return await self.services.router.choose_within(call, wait_s)
        except NoReplicaAvailable as error:
            kind = RequestFailed if run.stream.sent_to_backend else NotRun
            raise kind(
                f"no replica of {stage.pool} is available",
                reason="no_replica",
                stage=stage.name,
            ) from error

    async def _attempt(
        self, run: _Run, stage: Stage, state, form, decision: RoutingDecision
    ) -> BackendResult:
        router = self.services.router
        try:
            await self._claim(run)
            result = await self._call(run, stage, state, form, decision)
        except BackendSilent as error:
            router.observe(decision, None, error, ended=False)
            self._stopper.stop(decision)
            raise
        except EgretshedError as error:
            router.observe(decision, None, error)
            raise
        except asyncio.CancelledError:
            router.observe(decision, None, RequestCancelled(), ended=False)
            self._stopper.stop(decision)
            raise
        router.observe(decision, result, None)
        for key in (stage.pool, _times_key(run, stage)):
            self.services.stage_times.observe(key, result.total_s, result.first_token_s)
        return result

    async def _claim(self, run: _Run) -> None:
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
        self, run: _Run, stage: Stage, state, form, decision: RoutingDecision
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

        def on_tokens(event: TokenEvent) -> None:
            self._on_tokens(run, attempt_id, event)

        result = await backend.call(call, on_tokens)
        require(
            self.env,
            result.attempt_id == run.attempt_id,
            "P1_result_of_this_attempt",
            request_id=run.submission.request_id,
        )
        return result

    def _on_tokens(self, run: _Run, attempt_id: str, event: TokenEvent) -> None:
        """Keep tokens of the current attempt; drop those of an abandoned one."""
        if run.attempt_id != attempt_id or run.stream.finished:
            self.env.metrics.counter(
                "late_tokens_total", "Tokens of abandoned attempts"
            ).inc(len(event.tokens))
            return
        run.stream.append_tokens(event.tokens)

    def _next_attempt_id(self) -> str:
        identity = self.env.identity
        number = next(self._attempt_numbers)
        return f"{identity.node_id}:{identity.incarnation}:{number}"


def _times_key(run: _Run, stage: Stage) -> str:
    """Return the key of stage times by kind, since kinds differ in length."""
    return f"{stage.pool}/{run.submission.kind_name}"


def _usage(result: BackendResult) -> dict[str, Any]:
    return {
        "total_s": round(result.total_s, 4),
        "generated": result.generated_tokens,
        "prompt": result.prompt_tokens,
        "cached": result.cached_tokens,
    }
