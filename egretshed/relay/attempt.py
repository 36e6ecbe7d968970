"""Sends a request to servers in turn until one responds or no retry is allowed.

A non-repeatable request is sent on a new connection. Once a byte of it may have reached
a server it is not sent again, unless that server proves that it did not run it.
"""

import asyncio
from collections.abc import AsyncIterator

from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    NotRun,
    RequestFailed,
    ResultsLost,
    ServerRefusedWork,
)
from egretshed.feeds.fresh_tables import FreshTables
from egretshed.logs import log_event
from egretshed.placement.engines import (
    EnginePlacement,
    EnginePlacer,
)
from egretshed.platform.http_messages import (
    decode_response_head,
)
from egretshed.quarantine.crash_reports import (
    BrokenRun,
    CrashReporter,
)
from egretshed.quarantine.inputs import whole_inputs
from egretshed.relay.dispatch import (
    REFUSAL_STATUSES,
    SERVER_ERROR_STATUS,
    Choice,
    Dispatcher,
    ServerNotUsable,
    check_request_id,
    check_response,
)
from egretshed.relay.events import EventSplitter
from egretshed.relay.next_step import (
    AttemptHistory,
    NextStep,
    next_step,
)
from egretshed.relay.request import ServerResponse
from egretshed.relay.request_state import RequestState
from egretshed.relay.server_selection import ServerSelector
from egretshed.relay.server_wait import ServerWait
from egretshed.relay.silence import (
    event_gap_limit_s,
    first_event_limit_s,
    response_limit_s,
)
from egretshed.relay.stages import StageRunner
from egretshed.relay.stream_resumption import StreamResumption
from egretshed.relay.successor import (
    ServerSilent,
    Successor,
    SuccessorFinder,
)
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.rollouts.gate import RolloutGate
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Service
from egretshed.upstream.exchange import (
    Exchange,
    ExchangeFailed,
    Framing,
    ResponseHead,
)
from egretshed.upstream.pool import ConnectionPool

# Retry-After of requests that no server could take.
RETRY_AFTER_S = 0.25
# Callers that are told to return when a pause ends do so over this share of it.
RETRY_SPREAD_SHARE = 0.25
# With less time than this left, a failed response is passed on instead of a retry.
MIN_RETRY_TIME_S = 0.25
# The engine reports that a stage result it needs has been evicted.
RESULTS_GONE_STATUS = 409
# Pause before a request is sent to a server that it was sent to before.
RETRIED_SERVER_PAUSE_S = 0.05
# A request that is ended with less time than this left was ended by its deadline.
DEADLINE_MARGIN_S = 0.05
# Period in which a cut stream asks whether a server has capacity.
CAPACITY_POLL_S = 0.1


class AttemptRunner:
    """Runs the attempts of a request on the servers of its service."""

    def __init__(
        self,
        env: Environment,
        servers: ServerRegistry,
        selector: ServerSelector,
        placer: EnginePlacer,
        stages: StageRunner,
        pool: ConnectionPool,
        budget: SharedRetryBudget,
        crashes: CrashReporter,
        resumption: StreamResumption,
        fresh_tables: FreshTables | None = None,
        rollouts: RolloutGate | None = None,
    ):
        self.env = env
        self.servers = servers
        self.selector = selector
        self.rollouts = rollouts or RolloutGate(env, servers)
        self.placer = placer
        self.stages = stages
        self.budget = budget
        self.crashes = crashes
        self.resumption = resumption
        self.dispatcher = Dispatcher(
            env, servers, selector, placer, stages, pool, crashes.guard, fresh_tables
        )
        self.successors = SuccessorFinder(
            env, self.dispatcher, stages, budget, resumption.may_go_on
        )

    async def run(self, state: RequestState, service: Service) -> None:
        """Reply to the caller.

        Raises `NotRun`, `ResultsLost`, `RequestFailed` or `InputQuarantined`.
        """
        successor: Successor | None = None
        while True:
            if successor is None:
                server, placement = await self._select_server(state, service)
                exchange = None
            else:
                server, placement, exchange, _ = successor
                successor = None
            try:
                await self._run_attempt(state, service, server, placement, exchange)
                self.crashes.guard.record_completion(service.name, state.input_ids)
                return
            except ServerSilent as silence:
                sent_s = silence.successor.previous.sent_s
                self._report_crash(state, service, server, silence, sent_s)
                state.tried_ids.add(server.server_id)
                state.failed_ids.add(server.server_id)
                self._log_failure(state, server, silence, NextStep.RETRY)
                successor = silence.successor
            except BackendError as failure:
                self._report_crash(state, service, server, failure, state.sent_s)
                self._handle_failure(state, service, server, failure)
            finally:
                self.dispatcher.end_placement(placement)

    async def _select_server(
        self, state: RequestState, service: Service
    ) -> tuple[ServerState, EnginePlacement | None]:
        chosen = await self.dispatcher.choose(state, service, state.tried_ids)
        if chosen is None and state.tried_ids:
            chosen = await self._choose_again(state, service)
        if chosen is not None:
            return chosen
        if state.may_have_run:
            raise RequestFailed("no server left to retry on", reason="no_server")
        raise NotRun(
            "no server available for the request",
            reason="no_server",
            retry_after_s=self._retry_after_s(service.name),
        )

    async def _choose_again(
        self, state: RequestState, service: Service
    ) -> Choice | None:
        """Return a server after all have been tried; one may have returned since."""
        if state.reply.is_started:
            return await self._await_server(state, service)
        await self.env.clock.sleep(RETRIED_SERVER_PAUSE_S)
        return await self.dispatcher.choose(state, service, set())

    async def _await_server(
        self, state: RequestState, service: Service
    ) -> Choice | None:
        """Return a server for a cut stream once one has capacity, None if none will.

        Its caller cannot be told to return: without a server the rest is lost. Servers
        that have refused the stream may take it later.
        """
        clock = self.env.clock
        while state.remaining_s(clock.monotonic_s()) > MIN_RETRY_TIME_S:
            if not self.selector.may_become_usable(state, service, state.failed_ids):
                return None
            await clock.sleep(CAPACITY_POLL_S)
            chosen = await self.dispatcher.choose(state, service, state.failed_ids)
            if chosen is not None:
                return chosen
        return None

    def _retry_after_s(self, service: str) -> float:
        """Return when a server may be asked again, spread over the callers."""
        left_s = self.servers.pause_left_s(service)
        if not left_s:
            return RETRY_AFTER_S
        spread = self.env.random.uniform(1.0, 1.0 + RETRY_SPREAD_SHARE)
        return max(RETRY_AFTER_S, left_s) * spread

    def _report_crash(
        self,
        state: RequestState,
        service: Service,
        server: ServerState,
        failure: BackendError,
        sent_s: float,
    ) -> None:
        """Have a server checked that broke a request off, and its crash reported."""
        if not failure.may_have_run:
            return
        run = BrokenRun(
            state.request.request_id,
            service.name,
            server.server_id,
            server.address,
            _suspect_ids(state, service),
            sent_s,
            self.env.clock.monotonic_s(),
        )
        self.crashes.check_server(run)

    def _handle_failure(
        self,
        state: RequestState,
        service: Service,
        server: ServerState,
        failure: BackendError,
    ) -> None:
        """Return if the request may be retried; otherwise raise its final error."""
        now_s = self.env.clock.monotonic_s()
        ran = failure.may_have_run
        state.tried_ids.add(server.server_id)
        if ran:
            state.failed_ids.add(server.server_id)
        history = AttemptHistory(
            may_repeat=state.route.is_retryable,
            attempt_may_have_run=ran,
            possible_executions=state.possible_executions,
            send_count=state.send_count,
            max_attempts=state.route.max_attempts,
            remaining_s=state.remaining_s(now_s),
            bytes_forwarded=state.reply.is_started,
            can_resume=state.can_resume() and self.resumption.may_go_on(state),
        )
        step = next_step(history)
        reached_server = ran or isinstance(failure, ServerRefusedWork)
        if step is NextStep.RETRY and reached_server:
            if not self.budget.try_acquire(service.name):
                step = NextStep.GIVE_UP
        self._log_failure(state, server, failure, step)
        if step is NextStep.RETRY:
            return
        if state.may_have_run:
            raise RequestFailed(failure.message, reason=failure.code)
        raise NotRun(failure.message, reason=failure.code, retry_after_s=RETRY_AFTER_S)

    def _log_failure(self, state, server, failure, step: NextStep) -> None:
        prompt = state.request.prompt
        log_event(
            self.env.logger,
            "attempt_failed",
            request_id=state.request.request_id,
            server_id=server.server_id,
            address=server.address,
            error=failure.code,
            detail=failure.message,
            may_have_run=failure.may_have_run,
            ran_on=state.possible_executions,
            sends=state.send_count,
            service=state.service,
            shared_parts=[p.part_id for p in prompt.shared_parts()] if prompt else [],
            input_ids=state.input_ids,
            has_events=state.attempt_has_events,
            silent_s=state.silent_s,
            connection_end=state.connection_end,
            outcome=step.value,
        )

    async def _run_attempt(
        self,
        state: RequestState,
        service: Service,
        server: ServerState,
        placement: EnginePlacement | None,
        exchange: Exchange | None,
    ) -> None:
        """Run one attempt; `exchange` is that of a server that has the request."""
        start_s = self.env.clock.monotonic_s() if exchange is None else state.sent_s
        state.attempt_has_events = False
        state.silent_s, state.connection_end = None, ""
        server.running += 1
        release_task, run, failed = None, None, None
        try:
            if exchange is None:
                exchange = await self.dispatcher.open(state, server)
                self.dispatcher.send(state, server, exchange)
            run = self.rollouts.note_sent(server, state.route.name)
            if state.stage_results:
                release_task = asyncio.create_task(
                    self.stages.release_after_fetch(state, exchange)
                )
            wait = ServerWait(self.successors, state, service, server)
            failed = False
            await self._relay_response(wait, exchange, start_s, placement)
            failed = state.outcome.startswith("status_5")
        except (ServerRefusedWork, ServerNotUsable, ResultsLost):
            failed = None
            raise
        except asyncio.CancelledError:
            # At the deadline the server is too slow; earlier the caller has left.
            is_over = (
                state.remaining_s(self.env.clock.monotonic_s()) <= DEADLINE_MARGIN_S
            )
            failed = is_over or None
            raise
        except BackendError as failure:
            failed = True if failure.may_have_run else None
            if exchange is not None:
                state.silent_s = round(exchange.silent_s, 3)
                state.connection_end = exchange.connection_end.value
            if not isinstance(failure, ServerSilent):
                self._record_failure(server, failure)
            raise
        finally:
            server.running -= 1
            self.rollouts.note_end(server, run, failed)
            if release_task is not None:
                release_task.cancel()
            if exchange is not None:
                exchange.close()

    def _record_failure(self, server: ServerState, failure: BackendError) -> None:
        now_s = self.env.clock.monotonic_s()
        if not failure.may_have_run:
            server.record_connection_failure(now_s)
        else:
            server.record_response(False, now_s)

    async def _relay_response(
        self,
        wait: ServerWait,
        exchange: Exchange,
        start_s: float,
        placement: EnginePlacement | None,
    ) -> None:
        """Relay the server's response to the caller."""
        state, server = wait.state, wait.server
        limit_s = response_limit_s(
            state.route, state.possible_executions, server.latency_s
        )
        head = await wait.wait(limit_s, exchange.head(), _is_failure)
        response = decode_response_head(head)
        state.framing = exchange.framing
        check_request_id(state, response)
        self.servers.record_signals(server, response.signals, start_s)
        if response.proves_not_run:
            refusal = self.dispatcher.note_refusal(state, server, response)
            if response.status == RESULTS_GONE_STATUS and state.stage_results:
                raise ResultsLost(
                    "the engine no longer has a stage result", reason="results_gone"
                )
            raise refusal
        if state.reply.is_started and not response.is_success:
            raise ExchangeFailed(
                f"resuming the stream failed with status {response.status}",
                may_have_run=True,
            )
        if not response.is_success:
            self._check_error(state, response)
            body = await wait.wait(limit_s, exchange.error_body())
            self._relay_buffered(state, server, response, body, start_s)
            return
        check_response(response)
        if not state.route.is_stream:
            body = await wait.wait(limit_s, exchange.body())
            self._relay_buffered(state, server, response, body, start_s)
            return
        await self._relay_stream(wait, exchange, response, placement)

    def _check_error(self, state: RequestState, response: ServerResponse) -> None:
        """Raise `ExchangeFailed` if an error is not passed on to the caller.

        Its body is not read then: a server in trouble may send bytes without end.
        """
        check_response(response)
        is_server_error = response.status >= SERVER_ERROR_STATUS
        now_s = self.env.clock.monotonic_s()
        if is_server_error and (
            self._can_retry(state, now_s) or not response.signature
        ):
            raise ExchangeFailed(
                f"server responded with status {response.status}", may_have_run=True
            )

    def _relay_buffered(
        self,
        state: RequestState,
        server: ServerState,
        response: ServerResponse,
        body: bytes,
        start_s: float,
    ) -> None:
        now_s = self.env.clock.monotonic_s()
        failed = response.status >= SERVER_ERROR_STATUS
        server.record_response(not failed, now_s, now_s - start_s)
        state.first_event_s = now_s
        state.outcome = (
            "answered" if response.is_success else f"status_{response.status}"
        )
        state.reply.start(response.status, list(response.headers), body)

    def _can_retry(self, state: RequestState, now_s: float) -> bool:
        return (
            state.route.is_retryable
            and state.possible_executions < state.route.max_attempts
            and state.remaining_s(now_s) > MIN_RETRY_TIME_S
            and self.budget.is_left(state.service)
        )

    async def _relay_stream(
        self,
        wait: ServerWait,
        exchange: Exchange,
        response: ServerResponse,
        placement: EnginePlacement | None,
    ) -> None:
        """Relay events as they arrive.

        The time limits are those between complete events: bytes that complete no event
        are no progress. A stream that ends inside an event was cut, however its
        response was framed.
        """
        splitter = EventSplitter()
        try:
            await self._relay_events(wait, exchange, response, placement, splitter)
        finally:
            splitter.clear()

    async def _relay_events(
        self,
        wait: ServerWait,
        exchange: Exchange,
        response: ServerResponse,
        placement: EnginePlacement | None,
        splitter: EventSplitter,
    ) -> None:
        state, server = wait.state, wait.server
        pieces = exchange.body_chunks()
        limit_s = first_event_limit_s(state.route, state.possible_executions)
        while True:
            events = await wait.wait(
                limit_s,
                _next_events(pieces, splitter),
                lambda events: not events and splitter.is_inside_event(),
            )
            if not events:
                break
            if not state.attempt_has_events:
                await self.resumption.begin(state, server)
                state.attempt_has_events = True
            await self._forward(state, response, events, placement)
            exchange.note_consumed(len(events))
            state.last_event_id = splitter.last_event_id or state.last_event_id
            limit_s = event_gap_limit_s(state.route, state.possible_executions)
        state.incomplete_event_bytes = len(splitter.remainder())
        if splitter.is_inside_event():
            raise ExchangeFailed("stream ended inside an event", may_have_run=True)
        if exchange.framing is Framing.CONNECTION and not state.attempt_has_events:
            # Nothing shows that a closed connection was the end of the stream.
            raise ExchangeFailed("stream ended before any event", may_have_run=True)
        if splitter.remainder():
            await self._forward(state, response, splitter.remainder(), placement)
        if not state.reply.is_started:
            state.reply.start(response.status, list(response.headers))
        server.record_response(True, self.env.clock.monotonic_s())
        state.reply.finish()

    async def _forward(
        self,
        state: RequestState,
        response: ServerResponse,
        events: bytes,
        placement: EnginePlacement | None,
    ) -> None:
        if state.first_event_s is None:
            state.first_event_s = self.env.clock.monotonic_s()
        if placement is not None and not state.first_event_recorded:
            state.first_event_recorded = True
            self.placer.note_first_event(placement)
            # The engine has fetched the stage results.
            self.stages.release_all(state)
        if not state.reply.is_started:
            state.reply.start(response.status, list(response.headers))
        await state.reply.write(events)


async def _next_events(pieces: AsyncIterator[bytes], splitter: EventSplitter) -> bytes:
    """Return the next complete events, b"" once the body has ended."""
    async for chunk in pieces:
        events = splitter.feed(chunk)
        if events:
            return events
    return b""


def _is_failure(head: ResponseHead) -> bool:
    """Return whether a response is worse than what another server may send."""
    return head.status >= SERVER_ERROR_STATUS or head.status in REFUSAL_STATUSES


def _suspect_ids(state: RequestState, service: Service) -> tuple[str, ...]:
    """Return the inputs that may be the cause if a server crashes now.

    A part of the prompt is not, once an engine has begun to respond. Plain servers read
    no prompts.
    """
    if service.engine is not None and not state.attempt_has_events:
        return state.input_ids
    return whole_inputs(state.input_ids)
