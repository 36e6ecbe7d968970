"""Weighs a cached beginning of a prompt against the wait, in seconds of callers' time.

Load pattern: many callers share the beginnings of their prompts, a few of them far more
often than the rest. Sending each one to the engine that has its beginning cached makes
queues there; sending each one where the queue is shortest makes every engine read every
beginning, and push others out of its memory. The cost counts both in the same unit, so
that a hot part gets a second engine while the first still keeps up, and a rare one
doesn't.
"""

from typing import NamedTuple

# Delay of a running stream for each second of prefill on its engine, in seconds: chunks
# of prompts are prefilled between its tokens, most of which its caller holds in hand.
STREAM_DELAY_SHARE = 0.06
# Seconds of waiting that one second counts for after the first event is late.
LATE_SECONDS = 4.0
# Share of the slack that the first event may take before it counts as late.
FIRST_EVENT_SLACK_SHARE = 0.6
# Wait for stage results that are moved between failure domains.
TRANSFER_S_PER_MB = 0.03
# Wait for another engine after this one has failed.
RETRY_WAIT_S = 2.0
COLD_WAIT_S = 0.4
# Wait for a slot, for each request beyond the engine's slots.
SLOT_WAIT_S = 0.15
# Time to the first event besides prefill: set-up and one decoding step.
FIRST_EVENT_BASE_S = 0.03
# Utilisation from which on an engine is not expected to be idle again soon.
MAX_UTILISATION = 0.9
# Fullness of the engines that hold a part from which on a further copy is worth having.
SPREAD_FROM_FULLNESS = 0.5


class EngineView(NamedTuple):
    """State of one candidate engine; `backlog_s` is the prefill time queued there.

    `queued` are the requests that wait for their prefill, `arrivals_per_s` the rate of
    placements on an average engine of the service, and `utilisation` the share of the
    time that it prefills. `dropped_s` is the prefill time,
    weighed by how likely it is asked for soon, of the parts that the prompt would push
    out of the engine's memory. `spread_s` is the prefill time that a copy of the shared
    parts on this engine is expected to save those who ask for them soon, 0 if it has
    them.
    """

    server_id: str
    failure_domain: str
    backlog_s: float
    prefill_s: float  # of this prompt, less what the engine has cached
    running: int
    slots: int
    slowness: float
    failure_share: float
    is_cold: bool
    queued: int = 0
    arrivals_per_s: float = 0.0
    utilisation: float = 0.0
    dropped_s: float = 0.0
    spread_s: float = 0.0


class PlacementNeeds(NamedTuple):
    """Inputs of the choice that depend on the request."""

    affinity_key: str
    slack_s: float  # time until its first event is late
    bytes_by_domain: dict[str, int]


class WaitingCost(NamedTuple):
    """Seconds of callers' time that a placement takes, by who waits."""

    own_s: float
    others_s: float
    later_s: float

    @property
    def total_s(self) -> float:
        return self.own_s + self.others_s + self.later_s


def first_event_s(engine: EngineView) -> float:
    """Return the expected time until the engine sends the first event of the prompt."""
    return FIRST_EVENT_BASE_S + (engine.backlog_s + engine.prefill_s) * engine.slowness


def waiting_cost(needs: PlacementNeeds, engine: EngineView) -> WaitingCost:
    """Return the seconds that the request and others wait if the engine gets it."""
    return WaitingCost(
        _own_wait_s(needs, engine), _others_wait_s(engine), _later_wait_s(engine)
    )


def _own_wait_s(needs: PlacementNeeds, engine: EngineView) -> float:
    far_bytes = 0
    if needs.bytes_by_domain:
        near_bytes = needs.bytes_by_domain.get(engine.failure_domain, 0)
        far_bytes = sum(needs.bytes_by_domain.values()) - near_bytes
    event_s = first_event_s(engine)
    wait_s = (
        event_s
        + TRANSFER_S_PER_MB * far_bytes / 1e6
        + RETRY_WAIT_S * engine.failure_share
        + SLOT_WAIT_S * max(0, engine.running + 1 - engine.slots)
        + (COLD_WAIT_S if engine.is_cold else 0.0)
    )
    on_time_s = FIRST_EVENT_SLACK_SHARE * max(0.0, needs.slack_s)
    return wait_s + LATE_SECONDS * max(0.0, event_s - on_time_s)


def _others_wait_s(engine: EngineView) -> float:
    """Return what the prefill adds to the waits of running streams and later prompts.

    All prompts that arrive until the engine is idle again are later by the prefill:
    those that arrive during the backlog, and during the prefills that these add.
    """
    prefill_s = engine.prefill_s * engine.slowness
    busy_s = (engine.backlog_s + engine.prefill_s) * engine.slowness
    busy_s /= 1.0 - min(MAX_UTILISATION, engine.utilisation)
    behind = engine.arrivals_per_s * busy_s
    streams = max(0, engine.running - engine.queued)
    return prefill_s * (behind + STREAM_DELAY_SHARE * streams)


def _later_wait_s(engine: EngineView) -> float:
    return (engine.dropped_s - engine.spread_s) * engine.slowness


def spread_gain_s(
    shared_s: float, asks_soon: float, holder_fullness: list[float]
) -> float:
    """Return the prefill time that one more copy of a part saves those who ask soon.

    `shared_s` is the part's prefill time, `asks_soon` how many ask for it within the
    time that is looked ahead, `holder_fullness` the used shares of the engines that
    have it. Nothing is saved while one of them has room, nor for a part that nobody
    has: its first copy is paid by the prompt itself.

    Example: `spread_gain_s(0.3, 2.0, [0.75])` is 0.15, as half of one more prefill.
    """
    if not holder_fullness:
        return 0.0
    pressure = (min(holder_fullness) - SPREAD_FROM_FULLNESS) / (
        1.0 - SPREAD_FROM_FULLNESS
    )
    return shared_s * min(1.0, asks_soon) * min(1.0, max(0.0, pressure))
