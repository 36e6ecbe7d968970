"""Capacity of the stage servers as tracked by the node that batches for them."""

import math
from collections import defaultdict
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.platform.stage_calls import result_server_address
from egretshed.rollouts.gate import RolloutGate
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import (
    ServingConfiguration,
    StageLimits,
)
from egretshed.stage_scheduling.admission import ServiceLoad
from egretshed.stage_scheduling.batching import (
    StageServerView,
    call_time_s,
)
from egretshed.stage_scheduling.calls import SlownessEstimator
from egretshed.stage_scheduling.progress import ProgressTracker
from egretshed.stage_scheduling.result_ledger import ResultLedger

# A server that refused a call gets no other one for this time.
REFUSAL_PAUSE_S = 0.08
# Time for which the throughput of a service is kept: it changes with the servers and
# their speed, and is needed for each decision.
THROUGHPUT_TTL_S = 0.05


class StageCapacity:
    """Running calls, speed and result memory of the stage servers."""

    def __init__(
        self,
        env: Environment,
        configuration: Callable[[], ServingConfiguration | None],
        servers: ServerRegistry,
        progress: ProgressTracker,
        rollouts: RolloutGate | None = None,
    ):
        self.env = env
        self.configuration = configuration
        self.servers = servers
        self.progress = progress
        self.rollouts = rollouts or RolloutGate(env, servers)
        self.ledger = ResultLedger(env)
        self.slowness = SlownessEstimator(env)
        self._calls: dict[str, int] = defaultdict(int)
        self._pause_until_s: dict[str, float] = {}
        # Time of the calculation and throughput in pieces per second, by service.
        self._throughputs: dict[str, tuple[float, float]] = {}

    def limits(self, service: str) -> StageLimits | None:
        """Return the declared limits of a stage service, or None if it has none."""
        configuration = self.configuration()
        declared = configuration and configuration.services.get(service)
        return declared.stage if declared else None

    def has_free_server(self, service: str, limits: StageLimits) -> bool:
        """Return whether any listed server of a service runs fewer calls than it may.

        This is quick, and rules out a dispatch in most cases while servers are busy.
        """
        return any(
            self._calls[server.server_id] < limits.slots
            for server in self.servers.of_service(service)
        )

    def holder_of(self, handle: str) -> ServerState | None:
        """Return the listed stage server that holds a result, or None.

        The address in a handle may have been assigned to another server meanwhile. Of
        results that an earlier owner had made, the server's id is not known here.
        """
        address = result_server_address(handle)
        server_id = self.ledger.server_of(handle)
        configuration = self.configuration()
        for name, service in configuration.services.items() if configuration else ():
            server = self.servers.by_address(name, address) if service.stage else None
            if server is not None and server_id in (None, server.server_id):
                return server
        return None

    def views(self, service: str, limits: StageLimits) -> list[StageServerView]:
        """Return the usable servers that may get a call now.

        Not among them are those that refused a call a moment ago, and those of which
        the limit that they name is used up.
        """
        now_s = self.env.clock.monotonic_s()
        return [
            self.view(server, limits)
            for server in self.rollouts.select_for_calls(
                service, self.servers.usable(service)
            )
            if now_s >= self._pause_until_s.get(server.server_id, 0.0)
            and self.servers.has_sole_permit(server)
        ]

    def view(self, server: ServerState, limits: StageLimits) -> StageServerView:
        server_id = server.server_id
        return StageServerView(
            server_id,
            server.failure_domain,
            self.ledger.available_bytes(server_id, limits.result_capacity_bytes),
            self._calls[server_id],
            self.slowness.estimate(server),
        )

    def load(self, service: str) -> ServiceLoad | None:
        """Return a service's throughput and pending pieces, or None if unknown."""
        limits = self.limits(service)
        if limits is None:
            return None
        return ServiceLoad(
            pieces_per_s=self._pieces_per_s(service, limits),
            call_s=call_time_s(limits, limits.batch_items),
            pending_pieces=self.progress.pending_pieces(service),
        )

    def _pieces_per_s(self, service: str, limits: StageLimits) -> float:
        now_s = self.env.clock.monotonic_s()
        calculated_at_s, pieces_per_s = self._throughputs.get(service, (-math.inf, 0.0))
        if now_s - calculated_at_s < THROUGHPUT_TTL_S:
            return pieces_per_s
        # If no server is usable those in backoff are counted: most servers that have
        # just failed are usable again before the work reaches them. Servers that are
        # leaving, gone or evacuated take no more work.
        servers = self.servers.usable(service)
        servers = servers or self.servers.usable_despite_failures(service)
        servers = self.rollouts.select_for_most(service, servers)
        pieces_per_s = sum(self._server_pieces_per_s(s, limits) for s in servers)
        self._throughputs[service] = (now_s, pieces_per_s)
        return pieces_per_s

    def _server_pieces_per_s(self, server: ServerState, limits: StageLimits) -> float:
        call_s = call_time_s(limits, limits.batch_items)
        calls_per_s = limits.slots / self.slowness.estimate(server) / call_s
        limit_per_s = self.servers.limits.limit_per_s(server)
        if limit_per_s is not None:
            calls_per_s = min(calls_per_s, limit_per_s)
        return calls_per_s * limits.batch_items

    def prune(self) -> None:
        """Drop what is counted on servers that are no longer listed."""
        listed = set(self.servers.servers)
        self.ledger.keep_only(listed)
        self.slowness.keep_only(listed)
        for counts in (self._calls, self._pause_until_s):
            for server_id in [s for s in counts if s not in listed]:
                del counts[server_id]

    def note_call_start(self, server_id: str, size_bytes: int) -> None:
        """Count a call that starts, and reserve memory for its results."""
        self._calls[server_id] += 1
        self.ledger.reserve(server_id, size_bytes)

    def note_call_end(self, server_id: str, size_bytes: int) -> None:
        self._calls[server_id] -= 1
        self.ledger.release(server_id, size_bytes)

    def pause(self, server_id: str) -> None:
        """Send a server no calls for `REFUSAL_PAUSE_S`, since it refused one."""
        now_s = self.env.clock.monotonic_s()
        self._pause_until_s[server_id] = now_s + REFUSAL_PAUSE_S
