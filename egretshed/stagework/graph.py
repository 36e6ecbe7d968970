"""Which pieces of a request's stages are needed, and what each one is given.

A stage whose count of pieces is zero is left out. A stage that follows others is given
the results of all pieces of all stages that it follows.
"""

from collections.abc import Callable
from typing import NamedTuple

from egretshed.serving.schema import Route


class StagePlan(NamedTuple):
    """One stage of one request, with the number of its pieces."""

    index: int
    service: str
    after: tuple[int, ...]
    piece_count: int
    result_bytes: int


def plan_stages(route: Route, piece_counts: tuple[int, ...]) -> list[StagePlan]:
    """Return the stages that the request has, in an order in which they can run.

    A stage without a stated count has one piece. A stage that follows a left-out one
    follows the stages before that one instead.
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
    """Return for each stage the number of stages on its longest way to the request.

    The stages may be declared in any order.
    """
    found = {plan.index: 1 for plan in plans}
    for _ in plans:
        for plan in plans:
            for index in plan.after:
                found[index] = max(found[index], found[plan.index] + 1)
    return found


def stages_to_await(plan: StagePlan, plans: list[StagePlan]) -> tuple[int, ...]:
    """Return the stages that must be done before `plan` is worth beginning.

    A short branch that began beside a longer one would only hold its results in their
    makers' memory until the longer one is done.
    """
    if plan.after:
        return plan.after
    height = heights(plans)
    own = height[plan.index]
    return tuple(p.index for p in plans if height[p.index] > own)


def downstream_s(
    plans: list[StagePlan], stage_s: Callable[[StagePlan], float]
) -> dict[int, float]:
    """Return for each stage how long the stages after it take, on the longest way."""
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
    """Return the handles that the request itself is given, by stage and piece."""
    counts = [
        piece_counts[index] if index < len(piece_counts) else 1
        for index in range(len(route.stages))
    ]
    needed = _present(route, counts, route.sink_stages())
    return tuple(handle for index in needed for handle in results.get(index, ()))


def _present(
    route: Route, counts: list[int], indexes: tuple[int, ...]
) -> tuple[int, ...]:
    found: dict[int, None] = {}
    for index in indexes:
        if counts[index] > 0:
            found[index] = None
        else:
            found |= dict.fromkeys(_present(route, counts, route.stages[index].after))
    return tuple(sorted(found))
