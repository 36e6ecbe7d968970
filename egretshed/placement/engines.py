"""Places prompts on engines: any node asks the owner of a service, which decides.

If an owner does not answer in time the next candidate is asked. The last candidate is
the asking node itself, which decides with its own estimates.
"""

import itertools
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.errors import (
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    EngineChoice,
    EngineNote,
    EngineRequest,
)
from egretshed.logs import log_event
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.placement.duty import engine_duty
from egretshed.placement.engine_choice import choose_engine
from egretshed.placement.engine_tracker import EngineTracker
from egretshed.placement.engine_views import engine_views
from egretshed.placement.waiting_cost import (
    EngineView,
    PlacementNeeds,
    waiting_cost,
)
from egretshed.quarantine.crash_reports import CrashReporter
from egretshed.relay.request import (
    Prompt,
    PromptPart,
)
from egretshed.servers.registry import ServerRegistry
from egretshed.serving.schema import ServingConfiguration

# Allows for several one-way delays between failure domains.
REPLY_TIMEOUT_S = 0.12
MAX_OWNERS_TRIED = 2
PRUNE_PERIOD_S = 2.0


class EngineQuery(NamedTuple):
    """One request that needs an engine.

    `is_dry_run` asks for the engine that would be chosen now, ahead of the prompt; no
    placement is recorded. `bytes_by_domain` are the request's stage results by failure
    domain.
    """

    request_id: str
    service: str
    parts: tuple[PromptPart, ...]
    slack_s: float
    deadline_s: float
    excluded: frozenset[str]
    bytes_by_domain: dict[str, int]
    is_dry_run: bool = False


class EnginePlacement(NamedTuple):
    """The engine of a request, and the owner to notify of its first event and end."""

    server_id: str
    owner: str
    ticket: int
    service: str


class EnginePlacer:
    """Requests placements from owners, and decides as an owner itself."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        servers: ServerRegistry,
        configuration: Callable[[], ServingConfiguration | None],
        list_version: Callable[[], int],
        crashes: CrashReporter,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.servers = servers
        self.configuration = configuration
        self.list_version = list_version
        self.crashes = crashes
        self.guard = crashes.guard
        self._tickets = itertools.count(env.identity.incarnation)
        self._trackers: dict[str, EngineTracker] = defaultdict(
            lambda: EngineTracker(env)
        )
        peers.handle(EngineRequest, self._on_request)
        peers.handle(EngineNote, self._on_note)

    async def place(self, query: EngineQuery) -> EnginePlacement | None:
        """Place a request on an engine; return None if no engine can take it.

        Raises `InputQuarantined` if no engine may get the prompt.
        """
        own_id = self.env.identity.node_id
        duty = engine_duty(query.service)
        self.guard.check(query.service, _shared_ids(query))
        ticket = next(self._tickets)
        for node_id in self.owners.candidates(duty, MAX_OWNERS_TRIED):
            if node_id == own_id:
                server_id = self._choose((own_id, ticket), query)
            else:
                message = _encode_request(ticket, query)
                try:
                    reply = await self.peers.call(node_id, message, REPLY_TIMEOUT_S)
                except (PeerUnavailable, PeerRejected) as error:
                    self.owners.avoid(node_id, duty, str(error))
                    if not query.is_dry_run:
                        # The owner may have placed the request, and its reply was lost.
                        note = EngineNote(ticket, query.service, has_ended=True)
                        self.peers.send(node_id, note)
                    continue
                if reply.quarantine is not None:
                    self.guard.refuse(reply.quarantine)
                server_id = reply.server_id
            if not server_id:
                continue
            placement = EnginePlacement(server_id, node_id, ticket, query.service)
            if server_id in self.servers.servers:
                return placement
            # The owner lists a server that this node does not know (any more).
            if not query.is_dry_run:
                self.note_end(placement)
        return None

    def note_first_event(self, placement: EnginePlacement) -> None:
        self._note(placement, has_ended=False)

    def note_end(self, placement: EnginePlacement) -> None:
        self._note(placement, has_ended=True)

    def _note(self, placement: EnginePlacement, has_ended: bool) -> None:
        own_id = self.env.identity.node_id
        if placement.owner == own_id:
            self._record_progress(
                placement.service, (own_id, placement.ticket), has_ended
            )
        else:
            note = EngineNote(placement.ticket, placement.service, has_ended)
            self.peers.send(placement.owner, note)

    def _record_progress(self, service: str, key: tuple, has_ended: bool) -> None:
        tracker = self._trackers[service]
        if has_ended:
            tracker.note_end(key)
        else:
            self.crashes.record_first_event(service, tracker.parts_of(key))
            tracker.note_first_event(key)

    def _choose(self, key: tuple, query: EngineQuery) -> str | None:
        configuration = self.configuration()
        service = configuration and configuration.services.get(query.service)
        if not service or service.engine is None:
            return None
        tracker = self._trackers[query.service]
        usable = [
            server
            for server in self.servers.usable(query.service)
            if server.server_id not in query.excluded
        ]
        now_s = self.env.clock.monotonic_s()
        views = engine_views(tracker, usable, query.parts, service.engine, now_s)
        needs = PlacementNeeds(
            Prompt(query.parts, 0, 0).affinity_key(),
            query.slack_s,
            query.bytes_by_domain,
        )
        chosen = choose_engine(needs, views)
        if query.is_dry_run:
            return chosen.server_id if chosen else None
        self._log(key, query, needs, chosen, views)
        if chosen is None:
            return None
        tracker.place(
            key,
            chosen.server_id,
            query.parts,
            service.engine.cache_tokens,
            query.deadline_s,
        )
        return chosen.server_id

    def _log(
        self,
        key: tuple,
        query: EngineQuery,
        needs: PlacementNeeds,
        chosen: EngineView | None,
        views: list[EngineView],
    ) -> None:
        """Log a placement with the inputs and the parts of its cost."""
        cost = waiting_cost(needs, chosen) if chosen else None
        log_event(
            self.env.logger,
            "placement_decision",
            request_id=query.request_id,
            asked_by=key[0],
            service=query.service,
            server_id=chosen.server_id if chosen else None,
            backlog_s=round(chosen.backlog_s, 3) if chosen else None,
            reading_s=round(chosen.prefill_s, 3) if chosen else None,
            running=chosen.running if chosen else None,
            slowness=round(chosen.slowness, 2) if chosen else None,
            is_cold=chosen.is_cold if chosen else None,
            own_wait_s=round(cost.own_s, 3) if cost else None,
            others_wait_s=round(cost.others_s, 3) if cost else None,
            later_wait_s=round(cost.later_s, 3) if cost else None,
            candidates=len(views),
            least_backlog_s=round(min((v.backlog_s for v in views), default=0.0), 3),
            slack_s=round(query.slack_s, 3),
            list_version=self.list_version(),
        )

    async def _on_request(self, sender: Sender, message: EngineRequest) -> EngineChoice:
        pairs = zip(message.part_ids, message.part_tokens, strict=True)
        query = EngineQuery(
            message.request_id,
            message.service_name,
            tuple(PromptPart(part_id, tokens) for part_id, tokens in pairs),
            message.slack_ms / 1000,
            message.deadline_ms / 1000,
            frozenset(message.excluded),
            dict(zip(message.domains, message.domain_bytes, strict=True)),
            bool(message.only_asks),
        )
        notice = self.guard.notice_for(query.service, _shared_ids(query))
        if notice is not None:
            return EngineChoice(quarantine=notice)
        return EngineChoice(self._choose((sender.node_id, message.ticket), query))

    async def _on_note(self, sender: Sender, message: EngineNote) -> None:
        key = (sender.node_id, message.ticket)
        self._record_progress(message.service_name, key, message.has_ended)

    async def run(self) -> None:
        """Drop engines that are no longer listed, until cancelled."""
        while True:
            await self.env.clock.sleep(PRUNE_PERIOD_S)
            for service, tracker in self._trackers.items():
                listed = self.servers.of_service(service)
                tracker.prune({server.server_id for server in listed})


def _shared_ids(query: EngineQuery) -> tuple[str, ...]:
    return tuple(part.part_id for part in query.parts[:-1])


def _encode_request(ticket: int, query: EngineQuery) -> EngineRequest:
    return EngineRequest(
        ticket,
        query.service,
        [part.part_id for part in query.parts],
        [part.tokens for part in query.parts],
        int(query.slack_s * 1000),
        int(query.deadline_s * 1000),
        sorted(query.excluded),
        list(query.bytes_by_domain),
        list(query.bytes_by_domain.values()),
        query.request_id,
        query.is_dry_run,
    )
