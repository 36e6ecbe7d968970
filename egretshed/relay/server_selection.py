"""Selects the server of each attempt from the usable servers of a service."""

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.placement.engine_choice import engine_order
from egretshed.placement.engines import (
    EnginePlacement,
    EnginePlacer,
    EngineQuery,
)
from egretshed.placement.replica_choice import (
    ReplicaCandidate,
    choose_replica,
)
from egretshed.placement.version_choice import lone_versions
from egretshed.relay.request_state import RequestState
from egretshed.rollouts.gate import RolloutGate
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Service


class ServerSelector:
    """Selects servers with the policies for plain replicas and model engines."""

    def __init__(
        self,
        env: Environment,
        servers: ServerRegistry,
        placer: EnginePlacer,
        rollouts: RolloutGate | None = None,
    ):
        self.env = env
        self.servers = servers
        self.rollouts = rollouts or RolloutGate(env, servers)
        self.placer = placer

    async def choose(
        self,
        state: RequestState,
        service: Service,
        tried_ids: set[str],
        bytes_by_domain: dict[str, int],
    ) -> tuple[ServerState, EnginePlacement | None] | None:
        """Return the server for the next attempt, or None if none is available.

        For an engine, the reservation made by its service's owner is returned as well;
        it is None if no owner answered.
        """
        usable = self.usable_servers(state, service, tried_ids)
        if not usable:
            return None
        if service.engine is None or state.request.prompt is None:
            return self._choose_plain(state, usable), None
        return await self._choose_engine(state, service, usable, bytes_by_domain)

    async def expected_domain(self, state: RequestState, service: Service) -> str:
        """Return the failure domain of the engine that would get the prompt now, or "".

        Large stage results are best produced there: reusing a shared part of the prompt
        that an engine has cached saves more than being close to the results.
        """
        prompt = state.request.prompt
        usable = (
            self.usable_servers(state, service, set()) if prompt is not None else []
        )
        if not usable:
            return ""
        by_id = {server.server_id: server for server in usable}
        query = self._query(state, service, by_id, {})._replace(is_dry_run=True)
        placement = await self.placer.place(query)
        if placement is not None and placement.server_id in by_id:
            return by_id[placement.server_id].failure_domain
        order = engine_order(prompt.affinity_key(), by_id)
        return by_id[order[0]].failure_domain

    def has_server(self, state: RequestState, service: Service) -> bool:
        """Return whether any server may take the request, cold or in backoff included.

        Without one, stages that are run for the request are wasted.
        """
        regions = state.route.regions
        return bool(self.servers.usable_despite_failures(service.name, regions))

    def usable_servers(
        self, state: RequestState, service: Service, tried_ids
    ) -> list[ServerState]:
        """Return the servers that this node may send the request to now."""
        servers = self.servers.usable(service.name, state.route.regions)
        if not servers:
            # Trying a server that was recently unreachable is better than refusing.
            servers = self.servers.usable_despite_failures(
                service.name, state.route.regions
            )
        rate_per_s = service.cold_requests_per_s
        found = [
            server
            for server in servers
            if server.server_id not in tried_ids
            and self.servers.has_send_permit(server, rate_per_s)
        ]
        return self._with_allowed_version(state, service, found, bool(tried_ids))

    def may_become_usable(
        self, state: RequestState, service: Service, excluded_ids: set[str]
    ) -> bool:
        """Return whether a server is ready that may lack capacity only for now."""
        found = [
            server
            for server in self.servers.usable_despite_failures(
                service.name, state.route.regions
            )
            if server.server_id not in excluded_ids
        ]
        is_repeated = bool(excluded_ids)
        return bool(self._with_allowed_version(state, service, found, is_repeated))

    def _with_allowed_version(
        self,
        state: RequestState,
        service: Service,
        found: list[ServerState],
        is_repeated: bool,
    ) -> list[ServerState]:
        """Return the servers at whose software version the request may run.

        A stream that has begun stays at its version. One that may be resumed begins at
        a version that others serve as well, if possible. During a rollout, a part of
        the new requests may go to the new version.
        """
        if state.bound_version is not None:
            return self.rollouts.select_for_resumption(
                service.name, state.bound_version, found
            )
        found = self.rollouts.select(
            service.name, state.request.request_id, is_repeated, found
        )
        if not (state.route.is_stream and state.route.is_resumable):
            return found
        lone = lone_versions(s.listed for s in self.servers.of_service(service.name))
        return [s for s in found if s.listed.version not in lone] or found

    def _choose_plain(
        self, state: RequestState, usable: list[ServerState]
    ) -> ServerState:
        now_s = self.env.clock.monotonic_s()
        by_id = {server.server_id: server for server in usable}
        candidates = [plain_candidate(server, now_s) for server in usable]
        chosen = choose_replica(candidates, self.env.random)
        log_event(
            self.env.logger,
            "placement_decision",
            request_id=state.request.request_id,
            service=state.service,
            server_id=chosen.server_id,
            latency_s=round(chosen.latency_s, 4),
            failure_share=round(chosen.failure_share, 3),
            running_here=chosen.running_here,
            observed_age_s=round(chosen.observed_age_s, 3),
            report_age_s=round(chosen.report_age_s, 3),
            slowness=round(chosen.slowness, 2),
            candidates=len(candidates),
        )
        return by_id[chosen.server_id]

    async def _choose_engine(
        self, state: RequestState, service: Service, usable, bytes_by_domain
    ) -> tuple[ServerState, EnginePlacement | None]:
        by_id = {server.server_id: server for server in usable}
        query = self._query(state, service, by_id, bytes_by_domain)
        placement = await self.placer.place(query)
        if placement is not None and placement.server_id in by_id:
            return by_id[placement.server_id], placement
        if placement is not None:
            self.placer.note_end(placement)
        order = engine_order(state.request.prompt.affinity_key(), by_id)
        log_event(
            self.env.logger,
            "placement_decision",
            request_id=state.request.request_id,
            service=service.name,
            server_id=order[0],
            candidates=len(usable),
            reason="no_owner_answered",
        )
        return by_id[order[0]], None

    def _query(
        self,
        state: RequestState,
        service: Service,
        by_id: dict[str, ServerState],
        bytes_by_domain: dict[str, int],
    ) -> EngineQuery:
        now_s = self.env.clock.monotonic_s()
        listed = self.servers.of_service(service.name)
        return EngineQuery(
            state.request.request_id,
            service.name,
            state.request.prompt.parts,
            state.target_at_s - now_s,
            state.remaining_s(now_s),
            frozenset(s.server_id for s in listed if s.server_id not in by_id),
            bytes_by_domain,
        )


def plain_candidate(server: ServerState, now_s: float) -> ReplicaCandidate:
    """Return the view of a server that the policy for plain replicas ranks by."""
    return ReplicaCandidate(
        server_id=server.server_id,
        latency_s=server.latency_s,
        observed_age_s=now_s - server.observed_at_s,
        failure_share=server.failure_share,
        slots=server.listed.slots,
        running_here=server.running,
        reported_busy=server.reported_load.busy if server.reported_load else 0,
        report_age_s=now_s - server.reported_at_s,
        latency_slowness=server.latency_slowness,
        slowness=server.slowness(now_s),
    )
