"""Accepts, runs and finishes the requests of this node.

Each request has one task: it is admitted, its stages run, the final item is written and
the outcome is recorded.
"""

import asyncio
from typing import (
    Any,
)

import msgspec

from egretshed.admission.entries import AdmissionRequest
from egretshed.environment import Environment
from egretshed.errors import (
    AlreadyClaimed,
    DeadlineExceeded,
    EarlierSubmissionMayHaveRun,
    EgretshedError,
    InvalidRequest,
    NodeStopping,
    NotRun,
    OutcomeUnknown,
    RequestCancelled,
    RequestFailed,
)
from egretshed.logs import log_event
from egretshed.requests.attempts import (
    REFUSAL_RETRY_AFTER_S,
    Attempts,
)
from egretshed.requests.outcomes import (
    failure_outcome,
)
from egretshed.requests.pipeline import PipelineRunner
from egretshed.requests.run import (
    Run,
    RunnerServices,
)
from egretshed.requests.store import StreamStore
from egretshed.requests.stream import RequestStream
from egretshed.requests.submission import Submission

STORE_EXPIRY_PERIOD_S = 1.0


class RequestRunner:
    """Runs the requests of this node and stores their streams."""

    def __init__(self, env: Environment, services: RunnerServices):
        self.env = env
        self.services = services
        self.store = StreamStore(env)
        self._attempts = Attempts(env, services)
        self._pipeline = PipelineRunner(env, services, self._attempts)
        self._runs: dict[str, Run] = {}
        self._refusal_reason = ""

    async def run(self) -> None:
        """Expire finished streams until cancelled."""
        while True:
            await self.env.clock.sleep(STORE_EXPIRY_PERIOD_S)
            self.store.expire()

    def submit(
        self, submission: Submission, begins_with_reset: bool = False
    ) -> RequestStream:
        """Start the request, or join it if this node already has its request id.

        With `begins_with_reset` the stream starts with a `reset` item, for a caller
        that has received part of the answer from a node that is lost.
        """
        existing = self.store.find_by_request(
            submission.customer_id, submission.request_id
        )
        if existing is not None:
            self._check_same_body(existing, submission)
            if not existing.may_run_again:
                return existing
        self._check_accepting(submission)
        stream = self.store.create(submission.customer_id, submission.request_id)
        stream.body_digest = _content_digest(submission)
        existing_may_have_run = existing is not None and existing.may_have_run
        stream.earlier_may_have_run = submission.resubmission or existing_may_have_run
        if begins_with_reset:
            stream.reset()
        deadline_at_s = self.env.clock.monotonic_s() + submission.deadline_s
        run = Run(submission, stream, deadline_at_s)
        self._runs[stream.stream_id] = run
        run.task = asyncio.create_task(self._run(run))
        return stream

    def stop_accepting(self, reason: str) -> None:
        """Refuse new requests with `reason`; running ones continue."""
        self._refusal_reason = reason

    def _check_accepting(self, submission: Submission) -> None:
        reason = self._refusal_reason
        if not self.services.configuration.is_fresh():
            reason = "configuration_not_fresh"
        if not reason:
            return
        error_type = EarlierSubmissionMayHaveRun if submission.resubmission else NotRun
        raise error_type(
            "this node does not accept new requests",
            reason=reason,
            retry_after_s=round(self.env.random.uniform(*REFUSAL_RETRY_AFTER_S), 3),
        )

    def cancel(self, customer_id: str, stream_id: str) -> bool:
        """Cancel a running request of this customer; False if there is none."""
        run = self._runs.get(stream_id)
        if run is None or run.submission.customer_id != customer_id:
            return False
        run.task.cancel()
        return True

    async def drain(self, limit_s: float) -> int:
        """Wait for running requests; return how many were ended early, with an answer.

        They are ended after `limit_s`.
        """
        tasks = [run.task for run in self._runs.values()]
        if tasks:
            await asyncio.wait(tasks, timeout=limit_s)
        unfinished = list(self._runs.values())
        for run in unfinished:
            run.ended_by_stop = True
            run.task.cancel()
        if unfinished:
            await asyncio.wait([run.task for run in unfinished], timeout=1.0)
        return len(unfinished)

    def running_count(self) -> int:
        return len(self._runs)

    def _check_same_body(self, stream: RequestStream, submission: Submission) -> None:
        if stream.body_digest != _content_digest(submission):
            raise InvalidRequest(
                "request_id was already used with a different body", path="$.request_id"
            )

    async def _run(self, run: Run) -> None:
        stream = run.stream
        repeatable = run.submission.kind.repeatable
        try:
            outcome = await self._serve_within_deadline(run)
        except EgretshedError as error:
            outcome = failure_outcome(self.env, stream, error, repeatable)
        except asyncio.CancelledError:
            error = _cancellation(run)
            outcome = failure_outcome(self.env, stream, error, repeatable)
        except Exception as fault:
            log_event(self.env.logger, "request_fault", error=repr(fault))
            error = RequestFailed("internal error", reason="internal")
            outcome = failure_outcome(self.env, stream, error, repeatable)
        finally:
            self._runs.pop(stream.stream_id, None)
        self._finish(run, outcome)
        if run.claim is not None:
            await self.services.claims.store_outcome(run.claim, outcome)

    def _finish(self, run: Run, outcome: dict[str, Any]) -> None:
        stream = run.stream
        stream.finish(outcome)
        self._record(run, outcome)

    def _record(self, run: Run, outcome: dict[str, Any]) -> None:
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

    async def _serve_within_deadline(self, run: Run) -> dict[str, Any]:
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

    async def _serve(self, run: Run) -> dict[str, Any]:
        submission = run.submission
        ticket = await self.services.admission.admit(
            AdmissionRequest(
                request_id=submission.request_id,
                customer_id=submission.customer_id,
                kind=submission.kind_name,
                priority=submission.priority,
                deadline_s=submission.deadline_s,
                stage_pools=tuple(stage.pool for stage in submission.stages),
                generation_s=self._attempts.token_latencies.generation_s(
                    submission.stages[-1].pool, self._max_generated_tokens(submission)
                ),
            )
        )
        completed = False
        try:
            outcome = await self._pipeline.run(run)
            completed = True
            return outcome
        except AlreadyClaimed as claimed:
            return self._stored_outcome(run, claimed)
        finally:
            ticket.release(completed)

    def _stored_outcome(self, run: Run, claimed: AlreadyClaimed) -> dict[str, Any]:
        stored = claimed.fields.get("outcome")
        if stored:
            return {**stored, "stored": True}
        raise OutcomeUnknown(
            "the request was claimed by an earlier submission and may have run",
            reason="claimed",
        )

    def _max_generated_tokens(self, submission: Submission) -> int:
        pool = self.services.configuration.current.pools[submission.stages[-1].pool]
        max_tokens = submission.body.get("max_tokens") or submission.kind.max_tokens
        return (
            min(max_tokens, submission.kind.max_tokens) if pool.role == "engine" else 0
        )


def _content_digest(submission: Submission) -> int:
    """Return a digest of the kind and body, whatever the order of their fields."""
    content = (submission.kind_name, submission.body)
    return hash(msgspec.json.encode(content, order="deterministic"))


def _cancellation(run: Run) -> EgretshedError:
    if run.ended_by_stop:
        return NodeStopping("the node stopped before the request ended")
    return RequestCancelled("cancelled by the caller", reason="cancelled")
