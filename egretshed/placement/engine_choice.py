"""Chooses a model engine for one prompt.

Load pattern: a burst of requests of one kind with long prompts that share most of their
tokens. Prefilling a shared part costs an engine a third of a second, so the engine with
the least prefill time gets the prompt, unless the callers would wait longer for it
altogether: see `waiting_cost`.
"""

import xxhash

from egretshed.placement.waiting_cost import (
    EngineView,
    PlacementNeeds,
    waiting_cost,
)


def engine_order(affinity_key: str, server_ids) -> list[str]:
    """Return the engines in rendezvous-hashing order for a shared prompt part.

    All nodes compute the same order without communication.
    """
    return sorted(
        server_ids,
        key=lambda server_id: xxhash.xxh64_intdigest(
            f"{affinity_key}/{server_id}".encode()
        ),
    )


def choose_engine(
    needs: PlacementNeeds, engines: list[EngineView]
) -> EngineView | None:
    """Return the engine with the least cost, or None without candidates.

    Costs are compared to 10 ms. Ties are broken by the order of `engine_order`, so that
    requests with the same shared part go to the same engine.
    """
    if not engines:
        return None
    costs = [round(waiting_cost(needs, engine).total_s, 2) for engine in engines]
    least = min(costs)
    equal = {
        engine.server_id: engine
        for engine, cost in zip(engines, costs, strict=True)
        if cost == least
    }
    return equal[engine_order(needs.affinity_key, equal)[0]]
