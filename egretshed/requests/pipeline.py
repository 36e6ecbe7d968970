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
    EarlyReservation,
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
    stage_handler,
)
from egretshed.retries.decision import (
    FailedAttempt,
    GiveUp,
    Retry,
    decide_retry,
    may_have_run,
)
from egretshed.retries.stage_times import (
    split_deadline,
)
from egretshed.routing.records import (
    RoutingDecision,
)


class PipelineRunner:
    """Runs all stages of a request and returns its outcome."""

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
        reservation = self._start_early_reservation(run, state)
        try:
            return await self._run_each_stage(run, state, reservation)
        finally:
            if reservation is not None:
                reservation.cancel()

    def _start_early_reservation(
        self, run: Run, state: PipelineState
    ) -> EarlyReservation | None:
        """Start to reserve the slot of a final engine stage; None if not worthwhile."""
        *earlier_stages, last_stage = run.submission.stages
        role = self.services.configuration.current.pools[last_stage.pool].role
        if not earlier_stages or role != "engine":
            return None
        times = self.services.stage_times
        earlier_stages_s = sum(times.estimate_s(stage.pool) for stage in earlier_stages)
        delay_s = self.attempts.slot_wait_times.start_delay_s(
            last_stage.pool, earlier_stages_s
        )
        if delay_s is None:
            return None

        async def reserve() -> RoutingDecision:
            exclusions = Retry(frozenset(), frozenset())
            remaining_s = run.deadline_at_s - self.env.clock.monotonic_s()
            return await self.attempts.choose_replica(
                run, last_stage, state, remaining_s, exclusions
            )

        def release_slot(decision: RoutingDecision) -> None:
            self.services.router.observe(decision, None, None)

        return EarlyReservation(self.env.clock, reserve, delay_s, release_slot)

    async def _run_each_stage(
        self, run: Run, state: PipelineState, reservation: EarlyReservation | None
    ) -> dict[str, Any]:
        submission = run.submission
        for index, stage in enumerate(submission.stages):
            is_last = index == len(submission.stages) - 1
            role = self.services.configuration.current.pools[stage.pool].role
            handler = stage_handler(role)
            remaining_pools = [later.pool for later in submission.stages[index:]]
            remaining_s = run.deadline_at_s - self.env.clock.monotonic_s()
            shares_s = split_deadline(
                self.services.stage_times, remaining_pools, remaining_s
            )
            stage_reservation = reservation if is_last else None
            result = await self._run_stage(
                run, stage, state, handler, shares_s[0], stage_reservation
            )
            state = handler.merge(state, result.output)
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
        handler: type,
        share_s: float,
        reservation: EarlyReservation | None = None,
    ) -> BackendResult:
        """Attempt the stage until it completes or no further attempt is allowed.

        `share_s` is this stage's share of the remaining time. The first attempt uses
        the decision of `reservation` if there is one.
        """
        self.services.budgets.record_call(run.submission.customer_id, stage.name)
        exclusions = Retry(frozenset(), frozenset())
        may_have_run_before = False
        for attempt in itertools.count(1):
            decision = (
                await reservation.decision() if reservation and attempt == 1 else None
            )
            if decision is None:
                decision = await self.attempts.choose_replica(
                    run, stage, state, share_s, exclusions
                )
            sent_before = run.stream.sent_to_backend
            try:
                return await self.attempts.attempt(run, stage, state, handler, decision)
            except BackendError as error:
                failed = self._failed_attempt(run, stage, decision, error, attempt)
                failed = failed._replace(
                    sent_before=sent_before,
                    may_have_run_before=may_have_run_before,
                    excluded_replicas=exclusions.excluded_replicas,
                    excluded_domains=exclusions.excluded_domains,
                )
                exclusions = self._retry_or_raise(failed)
                may_have_run_before |= may_have_run(error)
        raise RequestFailed("no attempts left", reason="attempts", stage=stage.name)

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
            # Delivered tokens do not prevent a retry: it begins with a reset item.
            delivered_tokens=0,
            remaining_s=run.deadline_at_s - self.env.clock.monotonic_s(),
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
