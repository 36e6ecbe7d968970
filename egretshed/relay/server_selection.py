"""Gathers what is known of a service's servers and asks the placement decisions."""

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
from egretshed.relay.request_state import Work
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Service


class ServerSelector:
    """Chooses the server of each attempt."""

    def __init__(self, env: Environment, servers: ServerRegistry, placer: EnginePlacer):
        self.env = env
        self.servers = servers
        self.placer = placer

    async def choose(
        self,
        work: Work,
        service: Service,
        tried: set[str],
        bytes_by_domain: dict[str, int],
    ) -> tuple[ServerState, EnginePlacement | None] | None:
        """Return the server for the next attempt, or None if none can take it."""
        usable = self.usable(work, service, tried)
        if not usable:
            return None
        if service.engine is None or work.request.prompt is None:
            return self._plain(work, usable), None
        return await self._engine(work, service, usable, bytes_by_domain)

    async def expected_domain(self, work: Work, service: Service) -> str:
        """Return the failure domain of the engine that a prompt would go to now, or "".

        Large results are best made there: an engine that keeps a shared part of the
        prompt saves more than results that lie near another one.
        """
        prompt = work.request.prompt
        usable = self.usable(work, service, set()) if prompt is not None else []
        if not usable:
            return ""
        by_id = {server.server_id: server for server in usable}
        query = self._query(work, service, by_id, {})._replace(is_dry_run=True)
        placement = await self.placer.place(query)
        if placement is not None and placement.server_id in by_id:
            return by_id[placement.server_id].failure_domain
        order = engine_order(prompt.affinity_key(), by_id)
        return by_id[order[0]].failure_domain

    def usable(self, work: Work, service: Service, tried) -> list[ServerState]:
        """Return the servers that this node may send the request to now."""
        found = self.servers.usable(service.name, work.route.regions)
        if not found:
            # A server that could not be reached lately is better than a refusal.
            found = self.servers.usable_despite_failures(
                service.name, work.route.regions
            )
        rate_per_s = service.cold_requests_per_s
        return [
            server
            for server in found
            if server.server_id not in tried
            and self.servers.has_cold_permit(server, rate_per_s)
        ]

    def _plain(self, work: Work, usable: list[ServerState]) -> ServerState:
        now_s = self.env.clock.monotonic_s()
        by_id = {server.server_id: server for server in usable}
        candidates = [plain_candidate(server, now_s) for server in usable]
        chosen = choose_replica(candidates, self.env.random)
        log_event(
            self.env.logger,
            "placement_decision",
            request_id=work.request.request_id,
            service=work.service,
            server_id=chosen.server_id,
            latency_s=round(chosen.latency_s, 4),
            failure_share=round(chosen.failure_share, 3),
            running_here=chosen.running_here,
            observed_age_s=round(chosen.observed_age_s, 3),
            report_age_s=round(chosen.report_age_s, 3),
            candidates=len(candidates),
        )
        return by_id[chosen.server_id]

    async def _engine(
        self, work: Work, service: Service, usable, bytes_by_domain
    ) -> tuple[ServerState, EnginePlacement | None]:
        by_id = {server.server_id: server for server in usable}
        query = self._query(work, service, by_id, bytes_by_domain)
        placement = await self.placer.place(query)
        if placement is not None and placement.server_id in by_id:
            return by_id[placement.server_id], placement
        if placement is not None:
            self.placer.note_end(placement)
        order = engine_order(work.request.prompt.affinity_key(), by_id)
        log_event(
            self.env.logger,
            "placement_decision",
            request_id=work.request.request_id,
            service=service.name,
            server_id=order[0],
            candidates=len(usable),
            reason="no_owner_answered",
        )
        return by_id[order[0]], None

    def _query(
        self,
        work: Work,
        service: Service,
        by_id: dict[str, ServerState],
        bytes_by_domain: dict[str, int],
    ) -> EngineQuery:
        now_s = self.env.clock.monotonic_s()
        listed = self.servers.of_service(service.name)
        return EngineQuery(
            work.request.request_id,
            service.name,
            work.request.prompt.parts,
            work.target_at_s - now_s,
            work.remaining_s(now_s),
            frozenset(s.server_id for s in listed if s.server_id not in by_id),
            bytes_by_domain,
        )


def plain_candidate(server: ServerState, now_s: float) -> ReplicaCandidate:
    """Return what the choice of a plain replica needs to know of a server."""
    return ReplicaCandidate(
        server_id=server.server_id,
        latency_s=server.latency_s,
        observed_age_s=now_s - server.observed_at_s,
        failure_share=server.failure_share,
        slots=server.listed.slots,
        running_here=server.running,
        reported_busy=sum(server.reported_load[:2]) if server.reported_load else 0,
        report_age_s=now_s - server.reported_at_s,
    )
