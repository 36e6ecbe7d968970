"""The stage graph of a request: which stages run, in which order, on which inputs.

A stage with a piece count of zero is skipped. Each piece of a stage gets the results of
all pieces of all stages that the stage follows.
"""

from collections.abc import Callable
from typing import NamedTuple

from egretshed.serving.schema import Route


class StagePlan(NamedTuple):
    """One stage of one request; `after` are the stages whose results it needs."""

    index: int
    service: str
    after: tuple[int, ...]
    piece_count: int
    result_bytes: int


def plan_stages(route: Route, piece_counts: tuple[int, ...]) -> list[StagePlan]:
    """Return the stages of a request in the order of `route.stages`.

    A stage without a stated count has one piece. A stage that follows a skipped one
    follows the predecessors of the skipped stage instead.
    """
    counts = [
        piece_counts[index] if index < len(piece_counts) else 1
        for index in range(len(route.stages))
    ]
    plans = []
    for index, stage in enumerate(route.stages):
        if counts[index] == 0:
            continue
        after = _present(route, counts, stage.after)
        plans.append(
            StagePlan(index, stage.service, after, counts[index], stage.result_bytes)
        )
    return plans


def heights(plans: list[StagePlan]) -> dict[int, int]:
    """Return the number of stages on the longest path from each stage to a sink.

    The stages may be declared in any order.
    """
    found = {plan.index: 1 for plan in plans}
    for _ in plans:
        for plan in plans:
            for index in plan.after:
                found[index] = max(found[index], found[plan.index] + 1)
    return found


def stages_to_await(plan: StagePlan, plans: list[StagePlan]) -> tuple[int, ...]:
    """Return the stages that must be done before `plan` starts.

    A stage without predecessors waits for all stages of greater height: a short branch
    that starts together with a longer one would only hold its results in the stage
    servers' memory until the longer one is done.
    """
    if plan.after:
        return plan.after
    height = heights(plans)
    own_height = height[plan.index]
    return tuple(p.index for p in plans if height[p.index] > own_height)


def downstream_s(
    plans: list[StagePlan], stage_s: Callable[[StagePlan], float]
) -> dict[int, float]:
    """Return how long the stages downstream of each stage take, on the longest path.

    `stage_s` returns the duration of one stage.
    """
    found = {plan.index: 0.0 for plan in plans}
    for _ in plans:
        for plan in plans:
            for index in plan.after:
                with_plan_s = stage_s(plan) + found[plan.index]
                found[index] = max(found[index], with_plan_s)
    return found


def sink_results(
    route: Route, piece_counts: tuple[int, ...], results: dict[int, tuple[str, ...]]
) -> tuple[str, ...]:
    """Return the results of the sink stages, ordered by stage and piece."""
    counts = [
        piece_counts[index] if index < len(piece_counts) else 1
        for index in range(len(route.stages))
    ]
    needed = _present(route, counts, route.sink_stages())
    return tuple(handle for index in needed for handle in results.get(index, ()))


def _present(
    route: Route, counts: list[int], indexes: tuple[int, ...]
) -> tuple[int, ...]:
    """Return `indexes` with each skipped stage replaced by its predecessors."""
    found: dict[int, None] = {}
    for index in indexes:
        if counts[index] > 0:
            found[index] = None
        else:
            found |= dict.fromkeys(_present(route, counts, route.stages[index].after))
    return tuple(sorted(found))
