"""Binds streams to the software version of the server that began them."""

from egretshed.environment import Environment
from egretshed.errors import NotRun
from egretshed.logs import log_event
from egretshed.relay.request_state import RequestState
from egretshed.relay.restart_check import RestartCheck
from egretshed.servers.records import ListedServer
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Route
from egretshed.stream_versions.list_view import ServerListView
from egretshed.stream_versions.records import (
    MAX_AGE_S,
    STREAM_LIFE_S,
    StreamBeginning,
)
from egretshed.stream_versions.resume_decision import (
    ResumeDecision,
    decide_resume,
    may_have_begun_at_other_version,
)
from egretshed.stream_versions.sharing import (
    FoundStream,
    StreamVersions,
)

# Retry-After of a resume whose stream may become known, or its version served, soon.
RETRY_AFTER_S = 0.3
# Retry-After of a resume that will not be possible later either.
LOST_RETRY_AFTER_S = 2.0
# A stream of a route with a long timeout may last for this multiple of it.
STREAM_LIFE_FACTOR = 2.0
PASSING_REFUSALS = frozenset(
    {"version_not_served", "list_outdated", "list_not_confirmed"}
)
# Refusals that a list confirmed since the request arrived may turn out to be wrong.
LIST_REFUSALS = PASSING_REFUSALS
# Longest wait for the store to confirm the list. Callers may try another node.
CONFIRM_LIMIT_S = 0.6
# Share of the remaining time of a request that the wait may take.
CONFIRM_SHARE = 0.5
PASSING_SOURCES = frozenset({"holders_silent"})
MAX_LOGGED_ID = 80


def stream_life_s(route: Route) -> float:
    """Return the longest time after its beginning at which a stream is taken up."""
    return max(STREAM_LIFE_S, STREAM_LIFE_FACTOR * route.timeout_s)


class StreamResumption:
    """Binds new streams at their first event, and resumed ones before they are sent."""

    def __init__(
        self,
        env: Environment,
        servers: ServerRegistry,
        versions: StreamVersions,
        restarts: RestartCheck,
        server_list: ServerListView,
    ):
        self.env = env
        self.servers = servers
        self.versions = versions
        self.restarts = restarts
        self.server_list = server_list

    async def bind_resumed(self, state: RequestState) -> None:
        """Bind a stream that the caller takes up again.

        Raises `NotRun` if its version is uncertain or not served. Does nothing for
        other requests.
        """
        request, route = state.request, state.route
        if not (route.is_stream and route.is_resumable and request.takes_up_stream):
            return
        found = await self.versions.find(request.resumes)
        decision = await self._decide(state, found)
        if decision.refusal in LIST_REFUSALS and await self._confirm_list(state):
            decision = await self._decide(state, found)
        self._record(state, found, decision)
        if decision.refusal:
            is_passing = (
                decision.refusal in PASSING_REFUSALS or found.source in PASSING_SOURCES
            )
            raise NotRun(
                "the stream cannot go on at the version that began it",
                reason=decision.refusal,
                retry_after_s=RETRY_AFTER_S if is_passing else LOST_RETRY_AFTER_S,
            )
        state.service = decision.service
        state.bound_version = decision.version
        state.beginning = found.beginning

    async def _decide(self, state: RequestState, found: FoundStream) -> ResumeDecision:
        route, beginning = state.route, found.beginning
        services = tuple(target.service for target in route.services)
        requested_s = state.request.received_s
        list_as_of_s = self.server_list.as_of_s()
        return decide_resume(
            beginning,
            services,
            self._only_version(beginning.service if beginning else "", route),
            [s.listed for name in services for s in self.servers.of_service(name)],
            self._former_entries(beginning),
            self.server_list.is_current()
            or list_as_of_s >= requested_s
            or await self.restarts.is_start_confirmed(beginning),
            list_as_of_s=list_as_of_s,
            requested_s=requested_s,
        )

    async def _confirm_list(self, state: RequestState) -> bool:
        """Return whether the list is known to be younger than the request."""
        remaining_s = state.remaining_s(self.env.clock.monotonic_s())
        limit_s = min(CONFIRM_LIMIT_S, CONFIRM_SHARE * remaining_s)
        return await self.server_list.confirm(state.request.received_s, limit_s)

    async def begin(self, state: RequestState, server: ServerState) -> None:
        """Bind a stream to the version of the server that brings its first event.

        Raises `VersionChanged` if the stream is bound already, and the server or the
        one that began the stream turns out to have had another version.
        """
        if not state.route.is_resumable:
            return
        if state.bound_version is not None:
            is_certain = self._is_list_certain(state)
            await self.restarts.check(state, server, is_certain)
            return
        listed = server.listed
        state.bound_version = listed.version
        state.beginning = StreamBeginning(
            state.service,
            listed.version,
            listed.server_id,
            listed.started_ms,
            state.sent_wall_ms,
        )
        if not self._may_have_other_version(state.beginning):
            self.versions.add(state.request.request_id, state.beginning)
        log_event(
            self.env.logger,
            "stream_bound",
            request_id=state.request.request_id,
            service=state.service,
            server_id=listed.server_id,
            version=listed.version,
        )

    def may_go_on(self, state: RequestState) -> bool:
        """Return whether a stream may go on at other servers of its version."""
        if state.bound_version is None:
            return True
        if not self._is_list_certain(state):
            return False
        return state.beginning is None or not self._may_have_other_version(
            state.beginning
        )

    def _is_list_certain(self, state: RequestState) -> bool:
        """Return whether the listed versions are those of the servers.

        While the store is away, a server may have restarted with any known version.
        """
        return self.server_list.is_current() or bool(
            self._only_version(state.service, state.route)
        )

    def _may_have_other_version(self, beginning: StreamBeginning) -> bool:
        entries = self._former_entries(beginning)
        current = self.servers.servers.get(beginning.server_id)
        if current is not None:
            entries.append(current.listed)
        return may_have_begun_at_other_version(beginning, entries)

    def _only_version(self, service: str, route: Route) -> str | None:
        """Return the version of all servers, if there was one for a stream's life."""
        service = service or route.services[0].service
        return self.servers.versions.only_version(service, stream_life_s(route))

    def _former_entries(self, beginning: StreamBeginning | None) -> list[ListedServer]:
        if beginning is None:
            return []
        return self.servers.former_entries(beginning.server_id, MAX_AGE_S)

    def _record(
        self, state: RequestState, found: FoundStream, decision: ResumeDecision
    ) -> None:
        outcome = decision.refusal or "bound"
        now_s = self.env.clock.monotonic_s()
        self.env.metrics.counter(
            "streams_taken_up_total", "Streams taken up again by outcome", ("outcome",)
        ).labels(outcome).inc()
        log_event(
            self.env.logger,
            "stream_taken_up",
            request_id=state.request.request_id,
            resumes=state.request.resumes[:MAX_LOGGED_ID],
            last_event_id=state.request.last_event_id[:MAX_LOGGED_ID],
            service=decision.service,
            version=decision.version,
            source=found.source,
            age_s=round(found.age_s, 3),
            list_age_s=round(self.server_list.age_s(), 3),
            since_arrival_s=round(now_s - state.request.received_s, 3),
            outcome=outcome,
        )
