"""Finds a second server for a request whose server is silent.

Load pattern: many servers are silent for a second or so, while the others are full, of
another software version, or cannot be reached. A request is taken from its server only
once another one has got it and has not refused it, or has responded; until then both
are awaited.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    EgretshedError,
    InputQuarantined,
    ServerRefusedWork,
)
from egretshed.logs import log_event
from egretshed.placement.engines import EnginePlacement
from egretshed.platform.http_messages import decode_response_head
from egretshed.relay.dispatch import (
    SERVER_ERROR_STATUS,
    Dispatcher,
    ServerNotUsable,
    check_request_id,
    check_response,
)
from egretshed.relay.next_step import (
    AttemptHistory,
    NextStep,
    next_step,
)
from egretshed.relay.request_state import RequestState
from egretshed.relay.stages import StageRunner
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Service
from egretshed.upstream.exchange import (
    Exchange,
    ExchangeFailed,
)

# Time for which a stream may be at two servers. A server that refuses does so at once,
# and two must not work on a stream for 0.4 s.
REFUSAL_WAIT_S = 0.2
# With less time than this left, no second server is sought.
MIN_SEARCH_TIME_S = 0.3
# With less time than this left, stages are not run again.
MIN_STAGE_RERUN_S = 1.0


class SendRecord(NamedTuple):
    """The fields of `RequestState` on its last send."""

    server_id: str
    sent_s: float
    sent_wall_ms: int

    @classmethod
    def of(cls, state: RequestState) -> "SendRecord":
        return cls(state.server_id, state.sent_s, state.sent_wall_ms)

    def restore(self, state: RequestState) -> None:
        state.server_id, state.sent_s, state.sent_wall_ms = self


class Successor(NamedTuple):
    """A server that has been sent the request, and has not refused it.

    `previous` is the send to the silent server.
    """

    server: ServerState
    placement: EnginePlacement | None
    exchange: Exchange
    previous: SendRecord


class ServerSilent(BackendError):
    """A server was silent, and `successor` has the request now."""

    code = "server_silent"

    def __init__(self, successor: Successor):
        super().__init__("timed out waiting for the server", may_have_run=True)
        self.successor = successor


class SuccessorFinder:
    """Searches for successors; `may_go_on` tells whether a stream may be resumed."""

    def __init__(
        self,
        env: Environment,
        dispatcher: Dispatcher,
        stages: StageRunner,
        budget: SharedRetryBudget,
        may_go_on: Callable[[RequestState], bool],
    ):
        self.env = env
        self.dispatcher = dispatcher
        self.stages = stages
        self.budget = budget
        self.may_go_on = may_go_on

    async def find(
        self, state: RequestState, service: Service, silent: ServerState
    ) -> Successor | None:
        """Return a successor of `silent`, or None if the request must wait for it."""
        excluded_ids = {*state.tried_ids, silent.server_id}
        outcome = "not_allowed"
        successor = None
        while successor is None and self._is_allowed(state):
            successor, outcome, server = await self._try_one(
                state, service, excluded_ids
            )
            if server is None:
                break
            excluded_ids.add(server.server_id)
        self._record(state, outcome, successor)
        return successor

    async def stop(self, search: asyncio.Task, state: RequestState) -> None:
        """End a search of which nobody takes the result."""
        search.cancel()
        await asyncio.wait({search})
        if search.cancelled() or search.exception() is not None:
            return
        successor = search.result()
        if successor is not None:
            successor.exchange.close()
            self.dispatcher.end_placement(successor.placement)
            successor.previous.restore(state)
            self._record(state, "dismissed", successor)

    def _is_allowed(self, state: RequestState) -> bool:
        remaining_s = state.remaining_s(self.env.clock.monotonic_s())
        if remaining_s < MIN_SEARCH_TIME_S:
            return False
        history = AttemptHistory(
            may_repeat=state.route.is_retryable,
            attempt_may_have_run=True,
            possible_executions=state.possible_executions,
            send_count=state.send_count,
            max_attempts=state.route.max_attempts,
            remaining_s=remaining_s,
            bytes_forwarded=state.reply.is_started,
            can_resume=state.can_resume() and self.may_go_on(state),
        )
        return next_step(history) is NextStep.RETRY

    async def _try_one(
        self, state: RequestState, service: Service, excluded_ids: set[str]
    ) -> tuple[Successor | None, str, ServerState | None]:
        """Try one server; return the successor, the outcome, and the server tried."""
        if not self.budget.is_left(service.name):
            return None, "no_budget", None
        if not self.dispatcher.selector.usable_servers(state, service, excluded_ids):
            return None, "no_server", None
        if not await self._restore_results(state, service):
            return None, "no_results", None
        try:
            chosen = await self.dispatcher.choose(state, service, excluded_ids)
        except EgretshedError as refusal:
            # The request is not to be placed any more; its first server goes on.
            return None, refusal.code, None
        if chosen is None:
            return None, "no_server", None
        server, placement = chosen
        exchange = None
        is_kept = False
        previous = SendRecord.of(state)
        try:
            exchange = await self.dispatcher.open(state, server)
            if not self.budget.try_acquire(service.name):
                return None, "no_budget", None
            self.dispatcher.send(state, server, exchange)
            is_kept = await self._is_accepted(state, server, exchange)
        except InputQuarantined:
            return None, "quarantined", None
        except BackendError as failure:
            self._record_failure(server, failure)
            return None, failure.code, server
        finally:
            if not is_kept:
                previous.restore(state)
                self.dispatcher.end_placement(placement)
                if exchange is not None:
                    exchange.close()
        return Successor(server, placement, exchange, previous), "moved", server

    async def _is_accepted(
        self, state: RequestState, server: ServerState, exchange: Exchange
    ) -> bool:
        """Wait for a refusal or failure; raise `ServerRefusedWork` or `ExchangeFailed`.

        A stream has been accepted by a server that does not respond in time. Any other
        request may be at two servers until one of them responds.
        """
        limit_s = REFUSAL_WAIT_S if state.route.is_stream else None
        try:
            async with asyncio.timeout(limit_s):
                response = decode_response_head(await exchange.head())
        except TimeoutError:
            return True
        check_request_id(state, response)
        if response.proves_not_run:
            self.dispatcher.servers.record_signals(
                server, response.signals, state.sent_s
            )
            raise self.dispatcher.note_refusal(state, server, response)
        check_response(response)
        if response.status >= SERVER_ERROR_STATUS:
            raise ExchangeFailed(
                f"server responded with status {response.status}", may_have_run=True
            )
        return True

    def _record_failure(self, server: ServerState, failure: BackendError) -> None:
        now_s = self.env.clock.monotonic_s()
        if failure.may_have_run:
            server.record_response(False, now_s)
        elif not isinstance(failure, (ServerRefusedWork, ServerNotUsable)):
            server.record_connection_failure(now_s)

    async def _restore_results(self, state: RequestState, service: Service) -> bool:
        """Run the stages again if their results were released; return whether they are.

        The first server has fetched them, and they are not kept for a second one.
        """
        if not state.stage_results or state.results_by_service:
            return True
        remaining_s = state.remaining_s(self.env.clock.monotonic_s())
        if (
            state.has_rerun_stages
            or remaining_s < MIN_STAGE_RERUN_S
            or not self.budget.try_acquire(service.name)
        ):
            return False
        state.has_rerun_stages = True
        try:
            await self._run_stages(state, service)
        except EgretshedError as error:
            log_event(
                self.env.logger,
                "stage_results_lost",
                request_id=state.request.request_id,
                reason=error.code,
                remaining_s=round(remaining_s, 3),
                outcome="wait_for_server",
            )
            return False
        return True

    async def _run_stages(self, state: RequestState, service: Service) -> None:
        """Run the stages; hold all of their results afterwards, or none."""
        try:
            await self.stages.run(state, service)
        except BaseException:
            self.stages.release_all(state)
            raise

    def _record(
        self, state: RequestState, outcome: str, successor: Successor | None
    ) -> None:
        """Count a search, and log its outcome if the one before had another."""
        self.env.metrics.counter(
            "silent_server_searches_total",
            "Searches for another server while one is silent",
            ("outcome",),
        ).labels(outcome).inc()
        if outcome == state.silence_outcome and successor is None:
            return
        state.silence_outcome = outcome
        silent_id = successor.previous.server_id if successor else state.server_id
        log_event(
            self.env.logger,
            "server_silent",
            request_id=state.request.request_id,
            server_id=silent_id,
            service=state.service,
            has_events=state.attempt_has_events,
            sends=state.send_count,
            successor_id=successor.server.server_id if successor else "",
            outcome=outcome,
        )
