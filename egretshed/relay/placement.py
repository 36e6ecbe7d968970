"""Gathers what is known of the servers of a service and asks the placement decisions."""

from collections import OrderedDict

from egretshed.environment import Environment
from egretshed.relay.request import Prompt
from egretshed.relay.work import Work
from egretshed.routing.engine_placement import (
    PROMPT_TOKENS_PER_S,
    EngineCandidate,
    PromptCost,
    choose_engine,
    engine_order,
)
from egretshed.routing.plain_placement import (
    PlainCandidate,
    choose_plain,
)
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Service

# Shared parts remembered an engine; the least recently used ones are forgotten.
REMEMBERED_PARTS = 64
# A backlog that other nodes reported is older than this node's own sends.
PROMPT_S_PER_WAITING = 0.08


class Placement:
    """Chooses the server of each attempt and remembers where prompts were read."""

    def __init__(self, env: Environment, servers: ServerRegistry):
        self.env = env
        self.servers = servers
        self._parts: dict[str, OrderedDict[str, None]] = {}

    def choose(
        self,
        work: Work,
        service: Service,
        tried: set[str],
        bytes_by_domain: dict[str, int],
    ) -> ServerState | None:
        """Return the server for the next attempt, or None if none can take it."""
        usable = self._usable(work, service, tried)
        if not usable:
            return None
        if service.engine is not None and work.request.prompt is not None:
            return self._engine(work.request.prompt, usable, service, bytes_by_domain)
        return self._plain(usable)

    def home_domain(self, work: Work, service: Service) -> str:
        """Return the failure domain of the engine that a prompt prefers, or ""."""
        prompt = work.request.prompt
        if prompt is None:
            return ""
        usable = {s.server_id: s for s in self._usable(work, service, set())}
        order = engine_order(prompt.affinity_key(), usable)
        return usable[order[0]].failure_domain if order else ""

    def note_read(self, server: ServerState, prompt: Prompt) -> None:
        """Remember that an engine has read a prompt's shared part."""
        parts = self._parts.setdefault(server.server_id, OrderedDict())
        parts[prompt.affinity_key()] = None
        parts.move_to_end(prompt.affinity_key())
        while len(parts) > REMEMBERED_PARTS:
            parts.popitem(last=False)

    def _usable(self, work: Work, service: Service, tried) -> list[ServerState]:
        found = self.servers.usable(service.name, work.route.regions)
        if not found:
            # A server that could not be reached lately is better than a refusal.
            found = [
                server
                for server in self.servers.of_service(service.name)
                if self.servers.may_be_last_resort(server)
            ]
        rate_per_s = service.cold_requests_per_s
        return [
            server
            for server in found
            if server.server_id not in tried
            and self.servers.has_cold_share(server, rate_per_s)
        ]

    def _plain(self, usable: list[ServerState]) -> ServerState:
        now_s = self.env.clock.monotonic_s()
        by_id = {server.server_id: server for server in usable}
        candidates = [
            PlainCandidate(
                server.server_id,
                server.latency_s,
                now_s - server.observed_at_s,
                server.failure_share,
                server.listed.slots,
                server.running,
                sum(server.reported_load[:2]) if server.reported_load else 0,
                now_s - server.reported_at_s,
            )
            for server in usable
        ]
        return by_id[choose_plain(candidates, self.env.random).server_id]

    def _engine(
        self, prompt: Prompt, usable, service: Service, bytes_by_domain
    ) -> ServerState:
        now_s = self.env.clock.monotonic_s()
        by_id = {server.server_id: server for server in usable}
        key = prompt.affinity_key()
        home = engine_order(key, by_id)[0]
        cost = PromptCost(
            key,
            prompt.shared_tokens(),
            max(0, prompt.prompt_tokens - prompt.shared_tokens()),
        )
        candidates = [
            EngineCandidate(
                server.server_id,
                server.failure_domain,
                self._backlog_s(server, now_s),
                self._running(server, now_s),
                service.engine.slots,
                server.failure_share,
                1.0,
                server.server_id == home
                or key in self._parts.get(server.server_id, ()),
                server.is_cold(now_s),
            )
            for server in usable
        ]
        chosen = choose_engine(cost, candidates, bytes_by_domain)
        return by_id[chosen.server_id]

    def _backlog_s(self, server: ServerState, now_s: float) -> float:
        own_s = server.outstanding_prompt_s
        if server.reported_load is None or now_s - server.reported_at_s > 1.0:
            return own_s
        return max(own_s, server.reported_load[1] * PROMPT_S_PER_WAITING)

    def _running(self, server: ServerState, now_s: float) -> int:
        if server.reported_load is None or now_s - server.reported_at_s > 1.0:
            return server.running
        return max(server.running, sum(server.reported_load[:2]))

    def reading_s(self, server: ServerState, prompt: Prompt) -> float:
        """Return how long an engine reads what it does not keep of a prompt."""
        known = prompt.affinity_key() in self._parts.get(server.server_id, ())
        own = max(0, prompt.prompt_tokens - prompt.shared_tokens())
        tokens = own if known else prompt.prompt_tokens
        return tokens / PROMPT_TOKENS_PER_S
