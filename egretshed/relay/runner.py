"""Serves one request: route, customer, stages, attempts and response.

Each request is served by one task. It is refused with 503 only if it provably ran on no
server; a request that may have run ends with 502, 504 or the server's own response.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    CallerGone,
    DeadlineExceeded,
    EgretshedError,
    InputQuarantined,
    NotFound,
    NotRun,
    RequestFailed,
    StageFailed,
    Unauthorized,
)
from egretshed.feeds.fresh_tables import FreshTables
from egretshed.ingress.reply import (
    IncomingRequest,
    Reply,
)
from egretshed.logs import log_event
from egretshed.platform.http_messages import (
    decode_request,
    encode_error_response,
)
from egretshed.quarantine.guard import InputGuard
from egretshed.relay.attempt import AttemptRunner
from egretshed.relay.request import CallerRequest
from egretshed.relay.request_state import (
    RequestState,
    effective_deadline_s,
)
from egretshed.relay.stages import (
    StageRunner,
    output_s,
)
from egretshed.relay.stop_admission import (
    ObservedRequest,
    RecentRequests,
    RequestOutlook,
    may_start,
)
from egretshed.relay.stream_resumption import StreamResumption
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.serving.matching import (
    RouteTable,
    choose_service,
)
from egretshed.serving.schema import Service
from egretshed.stage_scheduling.jobs import PieceFailure

# Retry-After of refusals whose cause gives no better value.
RETRY_AFTER_S = 0.3
NOT_READY_RETRY_AFTER_S = 0.5
STOPPING_REASON = "node_stopping"
# Retry-After of requests that a stopping node refuses: other nodes serve them at once.
STOP_RETRY_AFTER_S = 0.1
# Results that expired, or whose server has left, can be produced again.
LOST_RESULT_REASONS = frozenset({PieceFailure.INPUT_GONE.value, "results_gone"})
# With less time than this left, the stages are not run again.
MIN_STAGE_RERUN_S = 1.0


class _RouteHistory(NamedTuple):
    """Durations of the last requests of a route, and the age of its oldest one."""

    observed_s: tuple[float, ...]
    oldest_running_s: float


class RelayRunner:
    """Serves requests of callers.

    `table` returns the route table in force, or None before there is a configuration.
    While `refusal_reason` is set, all new requests are refused with that reason. After
    `begin_stop`, those that are not likely to end in time are.
    """

    def __init__(
        self,
        env: Environment,
        table: Callable[[], RouteTable | None],
        stages: StageRunner,
        attempts: AttemptRunner,
        budget: SharedRetryBudget,
        guard: InputGuard,
        resumption: StreamResumption,
        fresh_tables: FreshTables,
    ):
        self.env = env
        self.fresh_tables = fresh_tables
        self.guard = guard
        self.resumption = resumption
        self.table = table
        self.stages = stages
        self.attempts = attempts
        self.budget = budget
        self.refusal_reason = ""
        self.recent = RecentRequests()
        self._serving: dict[asyncio.Task, RequestState] = {}
        self._end_at_s: float | None = None

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Serve one request; it ends with exactly one response or an aborted reply."""
        request = decode_request(incoming)
        state: RequestState | None = None
        try:
            if not self.refusal_reason and self.table() is not None:
                await self.fresh_tables.wait(request.deadline_s)
            state = self._accept(request, reply)
            await self._serve_until_disconnect(state)
            state.outcome = state.outcome or "answered"
        except CallerGone:
            self._set_outcome(state, "caller_gone", "")
        except EgretshedError as error:
            self._set_outcome(state, error.code, error.fields.get("reason", ""))
            self._refuse(reply, error)
        except Exception as fault:  # A bug in one request must not end the process.
            log_event(
                self.env.logger,
                "request_fault",
                request_id=request.request_id,
                error=repr(fault),
            )
            self._set_outcome(state, "failed", "internal")
            self._refuse(reply, RequestFailed("internal error", reason="internal"))
        finally:
            self._record_outcome(request, state, reply)

    def _accept(self, request: CallerRequest, reply: Reply) -> RequestState:
        if self.refusal_reason:
            raise NotRun(
                "this node stops",
                reason=self.refusal_reason,
                retry_after_s=STOP_RETRY_AFTER_S,
            )
        table = self.table()
        if table is None:
            raise NotRun(
                "this node does not serve requests now",
                reason="no_configuration",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
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
            raise Unauthorized("missing or unknown key")
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        if not route.services:
            raise NotRun(
                "no service takes the requests of this route",
                reason="no_service",
                retry_after_s=RETRY_AFTER_S,
            )
        deadline_s = effective_deadline_s(request, route)
        service = choose_service(route, self.env.random)
        return RequestState(
            request=request,
            reply=reply,
            route=route,
            customer=customer,
            priority=priority,
            service=service,
            deadline_at_s=request.received_s + deadline_s,
            target_at_s=request.received_s + (route.latency_target_s or deadline_s),
        )

    async def _serve_until_disconnect(self, state: RequestState) -> None:
        """Serve until done, the deadline passes or the caller disconnects."""
        serving = asyncio.create_task(self._serve_with_deadline(state))
        self._serving[serving] = state
        serving.add_done_callback(self._serving.pop)
        disconnected = asyncio.create_task(state.reply.disconnected.wait())
        try:
            await asyncio.wait(
                {serving, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
            if not serving.done():
                raise CallerGone()
            if serving.cancelled() and self._end_at_s is not None:
                raise self._stop_error(state)
            serving.result()
        finally:
            disconnected.cancel()
            if not serving.done():
                serving.cancel()
                await asyncio.wait({serving})

    def begin_stop(self, end_at_s: float) -> None:
        """Refuse requests that are not likely to end until `end_at_s`."""
        self._end_at_s = end_at_s

    def refuse_late(self) -> None:
        """Refuse requests that still wait and are not likely to end any more."""
        now_s = self.env.clock.monotonic_s()
        histories: dict[str, _RouteHistory] = {}
        sent_s = self._oldest_s(lambda s: s.sent_s if s.may_have_run else None)
        for serving, state in self._serving.items():
            if state.may_have_run:
                continue
            name = state.route.name
            if name not in histories:
                observed = self.recent.of_route(name, now_s)
                histories[name] = _RouteHistory(
                    tuple(o.run_s for o in observed), now_s - sent_s.get(name, now_s)
                )
            if not self._can_end_before_stop(state, histories[name], now_s):
                serving.cancel()

    def _may_start(self, state: RequestState) -> bool:
        """Return whether a request that has just arrived may be started."""
        if self._end_at_s is None:
            return True
        now_s, name = self.env.clock.monotonic_s(), state.route.name
        arrived_s = self._oldest_s(
            lambda s: None if s is state else s.request.received_s
        )
        observed = self.recent.of_route(name, now_s)
        history = _RouteHistory(
            tuple(o.whole_s for o in observed), now_s - arrived_s.get(name, now_s)
        )
        return self._can_end_before_stop(state, history, now_s)

    def _oldest_s(
        self, moment_s: Callable[[RequestState], float | None]
    ) -> dict[str, float]:
        """Return the earliest moment of the running requests of each route."""
        oldest_s: dict[str, float] = {}
        for state in self._serving.values():
            at_s = moment_s(state)
            if at_s is not None:
                name = state.route.name
                oldest_s[name] = min(at_s, oldest_s.get(name, at_s))
        return oldest_s

    def _can_end_before_stop(
        self, state: RequestState, history: "_RouteHistory", now_s: float
    ) -> bool:
        """Return whether a request that was not sent is likely to end in time."""
        route = state.route
        outlook = RequestOutlook(
            deadline_left_s=state.remaining_s(now_s),
            observed_s=history.observed_s,
            oldest_running_s=history.oldest_running_s,
            latency_target_s=route.latency_target_s,
            output_s=output_s(state),
            is_stream=route.is_stream,
            can_be_repeated=route.is_retryable,
        )
        return may_start(outlook, self._end_at_s - now_s)

    def end_running(self, is_spared: Callable[[RequestState], bool]) -> int:
        """End running requests that are not spared, and return their number.

        Further requests are refused. A request that may have run is answered as failed;
        a stream that has begun is cut.
        """
        self.refusal_reason = self.refusal_reason or STOPPING_REASON
        ended = [task for task, s in self._serving.items() if not is_spared(s)]
        for serving in ended:
            serving.cancel()
        return len(ended)

    def _stop_error(self, state: RequestState) -> EgretshedError:
        message = "this node stops"
        if state.may_have_run:
            return RequestFailed(message, reason=STOPPING_REASON)
        return NotRun(message, reason=STOPPING_REASON, retry_after_s=STOP_RETRY_AFTER_S)

    async def _serve_with_deadline(self, state: RequestState) -> None:
        remaining_s = state.remaining_s(self.env.clock.monotonic_s())
        try:
            async with asyncio.timeout(remaining_s):
                await self._serve(state)
        except TimeoutError:
            if state.may_have_run:
                raise DeadlineExceeded("deadline passed", reason="deadline") from None
            raise NotRun(
                "deadline passed", reason="deadline", retry_after_s=RETRY_AFTER_S
            ) from None
        finally:
            self.stages.release_all(state)

    async def _serve(self, state: RequestState) -> None:
        if not self._may_start(state):
            raise self._stop_error(state)
        await self.resumption.bind_resumed(state)
        service = self._service(state)
        self.budget.record_request(service.name)
        try:
            # Before stages are run for nothing.
            self.guard.check(service.name, state.input_ids)
            try:
                await self._run_stages_and_attempts(state, service)
            except StageFailed as error:
                if not self._may_rerun_stages(state, service, error):
                    raise
                self.stages.release_all(state)
                await self._run_stages_and_attempts(state, service)
        except InputQuarantined as error:
            if state.may_have_run:
                raise RequestFailed(error.message, reason=error.code) from error
            raise NotRun(
                error.message, reason=error.code, retry_after_s=error.retry_after_s
            ) from error
        except StageFailed as error:
            if state.may_have_run:
                raise RequestFailed(error.message, reason="results_lost") from error
            # Stages may run more than once; the request itself has not been sent.
            raise NotRun(
                error.message,
                reason=f"stage_{error.fields.get('reason', 'failed')}",
                retry_after_s=RETRY_AFTER_S,
            ) from error

    async def _run_stages_and_attempts(
        self, state: RequestState, service: Service
    ) -> None:
        await self._run_stages(state, service)
        await self.attempts.run(state, service)

    def _may_rerun_stages(
        self, state: RequestState, service: Service, error: StageFailed
    ) -> bool:
        """Return whether lost stage results may be produced once more."""
        remaining_s = state.remaining_s(self.env.clock.monotonic_s())
        rerun = (
            error.fields.get("reason") in LOST_RESULT_REASONS
            and (state.route.is_retryable or not state.may_have_run)
            and remaining_s > MIN_STAGE_RERUN_S
            and self.budget.try_acquire(service.name)
        )
        log_event(
            self.env.logger,
            "stage_results_lost",
            request_id=state.request.request_id,
            reason=error.fields.get("reason"),
            remaining_s=round(remaining_s, 3),
            outcome="run_again" if rerun else "give_up",
        )
        return rerun

    async def _run_stages(self, state: RequestState, service: Service) -> None:
        if state.route.stages:
            if not self.stages.selector.has_server(state, service):
                raise NotRun(
                    "no server of the service",
                    reason="no_server",
                    retry_after_s=RETRY_AFTER_S,
                )
            await self.stages.run(state, service)
            state.stages_done_s = self.env.clock.monotonic_s()

    def _service(self, state: RequestState) -> Service:
        service = self.table().configuration.services.get(state.service)
        if service is None:
            raise NotRun(
                "unknown service", reason="no_service", retry_after_s=RETRY_AFTER_S
            )
        return service

    def _refuse(self, reply: Reply, error: EgretshedError) -> None:
        if reply.disconnected.is_set() or reply.is_finished:
            return
        if reply.is_started:
            reply.abort()
            return
        if isinstance(error, BackendError):
            error = RequestFailed(error.message, reason=error.code)
        reply.start(*encode_error_response(error))

    def _set_outcome(
        self, state: RequestState | None, outcome: str, reason: str
    ) -> None:
        if state is not None:
            state.outcome, state.reason = outcome, reason

    def _record_outcome(
        self, request: CallerRequest, state: RequestState | None, reply: Reply
    ) -> None:
        now_s = self.env.clock.monotonic_s()
        took_s = now_s - request.received_s
        metrics = self.env.metrics
        route = state.route.name if state else ""
        outcome = state.outcome if state else "refused"
        label = metrics.bounded_label("route", route)
        metrics.counter(
            "relayed_total", "Requests by route and outcome", ("route", "outcome")
        ).labels(label, outcome).inc()
        metrics.histogram(
            "relayed_seconds", "Time from request to answer", ("route",)
        ).labels(label).observe(took_s)
        if reply.is_aborted:
            metrics.counter(
                "answers_cut_total",
                "Answers that ended without their end, by the last server's connection",
                ("route", "connection_end"),
            ).labels(label, state.connection_end if state else "").inc()
        fields = {"request_id": request.request_id, "took_s": round(took_s, 4)}
        if state is None:
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
        if outcome == "answered":
            run_s = now_s - state.sent_s if state.send_count else took_s
            self.recent.add(route, ObservedRequest(now_s, took_s, run_s))
        log_event(
            self.env.logger,
            "request_finished",
            **fields,
            route=route,
            outcome=outcome,
            reason=state.reason,
            server_id=state.server_id,
            ran_on=state.possible_executions,
            sends=state.send_count,
            is_cut=reply.is_aborted,
            silent_s=state.silent_s,
            connection_end=state.connection_end,
            framing=state.framing,
            incomplete_event_bytes=state.incomplete_event_bytes,
            stages_s=_seconds_since(state.stages_done_s, request.received_s),
            first_event_s=_seconds_since(state.first_event_s, request.received_s),
            target_s=state.route.latency_target_s,
            deadline_s=round(state.deadline_at_s - request.received_s, 3),
            priority=state.priority,
        )


def _seconds_since(moment_s: float | None, start_s: float) -> float | None:
    return None if moment_s is None else round(moment_s - start_s, 4)
