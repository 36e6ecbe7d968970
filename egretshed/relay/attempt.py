"""Sends a request to one server after another until one answers or none may.

A request that must not be repeated is sent on a new connection, and never again once a
byte of it may have reached a server, unless the server proves that it did not run it.
"""

import asyncio

from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    NotRun,
    RequestFailed,
    ResultsLost,
    ServerRefusedWork,
)
from egretshed.logs import log_event
from egretshed.placement.engines import (
    EnginePlacement,
    EnginePlacer,
)
from egretshed.platform.requests import (
    decode_answer,
    encode_forward,
)
from egretshed.relay.events import EventSplitter
from egretshed.relay.next_step import (
    AttemptHistory,
    NextStep,
    next_step,
)
from egretshed.relay.request import (
    ForwardFields,
    ServerResponse,
)
from egretshed.relay.request_state import Work
from egretshed.relay.server_selection import ServerSelector
from egretshed.relay.stages import StageRunner
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Service
from egretshed.upstream.exchange import (
    Exchange,
    ExchangeFailed,
)
from egretshed.upstream.pool import ConnectionPool

MAX_ANSWER_BYTES = 64 * 1024 * 1024
# When to come back if every server refused.
RETRY_AFTER_S = 0.25
# A repeatable request waits this many usual answer times, and a moment, for a server
# that may have died.
PATIENCE_FACTOR = 5.0
PATIENCE_MIN_S = 0.25
# A resumable stream waits this many objectives for its first event, and this many of
# its longest pauses for each further one.
FIRST_EVENT_PATIENCE = 1.3
PAUSE_PATIENCE = 2.5
PAUSE_PATIENCE_MIN_S = 0.8
MISDIRECTED = 421
# The engine found that a result that it needs is no longer kept.
RESULTS_GONE = 409
# Statuses that promise that a request did not run; only the server's own proof counts.
UNTRUE_STATUSES = frozenset({408, 421, 429, 503})
# A server that was full gets no work of this node for a moment.
FULL_PAUSE_S = 0.05
SERVER_ERROR = 500


class AttemptRunner:
    """The attempts of requests at the servers of their service."""

    def __init__(
        self,
        env: Environment,
        servers: ServerRegistry,
        selector: ServerSelector,
        placer: EnginePlacer,
        stages: StageRunner,
        pool: ConnectionPool,
        budget: SharedRetryBudget,
    ):
        self.env = env
        self.servers = servers
        self.selector = selector
        self.placer = placer
        self.stages = stages
        self.pool = pool
        self.budget = budget

    async def run(self, work: Work, service: Service) -> None:
        """Answer the caller; raises `NotRun`, `ResultsLost` or `RequestFailed`."""
        while True:
            server, placement = await self._choose(work, service)
            try:
                await self._attempt(work, server, placement)
                return
            except BackendError as failure:
                self._after_failure(work, service, server, failure)
            finally:
                if placement is not None:
                    self.placer.note_end(placement)

    async def _choose(
        self, work: Work, service: Service
    ) -> tuple[ServerState, EnginePlacement | None]:
        sizes = self.stages.bytes_by_domain(work)
        chosen = await self.selector.choose(work, service, work.tried, sizes)
        if chosen is None and work.tried:
            # Every server was tried; one of them may have room by now.
            chosen = await self.selector.choose(work, service, set(), sizes)
        if chosen is None:
            if work.may_have_run:
                raise RequestFailed("no server is left", reason="no_server")
            raise NotRun(
                "no server can take the request",
                reason="no_server",
                retry_after_s=RETRY_AFTER_S,
            )
        self.servers.acquire_cold_permit(chosen[0], service.cold_requests_per_s)
        return chosen

    def _after_failure(
        self, work: Work, service: Service, server: ServerState, failure: BackendError
    ) -> None:
        """Return if the request may be sent once more; raise its final error."""
        now_s = self.env.clock.monotonic_s()
        ran = failure.may_have_run
        work.tried.add(server.server_id)
        history = AttemptHistory(
            may_repeat=work.route.is_retryable,
            may_have_run_now=ran,
            ran_on=work.ran_on,
            sends=work.sends,
            max_attempts=work.route.max_attempts,
            remaining_s=work.remaining_s(now_s),
            bytes_forwarded=work.reply.is_started,
            is_resumable=work.may_resume(),
        )
        step = next_step(history)
        reached_server = ran or isinstance(failure, ServerRefusedWork)
        if step is NextStep.RETRY and reached_server:
            if not self.budget.try_acquire(service.name):
                step = NextStep.GIVE_UP
        self._log_failure(work, server, failure, step)
        if step is NextStep.RETRY:
            return
        if work.may_have_run:
            raise RequestFailed(failure.message, reason=failure.code)
        raise NotRun(failure.message, reason=failure.code, retry_after_s=RETRY_AFTER_S)

    def _log_failure(self, work, server, failure, step: NextStep) -> None:
        log_event(
            self.env.logger,
            "attempt_failed",
            request_id=work.request.request_id,
            server_id=server.server_id,
            address=server.address,
            error=failure.code,
            detail=failure.message,
            may_have_run=failure.may_have_run,
            ran_on=work.ran_on,
            sends=work.sends,
            service=work.service,
            outcome=step.value,
        )

    async def _attempt(
        self, work: Work, server: ServerState, placement: EnginePlacement | None
    ) -> None:
        began_s = self.env.clock.monotonic_s()
        server.running += 1
        exchange = fetched = None
        try:
            exchange = await self._send(work, server)
            if work.stage_results:
                fetched = asyncio.create_task(self.stages.release_when_fetched(work))
            await self._answer(work, server, exchange, began_s, placement)
        except (ServerRefusedWork, ResultsLost):
            raise
        except BackendError as failure:
            self._note_failure(server, failure)
            raise
        finally:
            server.running -= 1
            if fetched is not None:
                fetched.cancel()
            if exchange is not None:
                exchange.close()

    def _note_failure(self, server: ServerState, failure: BackendError) -> None:
        now_s = self.env.clock.monotonic_s()
        if not failure.may_have_run:
            server.record_connection_failure(now_s)
        else:
            server.record_response(False, now_s)

    async def _send(self, work: Work, server: ServerState) -> Exchange:
        exchange = await self.pool.open(server.address, MAX_ANSWER_BYTES)
        now_s = self.env.clock.monotonic_s()
        fields = ForwardFields(
            server_id=server.server_id,
            remaining_s=work.remaining_s(now_s),
            customer=work.customer.name if work.customer else "",
            priority=work.priority if work.route.is_stream else None,
            stage_results=work.stage_results,
            last_event_id=work.last_event_id,
        )
        work.sends += 1
        work.ran_on += 1
        work.server_id = server.server_id
        exchange.send(encode_forward(work.request, fields))
        return exchange

    async def _answer(
        self, work: Work, server: ServerState, exchange: Exchange, began_s, placement
    ) -> None:
        """Relay the server's answer to the caller."""
        patience_s = self._head_patience_s(work, server)
        head = await self._within(patience_s, exchange.head())
        answer = decode_answer(head)
        now_s = self.env.clock.monotonic_s()
        if answer.load is not None:
            server.record_load(answer.load, now_s)
        if answer.request_id not in ("", work.request.request_id):
            raise ExchangeFailed("answer to another request", may_have_run=True)
        if answer.proves_not_run:
            work.ran_on -= 1
            if answer.status == RESULTS_GONE and work.stage_results:
                raise ResultsLost("a stage result is gone", reason="results_gone")
            self._note_refusal(server, answer, now_s)
            raise ServerRefusedWork(
                f"server answered {answer.status}",
                status=answer.status,
                may_have_run=False,
            )
        if work.reply.is_started and not answer.is_success:
            raise ExchangeFailed(f"resume answered {answer.status}", may_have_run=True)
        if not work.route.is_stream or not answer.is_success:
            await self._relay_whole(work, server, exchange, answer, began_s)
            return
        await self._relay_stream(work, server, exchange, answer, placement)

    def _note_refusal(
        self, server: ServerState, answer: ServerResponse, now_s: float
    ) -> None:
        if answer.status == MISDIRECTED:
            # Another server has the address now.
            server.record_connection_failure(now_s)
        else:
            server.backoff_until_s = max(server.backoff_until_s, now_s + FULL_PAUSE_S)

    async def _relay_whole(
        self, work: Work, server: ServerState, exchange: Exchange, answer, began_s
    ) -> None:
        body = await exchange.body()
        now_s = self.env.clock.monotonic_s()
        self._check_answer(answer, work)
        failed = answer.status >= SERVER_ERROR
        server.record_response(not failed, now_s, now_s - began_s)
        if failed and self._worth_another(work, now_s):
            raise ExchangeFailed(f"server answered {answer.status}", may_have_run=True)
        if failed and not answer.signature:
            raise ExchangeFailed(f"server answered {answer.status}", may_have_run=True)
        work.first_event_s = now_s
        work.outcome = "answered" if answer.is_success else f"status_{answer.status}"
        work.reply.start(answer.status, list(answer.headers), body)

    def _check_answer(self, answer: ServerResponse, work: Work) -> None:
        """Raise if the answer cannot be the whole answer to this request."""
        if answer.is_encoded:
            raise ExchangeFailed("answer has a content encoding", may_have_run=True)
        if answer.is_success and not answer.signature:
            raise ExchangeFailed("answer has no signature", may_have_run=True)
        if answer.status in UNTRUE_STATUSES:
            # The server may have run the request, so its refusal must not be passed on.
            raise ExchangeFailed(f"server answered {answer.status}", may_have_run=True)

    def _worth_another(self, work: Work, now_s: float) -> bool:
        return (
            work.route.is_retryable
            and work.ran_on < work.route.max_attempts
            and work.remaining_s(now_s) > PATIENCE_MIN_S
        )

    async def _relay_stream(
        self, work: Work, server: ServerState, exchange: Exchange, answer, placement
    ) -> None:
        self._check_answer(answer, work)
        splitter = EventSplitter()
        pieces = exchange.pieces()
        patience_s = self._first_event_patience_s(work)
        while True:
            try:
                chunk = await self._within(patience_s, anext(pieces))
            except StopAsyncIteration:
                break
            whole = splitter.feed(chunk)
            if not whole:
                continue
            await self._forward(work, answer, whole, placement)
            work.last_event_id = splitter.last_event_id or work.last_event_id
            patience_s = self._pause_patience_s(work)
        if splitter.rest():
            await self._forward(work, answer, splitter.rest(), placement)
        if not work.reply.is_started:
            work.reply.start(answer.status, list(answer.headers))
        server.record_response(True, self.env.clock.monotonic_s())
        work.reply.finish()

    async def _forward(
        self,
        work: Work,
        answer: ServerResponse,
        events: bytes,
        placement: EnginePlacement | None,
    ) -> None:
        if work.first_event_s is None:
            work.first_event_s = self.env.clock.monotonic_s()
        if placement is not None and not work.first_event_noted:
            work.first_event_noted = True
            self.placer.note_first_event(placement)
            # The engine has fetched the results that it needs.
            self.stages.release(work)
        if not work.reply.is_started:
            work.reply.start(answer.status, list(answer.headers))
        await work.reply.write(events)

    async def _within(self, patience_s: float | None, awaitable):
        """Await; raise `ExchangeFailed` once a server was silent for too long."""
        try:
            async with asyncio.timeout(patience_s):
                return await awaitable
        except TimeoutError:
            raise ExchangeFailed("server was silent", may_have_run=True) from None

    def _head_patience_s(self, work: Work, server: ServerState) -> float | None:
        if not work.route.is_retryable or work.ran_on >= work.route.max_attempts:
            return None
        if work.route.is_stream:
            return self._first_event_patience_s(work)
        return max(PATIENCE_MIN_S, PATIENCE_FACTOR * server.latency_s)

    def _first_event_patience_s(self, work: Work) -> float | None:
        if not self._may_resume(work):
            return None
        return max(
            PAUSE_PATIENCE_MIN_S, FIRST_EVENT_PATIENCE * work.route.latency_target_s
        )

    def _pause_patience_s(self, work: Work) -> float | None:
        if not self._may_resume(work):
            return None
        return max(
            PAUSE_PATIENCE_MIN_S, PAUSE_PATIENCE * work.route.event_interval_target_s
        )

    def _may_resume(self, work: Work) -> bool:
        route = work.route
        return route.is_resumable and work.ran_on < route.max_attempts
