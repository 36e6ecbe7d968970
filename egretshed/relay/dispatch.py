"""Chooses a server for a request, sends it there, and notes refusals.

Load pattern: servers leave, ask for a pause or are evacuated while many requests are
being placed. What was true when a server was chosen is asked again when the connection
is open, immediately before the request goes out.
"""

from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    ServerRefusedWork,
)
from egretshed.feeds.fresh_tables import FreshTables
from egretshed.held_bytes.account import HeldKind
from egretshed.placement.engines import (
    EnginePlacement,
    EnginePlacer,
)
from egretshed.platform.http_messages import encode_forwarded_request
from egretshed.quarantine.guard import InputGuard
from egretshed.relay.request import (
    ForwardFields,
    ServerResponse,
)
from egretshed.relay.request_state import RequestState
from egretshed.relay.server_selection import ServerSelector
from egretshed.relay.stages import StageRunner
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.serving.schema import Service
from egretshed.upstream.exchange import (
    PATIENT_DETECTION,
    Exchange,
    ExchangeFailed,
)
from egretshed.upstream.pool import ConnectionPool

MAX_STREAM_BYTES = 64 * 1024 * 1024
# Responses that are not streams are kept in memory until they are complete.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
MISDIRECTED_STATUS = 421
SERVER_ERROR_STATUS = 500
# Statuses that a caller takes as proof that the request did not run. They are not
# forwarded, since only the server's explicit header is such a proof.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
# Time for which this node avoids a server that refused a request for lack of capacity.
REFUSAL_BACKOFF_S = 0.05


class ServerNotUsable(BackendError):
    """A server may not get a request any more for which it had been chosen."""

    code = "server_not_usable"


Choice = tuple[ServerState, EnginePlacement | None]


class Dispatcher:
    """Sends requests to servers; `guard` is asked immediately before each send."""

    def __init__(
        self,
        env: Environment,
        servers: ServerRegistry,
        selector: ServerSelector,
        placer: EnginePlacer,
        stages: StageRunner,
        pool: ConnectionPool,
        guard: InputGuard,
        fresh_tables: FreshTables | None = None,
    ):
        self.env = env
        self.fresh_tables = fresh_tables
        self.servers = servers
        self.selector = selector
        self.placer = placer
        self.stages = stages
        self.pool = pool
        self.guard = guard

    async def choose(
        self, state: RequestState, service: Service, excluded_ids: set[str]
    ) -> Choice | None:
        """Return a server that may get the request now, with its permit, or None."""
        excluded_ids = set(excluded_ids)
        sizes = self.stages.bytes_by_domain(state)
        while True:
            chosen = await self.selector.choose(state, service, excluded_ids, sizes)
            if chosen is None:
                return None
            server, placement = chosen
            if self.servers.acquire_send_permit(server, service.cold_requests_per_s):
                return chosen
            # While the engine was chosen, another request took the permit.
            self.end_placement(placement)
            excluded_ids.add(server.server_id)

    def end_placement(self, placement: EnginePlacement | None) -> None:
        if placement is not None:
            self.placer.note_end(placement)

    async def open(self, state: RequestState, server: ServerState) -> Exchange:
        """Connect to a server; raise `ExchangeFailed`, with nothing sent."""
        limit_bytes, kind = MAX_BUFFERED_BYTES, HeldKind.RESPONSES
        if state.route.is_stream:
            limit_bytes, kind = MAX_STREAM_BYTES, HeldKind.STREAMS
        exchange = await self.pool.open(
            server.address, limit_bytes, detection=PATIENT_DETECTION, kind=kind
        )
        if self.fresh_tables is not None:
            try:
                # The process may have stood still since the server was chosen.
                now_s = self.env.clock.monotonic_s()
                await self.fresh_tables.wait(state.remaining_s(now_s))
            except BaseException:
                exchange.close()
                raise
        return exchange

    def send(
        self, state: RequestState, server: ServerState, exchange: Exchange
    ) -> None:
        """Send the request.

        Raises `InputQuarantined` or `ServerNotUsable`, with nothing sent, if that has
        become so while the server was chosen and connected to.
        """
        self.guard.check(state.service, state.input_ids)
        if not self.servers.may_get_chosen_work(server):
            raise ServerNotUsable(
                "the server may not get work any more", may_have_run=False
            )
        now_s = self.env.clock.monotonic_s()
        fields = ForwardFields(
            server_id=server.server_id,
            remaining_s=state.remaining_s(now_s),
            customer=state.customer.name if state.customer else "",
            priority=state.priority if state.route.is_stream else None,
            stage_results=state.stage_results,
            last_event_id=state.last_event_id,
        )
        state.sent_wall_ms = int(self.env.clock.wall_s() * 1000)
        state.sent_s = now_s
        state.send_count += 1
        state.possible_executions += 1
        state.server_id = server.server_id
        exchange.send(encode_forwarded_request(state.request, fields))

    def note_refusal(
        self, state: RequestState, server: ServerState, response: ServerResponse
    ) -> ServerRefusedWork:
        """Note that a server proved that it did not run the request; return the error.

        The server is avoided for a moment.
        """
        state.possible_executions -= 1
        now_s = self.env.clock.monotonic_s()
        if response.status == MISDIRECTED_STATUS:
            # Another server now has this address.
            server.record_connection_failure(now_s)
        else:
            server.backoff_until_s = max(
                server.backoff_until_s, now_s + REFUSAL_BACKOFF_S
            )
        return ServerRefusedWork(
            f"server refused the request with status {response.status}",
            status=response.status,
            may_have_run=False,
        )


def check_request_id(state: RequestState, response: ServerResponse) -> None:
    """Raise `ExchangeFailed` if a response belongs to another request."""
    if response.request_id not in ("", state.request.request_id):
        raise ExchangeFailed(
            "response has the id of another request", may_have_run=True
        )


def check_response(response: ServerResponse) -> None:
    """Raise `ExchangeFailed` if a response may not be passed on to the caller."""
    if response.is_encoded:
        raise ExchangeFailed("response has a content encoding", may_have_run=True)
    if response.is_success and not response.signature:
        raise ExchangeFailed("response has no signature", may_have_run=True)
    if response.status in REFUSAL_STATUSES:
        # The server may have run the request, so its refusal is not forwarded.
        raise ExchangeFailed(
            f"server responded with status {response.status}", may_have_run=True
        )
