"""Chooses a model engine for one prompt.

Load pattern: long prompts that share most of their tokens, in a burst of one kind. A
shared part that is read on every engine costs each of them a third of a second a
request, so requests with the same shared part go to the same engine while its backlog is
shorter than reading the part elsewhere; then to the next one in a fixed order, so that
spilled requests meet there again. The order comes from rendezvous hashing: all nodes
agree on it without a message.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Reading speed of an engine until its own is known.
PROMPT_TOKENS_PER_S = 40_000.0
# What a running request costs another one on the same engine, in seconds of delay.
RUNNING_COST_S = 0.004
# Cost of a replica that fails everything, in seconds.
FAILURE_COST_S = 2.0
# Seconds of delay that a megabyte of stage results across failure domains is worth.
TRANSFER_COST_S_PER_MB = 0.02
COLD_COST_S = 0.5


class EngineCandidate(NamedTuple):
    """One usable engine; `backlog_s` is the prompt reading that waits there."""

    server_id: str
    failure_domain: str
    backlog_s: float
    running: int
    slots: int
    failure_share: float
    slowness: float
    has_prefix: bool
    is_cold: bool = False


class PromptCost(NamedTuple):
    """What reading a prompt costs, with and without its shared part kept."""

    affinity_key: str
    shared_tokens: int
    own_tokens: int


def engine_order(affinity_key: str, server_ids: Iterable[str]) -> list[str]:
    """Return the engines in the order in which a shared part prefers them."""
    return sorted(
        server_ids,
        key=lambda server_id: xxhash.xxh64_intdigest(f"{affinity_key}/{server_id}".encode()),
    )


def first_event_s(
    prompt: PromptCost, engine: EngineCandidate, tokens_per_s: float
) -> float:
    """Return the expected time until an engine sends the first event."""
    tokens = prompt.own_tokens + (0 if engine.has_prefix else prompt.shared_tokens)
    reading_s = tokens / tokens_per_s * engine.slowness
    full = max(0, engine.running + 1 - engine.slots)
    return (
        engine.backlog_s * engine.slowness
        + reading_s
        + RUNNING_COST_S * (engine.running + 20 * full)
    )


def choose_engine(
    prompt: PromptCost,
    engines: list[EngineCandidate],
    bytes_by_domain: dict[str, int],
    tokens_per_s: float = PROMPT_TOKENS_PER_S,
) -> EngineCandidate | None:
    """Return the engine with the least expected cost, or None if there is none.

    `bytes_by_domain` says where the results lie that the engine must fetch.
    """
    if not engines:
        return None
    order = engine_order(prompt.affinity_key, (e.server_id for e in engines))
    rank = {server_id: place for place, server_id in enumerate(order)}
    total_bytes = sum(bytes_by_domain.values())

    def cost(engine: EngineCandidate) -> tuple:
        far_bytes = total_bytes - bytes_by_domain.get(engine.failure_domain, 0)
        seconds = (
            first_event_s(prompt, engine, tokens_per_s)
            + FAILURE_COST_S * engine.failure_share
            + TRANSFER_COST_S_PER_MB * far_bytes / 1e6
            + (COLD_COST_S if engine.is_cold else 0.0)
        )
        return seconds, rank[engine.server_id]

    return min(engines, key=cost)
