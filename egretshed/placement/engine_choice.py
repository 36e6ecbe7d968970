"""Chooses a model engine for one prompt.

Load pattern: a burst of requests of one kind with long prompts that share most of their
tokens. Prefilling a shared part costs an engine a third of a second, so the engine with
the least prefill time gets the prompt, unless its first event would be late or the
engine has a long prefill backlog: queued prefills delay all tokens that the engine
generates meanwhile.
"""

from typing import NamedTuple

import xxhash

# Cost of a second of backlog relative to a second of prefill.
BACKLOG_WEIGHT = 0.5
# Cost of a second of prefill for each running request whose tokens it delays.
DELAY_WEIGHT = 0.06
# Cost of each second by which the first event is expected to be late.
LATENESS_WEIGHT = 4.0
# Share of the slack that the first event may take before it counts as late.
FIRST_EVENT_SLACK_SHARE = 0.6
# Cost of moving stage results between failure domains.
TRANSFER_S_PER_MB = 0.03
FAILURE_COST_S = 2.0
COLD_COST_S = 0.4
# Cost of each request beyond the engine's slots.
FULL_BATCH_COST_S = 0.15
# Time to the first event besides prefill: set-up and one decoding step.
FIRST_EVENT_BASE_S = 0.03


class EngineView(NamedTuple):
    """State of one candidate engine; `backlog_s` is the prefill time queued there."""

    server_id: str
    failure_domain: str
    backlog_s: float
    prefill_s: float  # of this prompt, less what the engine has cached
    running: int
    slots: int
    slowness: float
    failure_share: float
    is_cold: bool


class PlacementNeeds(NamedTuple):
    """Inputs of the choice that depend on the request."""

    affinity_key: str
    slack_s: float  # time until its first event is late
    bytes_by_domain: dict[str, int]


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


def first_event_s(engine: EngineView) -> float:
    """Return the expected time until the engine sends the first event of the prompt."""
    return FIRST_EVENT_BASE_S + (engine.backlog_s + engine.prefill_s) * engine.slowness


def engine_cost_s(needs: PlacementNeeds, engine: EngineView) -> float:
    """Return the cost of the request on this engine, in seconds of engine time."""
    prefill_s = engine.prefill_s * engine.slowness
    late_s = max(
        0.0, first_event_s(engine) - FIRST_EVENT_SLACK_SHARE * max(0.0, needs.slack_s)
    )
    far_bytes = sum(
        size
        for domain, size in needs.bytes_by_domain.items()
        if domain != engine.failure_domain
    )
    return (
        prefill_s * (1 + DELAY_WEIGHT * engine.running)
        + BACKLOG_WEIGHT * engine.backlog_s * engine.slowness
        + LATENESS_WEIGHT * late_s
        + TRANSFER_S_PER_MB * far_bytes / 1e6
        + FAILURE_COST_S * engine.failure_share
        + FULL_BATCH_COST_S * max(0, engine.running + 1 - engine.slots)
        + (COLD_COST_S if engine.is_cold else 0.0)
    )


def choose_engine(
    needs: PlacementNeeds, engines: list[EngineView]
) -> EngineView | None:
    """Return the engine with the least cost, or None without candidates.

    Costs are compared to 10 ms. Ties are broken by the order of `engine_order`, so that
    requests with the same shared part go to the same engine.
    """
    order = engine_order(needs.affinity_key, (e.server_id for e in engines))
    rank = {server_id: place for place, server_id in enumerate(order)}
    return min(
        engines,
        key=lambda engine: (
            round(engine_cost_s(needs, engine), 2),
            rank[engine.server_id],
        ),
        default=None,
    )
