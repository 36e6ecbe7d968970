"""Collects what is believed of each engine into the inputs of its choice."""

from egretshed.placement.engine_tracker import EngineTracker
from egretshed.placement.waiting_cost import EngineView
from egretshed.relay.request import PromptPart
from egretshed.servers.state import ServerState
from egretshed.serving.schema import EngineLimits


def engine_views(
    tracker: EngineTracker,
    servers: list[ServerState],
    parts: tuple[PromptPart, ...],
    limits: EngineLimits,
    now_s: float,
) -> list[EngineView]:
    """Return the engines among which the prompt `parts` is placed at `now_s`."""
    shared = parts[:-1]
    spread_s = tracker.spread_s(shared, limits)
    arrivals_per_s = tracker.arrivals_per_s(len(servers))
    utilisation = tracker.utilisation(len(servers))
    views = []
    for server in servers:
        server_id = server.server_id
        has_part = bool(shared) and tracker.has_part(server_id, shared[-1].part_id)
        view = EngineView(
            server_id,
            server.failure_domain,
            tracker.backlog_s(server_id),
            tracker.prefill_s(server_id, parts),
            tracker.running(server_id),
            limits.slots,
            _slowness(server, tracker),
            server.failure_share,
            server.is_cold(now_s),
            tracker.queued(server_id),
            arrivals_per_s,
            utilisation,
            tracker.dropped_s(server_id, parts, limits.cache_tokens),
            0.0 if has_part else spread_s,
        )
        views.append(view)
    return views


def _slowness(server: ServerState, tracker: EngineTracker) -> float:
    """Return how many times slower than expected the server is now.

    The one place at which further sources of an engine's slowness join.
    """
    return tracker.slowness(server.server_id)
