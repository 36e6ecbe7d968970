"""Runs the stages before a request and frees their results after it."""

import asyncio

from egretshed.environment import Environment
from egretshed.platform.stage_calls import handle_address
from egretshed.relay.placement import Placement
from egretshed.relay.work import Work
from egretshed.servers.registry import ServerRegistry
from egretshed.serving.schema import Service
from egretshed.stagework.client import (
    StageClient,
    StageContext,
)
from egretshed.stagework.graph import (
    StagePlan,
    plan_stages,
    sink_results,
)

# Time that a request keeps for its model engine when its stages are planned.
ENGINE_TIME_S = 0.25
# Engines fetch the results when a request arrives, before they read its prompt.
FETCH_S = 0.15


class StageRunner:
    """Runs the graph of a request's stages, each as soon as its inputs are there."""

    def __init__(
        self,
        env: Environment,
        client: StageClient,
        placement: Placement,
        servers: ServerRegistry,
    ):
        self.env = env
        self.client = client
        self.placement = placement
        self.servers = servers

    async def run(self, work: Work, service: Service) -> None:
        """Fill `work.stage_results`; raises what `StageClient.run_stage` does."""
        plans = plan_stages(work.route, work.request.piece_counts)
        if not plans:
            return
        context = StageContext(
            request_id=work.request.request_id,
            piece_key=work.request.piece_key,
            deadline_at_s=work.end_s,
            target_at_s=work.target_at_s - ENGINE_TIME_S,
            priority=work.priority,
            preferred_domain=self.placement.home_domain(work, service),
        )
        results: dict[int, tuple[str, ...]] = {}
        finished = {plan.index: asyncio.Event() for plan in plans}
        try:
            async with asyncio.TaskGroup() as group:
                for plan in plans:
                    group.create_task(
                        self._run_stage(work, context, plan, plans, results, finished)
                    )
        except* Exception as failures:
            raise _first(failures) from failures
        work.stage_results = sink_results(
            work.route, work.request.piece_counts, results
        )

    async def _run_stage(
        self,
        work: Work,
        context: StageContext,
        plan: StagePlan,
        plans,
        results,
        finished,
    ) -> None:
        for index in plan.after:
            await finished[index].wait()
        inputs = tuple(handle for index in plan.after for handle in results[index])
        handles = await self.client.run_stage(context, plan, inputs)
        results[plan.index] = handles
        known = work.results_by_service.get(plan.service, ())
        work.results_by_service[plan.service] = known + handles
        finished[plan.index].set()
        self._free_used(work, plan, plans, results)

    def _free_used(self, work: Work, done: StagePlan, plans, results) -> None:
        """Free what only `done` and stages before it needed; room there is scarce."""
        by_index = {plan.index: plan for plan in plans}
        for index in done.after:
            followers = [plan for plan in plans if index in plan.after]
            if all(plan.index in results for plan in followers):
                self._free(work, by_index[index].service, results[index])

    def _free(self, work: Work, service: str, handles: tuple[str, ...]) -> None:
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
                server = self.servers.by_address(service, handle_address(handle))
                if server is not None:
                    domain = server.failure_domain
                    found[domain] = found.get(domain, 0) + sizes[service]
        return found


def _first(failures: BaseExceptionGroup) -> BaseException:
    """Return the first failure of a group of tasks."""
    found = failures.exceptions[0]
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
