"""Runs the stages of a request one after the other, with retries."""

import itertools
from typing import (
    Any,
)

from egretshed.backends.interface import (
    BackendResult,
)
from egretshed.configuration.schema import Stage
from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    RequestFailed,
)
from egretshed.logs import log_event
from egretshed.requests.attempts import Attempts
from egretshed.requests.early_reservation import (
    EarlyChoice,
)
from egretshed.requests.outcomes import (
    complete_outcome,
)
from egretshed.requests.run import (
    Run,
    RunnerServices,
)
from egretshed.requests.stages import (
    PipelineState,
    stage_form,
)
from egretshed.retries.decision import (
    FailedAttempt,
    GiveUp,
    Retry,
    decide_retry,
    may_have_run,
)
from egretshed.retries.stage_times import (
    divide_deadline,
)
from egretshed.routing.records import (
    RoutingDecision,
)


class PipelineRunner:
    """Takes a request from its first stage to its outcome."""

    def __init__(self, env: Environment, services: RunnerServices, attempts: Attempts):
        self.env = env
        self.services = services
        self.attempts = attempts

    async def run(self, run: Run) -> dict[str, Any]:
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

    def _start_early(self, run: Run, state: PipelineState) -> EarlyChoice | None:
        """Begin to wait for the slot of a generation at the end of a pipeline."""
        *before, last = run.submission.stages
        role = self.services.configuration.current.pools[last.pool].role
        if not before or role != "engine":
            return None
        times = self.services.stage_times
        before_s = sum(times.estimate_s(stage.pool) for stage in before)
        after_s = self.attempts.slot_waits.start_after_s(last.pool, before_s)
        if after_s is None:
            return None

        async def choose() -> RoutingDecision:
            away = Retry(frozenset(), frozenset())
            left_s = run.end_s - self.env.clock.monotonic_s()
            return await self.attempts.choose(run, last, state, left_s, away)

        def give_back(decision: RoutingDecision) -> None:
            self.services.router.observe(decision, None, None)

        return EarlyChoice(self.env.clock, choose, after_s, give_back)

    async def _run_each_stage(
        self, run: Run, state: PipelineState, early: EarlyChoice | None
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
        run: Run,
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
                decision = await self.attempts.choose(run, stage, state, share_s, away)
            sent_before = run.stream.sent_to_backend
            try:
                return await self.attempts.attempt(run, stage, state, form, decision)
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
        self, run: Run, stage: Stage, decision: RoutingDecision, error, attempt: int
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


def _usage(result: BackendResult) -> dict[str, Any]:
    return {
        "total_s": round(result.total_s, 4),
        "generated": result.generated_tokens,
        "prompt": result.prompt_tokens,
        "cached": result.cached_tokens,
    }
