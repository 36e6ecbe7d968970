"""The path of one request: route, customer, stages, attempts, answer.

One task a request; it reads down the page. A refusal (503) is given only if the request
certainly ran on no server; whatever may have run ends with 502, 504 or the server's own
answer.
"""

import asyncio
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    CallerGone,
    DeadlineExceeded,
    EgretshedError,
    NotFound,
    NotRun,
    RequestFailed,
    StageFailed,
    Unauthorized,
)
from egretshed.ingress.server import (
    IncomingRequest,
    Reply,
)
from egretshed.logs import log_event
from egretshed.platform.requests import (
    decode_request,
    encode_refusal,
)
from egretshed.relay.attempt import AttemptRunner
from egretshed.relay.request import CallerRequest
from egretshed.relay.request_state import (
    Work,
    effective_deadline_s,
)
from egretshed.relay.stages import StageRunner
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.serving.matching import (
    RouteTable,
    choose_service,
)
from egretshed.serving.schema import Service
from egretshed.stagework.jobs import PieceFailure

# When to come back after a refusal whose cause does not say.
RETRY_AFTER_S = 0.3
NOT_READY_RETRY_S = 0.5
# Results that expired, or whose maker has gone, can be produced again.
LOST_RESULT_REASONS = frozenset({PieceFailure.INPUT_GONE.value, "results_gone"})
# Less time than this does not suffice to run the stages once more.
LEAST_STAGES_S = 1.0


class RelayRunner:
    """Serves callers' requests; `table` returns the configuration in force."""

    def __init__(
        self,
        env: Environment,
        table: Callable[[], RouteTable | None],
        stages: StageRunner,
        attempts: AttemptRunner,
        budget: SharedRetryBudget,
    ):
        self.env = env
        self.table = table
        self.stages = stages
        self.attempts = attempts
        self.budget = budget
        self.running: dict[int, Work] = {}
        self.refusal_reason = ""

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Serve one request; every one ends with exactly one answer or close."""
        request = decode_request(incoming)
        work: Work | None = None
        try:
            work = self._accept(request, reply)
            self.running[id(work)] = work
            await self._serve_while_wanted(work)
            work.outcome = work.outcome or "answered"
        except CallerGone:
            self._note(work, "caller_gone", "")
        except EgretshedError as error:
            self._note(work, error.code, error.fields.get("reason", ""))
            self._refuse(reply, error)
        except Exception as fault:  # A fault in one request must not end the process.
            log_event(
                self.env.logger,
                "request_fault",
                request_id=request.request_id,
                error=repr(fault),
            )
            self._note(work, "failed", "internal")
            self._refuse(reply, RequestFailed("internal fault", reason="internal"))
        finally:
            if work is not None:
                self.running.pop(id(work), None)
            self._record(request, work, reply)

    def _accept(self, request: CallerRequest, reply: Reply) -> Work:
        table = self.table()
        if table is None or self.refusal_reason:
            raise NotRun(
                "this node serves no requests",
                reason=self.refusal_reason or "no_configuration",
                retry_after_s=NOT_READY_RETRY_S,
            )
        route = table.match(request.host, request.target)
        if route is None:
            raise NotFound("no route for this host and path")
        customer = table.customer(request.key) if request.key else None
        if (
            customer is None
            and table.configuration.requires_key
            and not route.is_public
        ):
            raise Unauthorized("unknown key")
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        end_s = request.received_s + effective_deadline_s(request, route)
        service = choose_service(route, self.env.random)
        return Work(
            request=request,
            reply=reply,
            route=route,
            customer=customer,
            priority=priority,
            service=service,
            end_s=end_s,
            target_at_s=request.received_s + (route.latency_target_s or end_s),
        )

    async def _serve_while_wanted(self, work: Work) -> None:
        """Serve until done, the time is up, or the caller has left."""
        serving = asyncio.create_task(self._serve_in_time(work))
        leaving = asyncio.create_task(work.reply.gone.wait())
        try:
            await asyncio.wait({serving, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                raise CallerGone()
            serving.result()
        finally:
            leaving.cancel()
            if not serving.done():
                serving.cancel()
                await asyncio.wait({serving})

    async def _serve_in_time(self, work: Work) -> None:
        remaining_s = work.remaining_s(self.env.clock.monotonic_s())
        try:
            async with asyncio.timeout(remaining_s):
                await self._serve(work)
        except TimeoutError:
            if work.may_have_run:
                raise DeadlineExceeded("deadline passed", reason="deadline") from None
            raise NotRun(
                "deadline passed", reason="deadline", retry_after_s=RETRY_AFTER_S
            ) from None
        finally:
            self.stages.release(work)

    async def _serve(self, work: Work) -> None:
        service = self._service(work)
        self.budget.record_request(service.name)
        try:
            try:
                await self._run_once(work, service)
            except StageFailed as error:
                if not self._may_run_stages_again(work, service, error):
                    raise
                self.stages.release(work)
                await self._run_once(work, service)
        except StageFailed as error:
            if work.may_have_run:
                raise RequestFailed(error.message, reason="results_lost") from error
            # The pieces may be produced again; the request itself was not sent.
            raise NotRun(
                error.message,
                reason=f"stage_{error.fields.get('reason', 'failed')}",
                retry_after_s=RETRY_AFTER_S,
            ) from error

    async def _run_once(self, work: Work, service: Service) -> None:
        await self._run_stages(work, service)
        await self.attempts.run(work, service)

    def _may_run_stages_again(
        self, work: Work, service: Service, error: StageFailed
    ) -> bool:
        """Return whether lost results may be produced once more."""
        remaining_s = work.remaining_s(self.env.clock.monotonic_s())
        again = (
            error.fields.get("reason") in LOST_RESULT_REASONS
            and (work.route.is_retryable or not work.may_have_run)
            and remaining_s > LEAST_STAGES_S
            and self.budget.try_acquire(service.name)
        )
        log_event(
            self.env.logger,
            "stage_results_lost",
            request_id=work.request.request_id,
            reason=error.fields.get("reason"),
            remaining_s=round(remaining_s, 3),
            outcome="run_again" if again else "give_up",
        )
        return again

    async def _run_stages(self, work: Work, service: Service) -> None:
        if work.route.stages:
            await self.stages.run(work, service)
            work.stages_done_s = self.env.clock.monotonic_s()

    def _service(self, work: Work) -> Service:
        service = self.table().configuration.services.get(work.service)
        if service is None:
            raise NotRun(
                "unknown service", reason="no_service", retry_after_s=RETRY_AFTER_S
            )
        return service

    def _refuse(self, reply: Reply, error: EgretshedError) -> None:
        if reply.gone.is_set() or reply.is_finished:
            return
        if reply.is_started:
            reply.abort()
            return
        if isinstance(error, BackendError):
            error = RequestFailed(error.message, reason=error.code)
        reply.start(*encode_refusal(error))

    def _note(self, work: Work | None, outcome: str, reason: str) -> None:
        if work is not None:
            work.outcome, work.reason = outcome, reason

    def _record(self, request: CallerRequest, work: Work | None, reply: Reply) -> None:
        now_s = self.env.clock.monotonic_s()
        took_s = now_s - request.received_s
        metrics = self.env.metrics
        route = work.route.name if work else ""
        outcome = work.outcome if work else "refused"
        label = metrics.bounded_label("route", route)
        metrics.counter(
            "relayed_total", "Requests by route and outcome", ("route", "outcome")
        ).labels(label, outcome).inc()
        metrics.histogram(
            "relayed_seconds", "Time from request to answer", ("route",)
        ).labels(label).observe(took_s)
        fields = {"request_id": request.request_id, "took_s": round(took_s, 4)}
        if work is None:
            table = self.table()
            log_event(
                self.env.logger,
                "request_refused",
                **fields,
                host=request.host,
                target=request.target[:80],
                configuration_version=table.configuration.version if table else None,
            )
            return
        log_event(
            self.env.logger,
            "request_finished",
            **fields,
            route=route,
            outcome=outcome,
            reason=work.reason,
            server_id=work.server_id,
            ran_on=work.ran_on,
            sends=work.sends,
            stages_s=_since(work.stages_done_s, request.received_s),
            first_event_s=_since(work.first_event_s, request.received_s),
            target_s=work.route.latency_target_s,
            deadline_s=round(work.end_s - request.received_s, 3),
            priority=work.priority,
        )


def _since(moment_s: float | None, start_s: float) -> float | None:
    return None if moment_s is None else round(moment_s - start_s, 4)
