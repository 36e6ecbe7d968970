"""Runs the stages that a request depends on and releases their results afterwards."""

import asyncio
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.platform.stage_calls import result_server_address
from egretshed.quarantine.inputs import whole_inputs
from egretshed.relay.request_state import RequestState
from egretshed.relay.server_selection import ServerSelector
from egretshed.servers.registry import ServerRegistry
from egretshed.serving.schema import (
    Service,
    ServingConfiguration,
)
from egretshed.stage_scheduling.batching import (
    LARGE_TRANSFER_BYTES,
    call_time_s,
)
from egretshed.stage_scheduling.client import (
    StageClient,
    StageContext,
    StageInputs,
)
from egretshed.stage_scheduling.graph import (
    StagePlan,
    downstream_s,
    plan_stages,
    sink_results,
    stages_to_await,
)
from egretshed.upstream.exchange import Exchange

# Planning of stages reserves this time for the model engine, plus the prefill of the
# prompt at this rate, which assumes that parts of the prompt are cached.
ENGINE_OVERHEAD_S = 0.08
PROMPT_TOKENS_PER_S = 60_000.0
# Rate at which an engine generates one response while it serves others as well.
OUTPUT_TOKENS_PER_S = 250.0
# Engines fetch stage results when a request arrives, before they process the prompt.
RESULT_FETCH_S = 0.05


class StageRunner:
    """Runs the stage graphs of requests, each stage as soon as its inputs are ready."""

    def __init__(
        self,
        env: Environment,
        client: StageClient,
        selector: ServerSelector,
        servers: ServerRegistry,
        configuration: Callable[[], ServingConfiguration | None],
    ):
        self.env = env
        self.client = client
        self.selector = selector
        self.servers = servers
        self.configuration = configuration

    async def run(self, state: RequestState, service: Service) -> None:
        """Set `state.stage_results`; raises the errors of `StageClient.run_stage`."""
        plans = plan_stages(state.route, state.request.piece_counts)
        if not plans:
            return
        context = StageContext(
            request_id=state.request.request_id,
            piece_key=state.request.piece_key,
            priority=state.priority,
            input_ids=whole_inputs(state.input_ids),
        )
        await _StageGraphRun(self, state, context, plans, service).run()

    def release_handles(
        self, state: RequestState, service: str, handles: tuple[str, ...]
    ) -> None:
        """Release the results `handles` of a service that the request holds."""
        held = state.results_by_service.get(service, ())
        kept = tuple(handle for handle in held if handle not in handles)
        state.results_by_service[service] = kept
        self.client.free(service, handles)

    async def release_after_fetch(
        self, state: RequestState, exchange: Exchange
    ) -> None:
        """Release all results after the time that the engine needs to fetch them.

        An engine whose link is silent gets the request later.
        """
        await self.env.clock.sleep(RESULT_FETCH_S)
        while not exchange.is_acknowledged():
            await self.env.clock.sleep(RESULT_FETCH_S)
        self.release_all(state)

    def release_all(self, state: RequestState) -> None:
        """Release all results that the request still holds."""
        for service, handles in state.results_by_service.items():
            self.client.free(service, handles)
        state.results_by_service.clear()

    def bytes_by_domain(self, state: RequestState) -> dict[str, int]:
        """Return the size of the request's stage results in each failure domain."""
        sizes = {stage.service: stage.result_bytes for stage in state.route.stages}
        total_bytes: dict[str, int] = {}
        for service, handles in state.results_by_service.items():
            for handle in handles:
                domain = self.result_domain(service, handle)
                total_bytes[domain] = total_bytes.get(domain, 0) + sizes[service]
        return total_bytes

    def stage_duration_s(self, plan: StagePlan) -> float:
        """Return the duration of a stage on an idle server, 0 if it is unknown."""
        configuration = self.configuration()
        service = configuration and configuration.services.get(plan.service)
        if not service or service.stage is None:
            return 0.0
        pieces = min(plan.piece_count, service.stage.batch_items)
        return call_time_s(service.stage, pieces)

    def result_domain(self, service: str, handle: str) -> str:
        """Return the failure domain of the server that holds a result.

        Returns "" if the server is no longer listed.
        """
        server = self.servers.by_address(service, result_server_address(handle))
        return server.failure_domain if server is not None else ""


class _StageGraphRun:
    """One execution of the stage graph of a request."""

    def __init__(
        self,
        runner: StageRunner,
        state: RequestState,
        context: StageContext,
        plans: list[StagePlan],
        service: Service,
    ):
        self.runner = runner
        self.state = state
        self.context = context
        self.plans = plans
        self.service = service
        self.rest_s = downstream_s(plans, runner.stage_duration_s)
        self.results: dict[int, tuple[str, ...]] = {}
        self.finished = {plan.index: asyncio.Event() for plan in plans}

    async def run(self) -> None:
        try:
            async with asyncio.TaskGroup() as group:
                for plan in self.plans:
                    group.create_task(self._run_stage(plan))
        except* Exception as failures:
            raise _first_exception(failures) from failures
        state = self.state
        state.stage_results = sink_results(
            state.route, state.request.piece_counts, self.results
        )

    async def _run_stage(self, plan: StagePlan) -> None:
        for index in stages_to_await(plan, self.plans):
            await self.finished[index].wait()
        inputs = self._inputs(plan)
        if plan.result_bytes >= LARGE_TRANSFER_BYTES and not plan.after:
            domain = await self.runner.selector.expected_domain(
                self.state, self.service
            )
            inputs = inputs._replace(
                preferred_domain=domain, far_bytes=plan.result_bytes
            )
        handles = await self.runner.client.run_stage(self.context, plan, inputs)
        self.results[plan.index] = handles
        held = self.state.results_by_service
        held[plan.service] = held.get(plan.service, ()) + handles
        self.finished[plan.index].set()
        self._release_consumed(plan)

    def _inputs(self, plan: StagePlan) -> StageInputs:
        """Return the inputs of a stage and its preferred failure domain.

        That is the domain with most input bytes, since each piece fetches all inputs.
        """
        state = self.state
        first_event_s = _first_event_s(state)
        rest_s = self.rest_s[plan.index]
        inputs = StageInputs(
            deadline_at_s=state.deadline_at_s
            - first_event_s
            - output_s(state)
            - rest_s,
            target_at_s=state.target_at_s - first_event_s - rest_s,
            needs=tuple(p for p in self.plans if p.index not in self.results),
            has_begun=bool(self.results),
        )
        if not plan.after:
            return inputs
        sizes: dict[str, int] = {}
        for index in plan.after:
            stage = state.route.stages[index]
            for handle in self.results[index]:
                domain = self.runner.result_domain(stage.service, handle)
                sizes[domain] = sizes.get(domain, 0) + stage.result_bytes
        best = max(sizes, key=sizes.get, default="")
        return inputs._replace(
            handles=tuple(h for index in plan.after for h in self.results[index]),
            preferred_domain=best,
            far_bytes=sizes.get(best, 0),
        )

    def _release_consumed(self, finished_plan: StagePlan) -> None:
        """Release the inputs of `finished_plan` that no unfinished stage needs.

        Servers have little memory for results, so this does not wait for the request.
        """
        services = {plan.index: plan.service for plan in self.plans}
        for index in finished_plan.after:
            followers = [plan for plan in self.plans if index in plan.after]
            if all(plan.index in self.results for plan in followers):
                self.runner.release_handles(
                    self.state, services[index], self.results[index]
                )


def _first_event_s(state: RequestState) -> float:
    """Return the expected time from sending the request to its first event."""
    prompt = state.request.prompt
    tokens = prompt.prompt_tokens if prompt is not None else 0
    return ENGINE_OVERHEAD_S + tokens / PROMPT_TOKENS_PER_S


def output_s(state: RequestState) -> float:
    """Return the expected time from the first event to the last."""
    prompt = state.request.prompt
    tokens = prompt.output_tokens if prompt is not None else 0
    return tokens / OUTPUT_TOKENS_PER_S


def _first_exception(failures: BaseExceptionGroup) -> BaseException:
    """Return the first exception in a possibly nested group."""
    found = failures.exceptions[0]
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
