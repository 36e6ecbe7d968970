"""Chooses a model engine for one prompt.

Load pattern: long prompts that share most of their tokens, in a burst of one kind. A
shared part that is read on every engine costs each of them a third of a second a
request, so the engine that spends the least time on a prompt gets it, unless the first
event would then be late or the engine has a long backlog: prompts that are read one
after the other slow down all tokens that the engine makes meanwhile.
"""

from typing import NamedTuple

import xxhash

# What a second of an engine's backlog counts beside a second of reading.
BACKLOG_WEIGHT = 0.5
# What a second of reading counts for each request whose tokens it delays.
DELAY_WEIGHT = 0.06
# What a second of expected lateness counts.
LATE_WEIGHT = 4.0
# Part of the time left that a first event may be expected to take.
TARGET_SHARE = 0.6
# Seconds that a megabyte of stage results across failure domains counts.
TRANSFER_S_PER_MB = 0.03
FAILURE_COST_S = 2.0
COLD_COST_S = 0.4
# Cost of an engine whose batch is full, for each request beyond it.
FULL_COST_S = 0.15
# Time to the first event beside reading: set-up and one step.
BASE_S = 0.03


class EngineView(NamedTuple):
    """One engine that may be chosen; `backlog_s` is the reading that waits there."""

    server_id: str
    failure_domain: str
    backlog_s: float
    reading_s: float  # of this prompt, with what the engine keeps of it
    running: int
    slots: int
    slowness: float
    failure_share: float
    is_cold: bool


class PlacementNeeds(NamedTuple):
    """What a request needs of its engine."""

    affinity_key: str
    slack_s: float  # time left until its first event is late
    bytes_by_domain: dict[str, int]


def engine_order(affinity_key: str, server_ids) -> list[str]:
    """Return the engines in the order in which a shared part prefers them.

    All nodes agree on it without a message.
    """
    return sorted(
        server_ids,
        key=lambda server_id: xxhash.xxh64_intdigest(
            f"{affinity_key}/{server_id}".encode()
        ),
    )


def first_event_s(engine: EngineView) -> float:
    """Return the expected time until the engine sends the first event."""
    return BASE_S + (engine.backlog_s + engine.reading_s) * engine.slowness


def engine_cost_s(needs: PlacementNeeds, engine: EngineView) -> float:
    """Return what the request costs on this engine, in seconds of engine time."""
    reading_s = engine.reading_s * engine.slowness
    late_s = max(0.0, first_event_s(engine) - TARGET_SHARE * max(0.0, needs.slack_s))
    far_bytes = sum(
        size
        for domain, size in needs.bytes_by_domain.items()
        if domain != engine.failure_domain
    )
    return (
        reading_s * (1 + DELAY_WEIGHT * engine.running)
        + BACKLOG_WEIGHT * engine.backlog_s * engine.slowness
        + LATE_WEIGHT * late_s
        + TRANSFER_S_PER_MB * far_bytes / 1e6
        + FAILURE_COST_S * engine.failure_share
        + FULL_COST_S * max(0, engine.running + 1 - engine.slots)
        + (COLD_COST_S if engine.is_cold else 0.0)
    )


def choose_engine(
    needs: PlacementNeeds, engines: list[EngineView]
) -> EngineView | None:
    """Return the engine with the least cost, or None if there is none.

    Engines that cost the same are taken in the order of the shared part, so that
    requests that share it meet.
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
