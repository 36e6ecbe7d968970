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
from egretshed.requests.abandon import AbandonedCalls
from egretshed.requests.early import (
    EarlyChoice,
    SlotWaits,
)
from egretshed.requests.outcomes import (
    complete_outcome,
    outcome_of,
)
from egretshed.requests.pace import (
    CallPace,
    UsualPaces,
    within_pace,
)
from egretshed.requests.stages import (
    PipelineState,
    cache_prefix,
    stage_form,
)
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
    divide_deadline,
)
from egretshed.routing.records import (
    RoutingDecision,
    StageCall,
)
from egretshed.routing.router import Router

STORE_EXPIRY_PERIOD_S = 1.0
REFUSAL_RETURN_S = (0.2, 1.0)
# Quantile of a pool's calls that counts as the least time that one may take.
FASTEST_SHARE = 0.1


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
        self.abandoned = AbandonedCalls(env.clock, services.router, services.backends)
        self._paces = UsualPaces()
        self._slot_waits = SlotWaits()
        self._runs: dict[str, _Run] = {}
        self._attempt_numbers = itertools.count(1)
        self._refusal = ""

    async def run(self) -> None:
        """Expire finished streams until cancelled."""
        while True:
            await self.env.clock.sleep(STORE_EXPIRY_PERIOD_S)
            self.store.expire()

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
        ran_here = known is not None and known.may_have_run
        stream.earlier_may_have_run = submission.resubmission or ran_here
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
            return 0
        _, late = await asyncio.wait(tasks, timeout=limit_s)
        for task in late:
            task.cancel()
        if late:
            await asyncio.wait(late, timeout=1.0)
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
                tokens_s=self._paces.tokens_take_s(
                    submission.stages[-1].pool, self._tokens_wanted(submission)
                ),
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
        early = self._start_early(run, state)
        try:
            return await self._run_each_stage(run, state, early)
        finally:
            if early is not None:
                early.give_up()

    def _start_early(self, run: _Run, state: PipelineState) -> EarlyChoice | None:
        """Begin to wait for the slot of a generation at the end of a pipeline."""
        *before, last = run.submission.stages
        role = self.services.configuration.current.pools[last.pool].role
        if not before or role != "engine":
            return None
        times = self.services.stage_times
        before_s = sum(times.estimate_s(stage.pool) for stage in before)
        after_s = self._slot_waits.start_after_s(last.pool, before_s)
        if after_s is None:
            return None

        async def choose() -> RoutingDecision:
            away = Retry(frozenset(), frozenset())
            left_s = run.end_s - self.env.clock.monotonic_s()
            return await self._choose(run, last, state, left_s, away)

        def give_back(decision: RoutingDecision) -> None:
            self.services.router.observe(decision, None, None)

        return EarlyChoice(self.env.clock, choose, after_s, give_back)

    async def _run_each_stage(
        self, run: _Run, state: PipelineState, early: EarlyChoice | None
    ) -> dict[str, Any]:
        submission = run.submission
        for index, stage in enumerate(submission.stages):
            is_last = index == len(submission.stages) - 1
            role = self.services.configuration.current.pools[stage.pool].role
            form = stage_form(role)
            rest = [later.pool for later in submission.stages[index:]]
            remaining_s = run.end_s - self.env.clock.monotonic_s()
            shares_s = divide_deadline(self.services.stage_times, rest, remaining_s)
            chosen = early if is_last else None
            result = await self._run_stage(run, stage, state, form, shares_s[0], chosen)
            state = form.merge(state, result.output)
            run.usage[stage.name] = _usage(result)
        output = state.result if state.result is not None else {}
        if run.stream.has_tokens:
            output = {"tokens": run.usage[submission.stages[-1].name]["generated"]}
        return complete_outcome(run.stream, output, run.usage)

    async def _run_stage(
        self,
        run: _Run,
        stage: Stage,
        state: PipelineState,
        form: type,
        share_s: float,
        early: EarlyChoice | None = None,
    ) -> BackendResult:
        """Try the stage until it completes or no further attempt is allowed.

        `share_s` is the part of the deadline that this stage should take. The first
        attempt uses the `early` choice if it was made.
        """
        self.services.budgets.note_call(run.submission.customer_id, stage.name)
        away = Retry(frozenset(), frozenset())
        may_have_run_before = False
        for attempt in itertools.count(1):
            decision = await early.decision() if early and attempt == 1 else None
            if decision is None:
                decision = await self._choose(run, stage, state, share_s, away)
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
        self, run: _Run, stage: Stage, state: PipelineState, share_s: float, away: Retry
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
            self._slot_waits.observe(stage.pool, waited_s)
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

    def _tokens_wanted(self, submission: Submission) -> int:
        pool = self.services.configuration.current.pools[submission.stages[-1].pool]
        wanted = submission.body.get("max_tokens") or submission.kind.max_tokens
        return min(wanted, submission.kind.max_tokens) if pool.role == "engine" else 0

    def _least_s(self, stage: Stage, state: PipelineState) -> float:
        """Return the least time that the call may take.

        The kinds of a pool differ in tokens by a factor of 8, so that the times of the
        pool's other calls tell little of a long generation.
        """
        times = self.services.stage_times
        tokens_s = self._paces.tokens_take_s(stage.pool, state.tokens())
        if not tokens_s:
            return times.estimate_s(stage.pool, FASTEST_SHARE)
        return times.estimate_first_token_s(stage.pool, FASTEST_SHARE) + tokens_s

    async def _attempt(
        self, run: _Run, stage: Stage, state, form, decision: RoutingDecision
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

        pace = CallPace(
            call.payload.get("max_tokens", 0),
            run.end_s,
            self._paces.token_s(stage.pool),
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
            self._paces.observe(stage.pool, *pace.span())
        require(
            self.env,
            result.attempt_id == run.attempt_id,
            "P1_result_of_this_attempt",
            request_id=run.submission.request_id,
        )
        return result

    def _could_move(self, run: _Run, stage: Stage, pace: CallPace) -> bool:
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


def _usage(result: BackendResult) -> dict[str, Any]:
    return {
        "total_s": round(result.total_s, 4),
        "generated": result.generated_tokens,
        "prompt": result.prompt_tokens,
        "cached": result.cached_tokens,
    }
