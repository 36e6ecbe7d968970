"""Runs the stages before a request and frees their results after it."""

import asyncio
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.platform.stage_calls import handle_address
from egretshed.relay.request_state import Work
from egretshed.relay.server_selection import ServerSelector
from egretshed.servers.registry import ServerRegistry
from egretshed.serving.schema import (
    Service,
    ServingConfiguration,
)
from egretshed.stagework.batching import (
    LARGE_TRANSFER_BYTES,
    call_time_s,
)
from egretshed.stagework.client import (
    StageClient,
    StageContext,
    StageInputs,
)
from egretshed.stagework.graph import (
    StagePlan,
    downstream_s,
    plan_stages,
    sink_results,
    stages_to_await,
)

# Time that a request keeps for its model engine when its stages are planned, and the
# speed at which the engine is expected to read the prompt, with parts of it kept.
ENGINE_TIME_S = 0.08
PROMPT_TOKENS_PER_S = 60_000.0
# Speed at which an engine makes the tokens of one answer beside those of others.
OUTPUT_TOKENS_PER_S = 250.0
# Engines fetch the results when a request arrives, before they read its prompt.
FETCH_S = 0.05


class StageRunner:
    """Runs the graphs of requests' stages, each stage once its inputs are there."""

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

    async def run(self, work: Work, service: Service) -> None:
        """Fill `work.stage_results`; raises what `StageClient.run_stage` does."""
        plans = plan_stages(work.route, work.request.piece_counts)
        if not plans:
            return
        context = StageContext(
            request_id=work.request.request_id,
            piece_key=work.request.piece_key,
            priority=work.priority,
        )
        await _GraphRun(self, work, context, plans, service).run()

    def free(self, work: Work, service: str, handles: tuple[str, ...]) -> None:
        """Free some results that the request holds."""
        held = work.results_by_service.get(service, ())
        kept = tuple(handle for handle in held if handle not in handles)
        work.results_by_service[service] = kept
        self.client.free(service, handles)

    async def release_when_fetched(self, work: Work) -> None:
        """Free the results once the engine has had the time to fetch them."""
        await self.env.clock.sleep(FETCH_S)
        self.release(work)

    def release(self, work: Work) -> None:
        """Free all results that the request still holds."""
        for service, handles in work.results_by_service.items():
            self.client.free(service, handles)
        work.results_by_service.clear()

    def bytes_by_domain(self, work: Work) -> dict[str, int]:
        """Return how many bytes of results lie in which failure domain."""
        sizes = {stage.service: stage.result_bytes for stage in work.route.stages}
        found: dict[str, int] = {}
        for service, handles in work.results_by_service.items():
            for handle in handles:
                domain = self.domain_of(service, handle)
                found[domain] = found.get(domain, 0) + sizes[service]
        return found

    def stage_s(self, plan: StagePlan) -> float:
        """Return how long a stage takes at a server that is free."""
        configuration = self.configuration()
        service = configuration and configuration.services.get(plan.service)
        if not service or service.stage is None:
            return 0.0
        pieces = min(plan.piece_count, service.stage.batch_items)
        return call_time_s(service.stage, pieces)

    def domain_of(self, service: str, handle: str) -> str:
        """Return the failure domain of a result's maker, or "" if it has gone."""
        server = self.servers.by_address(service, handle_address(handle))
        return server.failure_domain if server is not None else ""


class _GraphRun:
    """One request's stages while they run."""

    def __init__(
        self,
        runner: StageRunner,
        work: Work,
        context: StageContext,
        plans: list[StagePlan],
        service: Service,
    ):
        self.runner = runner
        self.work = work
        self.context = context
        self.plans = plans
        self.service = service
        self.rest_s = downstream_s(plans, runner.stage_s)
        self.results: dict[int, tuple[str, ...]] = {}
        self.finished = {plan.index: asyncio.Event() for plan in plans}

    async def run(self) -> None:
        try:
            async with asyncio.TaskGroup() as group:
                for plan in self.plans:
                    group.create_task(self._run_stage(plan))
        except* Exception as failures:
            raise _first(failures) from failures
        work = self.work
        work.stage_results = sink_results(
            work.route, work.request.piece_counts, self.results
        )

    async def _run_stage(self, plan: StagePlan) -> None:
        for index in stages_to_await(plan, self.plans):
            await self.finished[index].wait()
        inputs = self._inputs(plan)
        if plan.result_bytes >= LARGE_TRANSFER_BYTES and not plan.after:
            domain = await self.runner.selector.expected_domain(self.work, self.service)
            inputs = inputs._replace(
                preferred_domain=domain, far_bytes=plan.result_bytes
            )
        handles = await self.runner.client.run_stage(self.context, plan, inputs)
        self.results[plan.index] = handles
        held = self.work.results_by_service
        held[plan.service] = held.get(plan.service, ()) + handles
        self.finished[plan.index].set()
        self._free_used(plan)

    def _inputs(self, plan: StagePlan) -> StageInputs:
        """Return a stage's inputs and the failure domain that moves the fewest bytes.

        Each piece fetches all inputs.
        """
        work = self.work
        first_event_s = _first_event_s(work)
        rest_s = self.rest_s[plan.index]
        inputs = StageInputs(
            deadline_at_s=work.end_s - first_event_s - _output_s(work) - rest_s,
            target_at_s=work.target_at_s - first_event_s - rest_s,
            needs=tuple(p for p in self.plans if p.index not in self.results),
            has_begun=bool(self.results),
        )
        if not plan.after:
            return inputs
        sizes: dict[str, int] = {}
        for index in plan.after:
            stage = work.route.stages[index]
            for handle in self.results[index]:
                domain = self.runner.domain_of(stage.service, handle)
                sizes[domain] = sizes.get(domain, 0) + stage.result_bytes
        best = max(sizes, key=sizes.get, default="")
        return inputs._replace(
            handles=tuple(h for index in plan.after for h in self.results[index]),
            preferred_domain=best,
            far_bytes=sizes.get(best, 0),
        )

    def _free_used(self, done: StagePlan) -> None:
        """Free what only `done` and stages before it needed; room there is scarce."""
        services = {plan.index: plan.service for plan in self.plans}
        for index in done.after:
            followers = [plan for plan in self.plans if index in plan.after]
            if all(plan.index in self.results for plan in followers):
                self.runner.free(self.work, services[index], self.results[index])


def _first_event_s(work: Work) -> float:
    """Return how long the engine takes to send the first event."""
    prompt = work.request.prompt
    tokens = prompt.prompt_tokens if prompt is not None else 0
    return ENGINE_TIME_S + tokens / PROMPT_TOKENS_PER_S


def _output_s(work: Work) -> float:
    """Return how long the engine takes from the first event to the last."""
    prompt = work.request.prompt
    tokens = prompt.output_tokens if prompt is not None else 0
    return tokens / OUTPUT_TOKENS_PER_S


def _first(failures: BaseExceptionGroup) -> BaseException:
    """Return the first failure of a group of tasks."""
    found = failures.exceptions[0]
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
