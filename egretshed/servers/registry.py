"""Registry of backend servers, which selects those that may get work.

It combines the platform's list, which is followed through the store, with what this
node observes. Entries may lapse while the store is unavailable. A live server is listed
again within `LAPSE_GRACE_S` after the store has recovered; otherwise it is removed.
"""

from collections.abc import (
    Callable,
    Iterable,
)
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.servers.cold_rate_limit import may_send_to_cold
from egretshed.servers.rate_limits import RateLimits
from egretshed.servers.rate_share import send_interval_s
from egretshed.servers.records import (
    ListedServer,
    ServerPhase,
)
from egretshed.servers.signals import ServerSignals
from egretshed.servers.state import ServerState
from egretshed.servers.version_history import VersionHistory

# Time within which a live server's lapsed entry is listed again.
LAPSE_GRACE_S = 2.0
# Time for which a lapsed server still gets new work while the store is connected.
# Servers that leave must get none soon after; most live ones are back by then.
LAPSED_WORK_S = 1.2
# Longest pause for which a server that asks for one gets no work.
MAX_PAUSE_S = 30.0
# Replaced and removed entries of a server are kept for this long, and so many of them.
FORMER_ENTRIES_S = 120.0
MAX_FORMER_ENTRIES = 8


class _GoneServer(NamedTuple):
    """Last entry of a removed server, and the era of the store at that time."""

    listed: ListedServer
    era: int
    gone_s: float


class ServerRegistry:
    """Present incarnations of backend servers, by id and by service.

    `is_evacuated` returns whether operators have evacuated a failure domain.
    `may_have_lapsed` returns whether the store is unavailable or has just recovered, so
    that a removed entry may have lapsed although its server is alive.
    """

    def __init__(
        self,
        env: Environment,
        is_evacuated: Callable[[str], bool],
        may_have_lapsed: Callable[[], bool],
        node_ids: Callable[[], list[str]],
        is_store_connected: Callable[[], bool] = lambda: True,
    ):
        self.env = env
        self.is_evacuated = is_evacuated
        self.may_have_lapsed = may_have_lapsed
        self.node_ids = node_ids
        self.is_store_connected = is_store_connected
        # Whether a rollout lets a server get work that was chosen for it.
        self.is_version_allowed: Callable[[ServerState], bool] = lambda server: True
        self.limits = RateLimits(env)
        # Called with a server that has said itself that it leaves.
        self.on_leaving: list[Callable[[ServerState], None]] = []
        self.servers: dict[str, ServerState] = {}
        self._by_service: dict[str, dict[str, ServerState]] = {}
        # Replaced and removed entries by server id, with the time of that.
        self._former: dict[str, list[tuple[float, ListedServer]]] = {}
        # Removed servers by id, and the latest era of the store that was seen.
        self._gone: dict[str, _GoneServer] = {}
        self._era = 0
        self.versions = VersionHistory(env, self.of_service)

    def apply(self, listed: ListedServer, era: int = 0) -> None:
        """Apply a new or changed entry of the list, read in an era of the store.

        A server that leaves, or is gone, is so for good, even if an entry from a
        restored store calls it ready.
        """
        self._note_era(era)
        if self._is_outdated(listed):
            self._log_change(listed, "outdated", True)
            return
        self._gone.pop(listed.server_id, None)
        now_s = self.env.clock.monotonic_s()
        server = self.servers.get(listed.server_id)
        is_same = server is not None and _is_same_incarnation(server.listed, listed)
        if is_same and server.listed.phase is ServerPhase.LEAVING:
            listed = listed._replace(phase=ServerPhase.LEAVING)
        if server is None or not is_same:
            if server is not None:
                server.is_gone = True
                self._by_service[server.listed.service].pop(server.server_id, None)
                self.versions.note_listed(server.listed)
                self._keep_former(server.listed)
            server = ServerState(listed)
            self.servers[listed.server_id] = server
            self._log_change(listed, "listed", is_same)
        elif server.listed.phase is not listed.phase:
            self._log_change(listed, listed.phase.value, is_same)
        server.listed = listed
        server.lapsed_since_s = None
        server.is_gone = False
        if listed.cold_s > 0:
            server.cold_until_s = now_s + listed.cold_s
        elif server.is_cold(now_s):
            server.cold_until_s = now_s
        self._by_service.setdefault(listed.service, {})[server.server_id] = server
        self.versions.note_listed(listed)

    def _note_era(self, era: int) -> None:
        self._era = max(self._era, era)

    def _is_outdated(self, listed: ListedServer) -> bool:
        """Return whether an entry was removed before, and is back from an older copy.

        A server whose entry lapsed although it is alive writes a later one.
        """
        gone = self._gone.get(listed.server_id)
        return (
            gone is not None
            and gone.era < self._era
            and _is_same_incarnation(gone.listed, listed)
            and listed.sequence <= gone.listed.sequence
        )

    def remove(self, server_id: str, era: int = 0) -> None:
        """Remove a server whose entry was removed, or mark it as lapsed."""
        self._note_era(era)
        server = self.servers.get(server_id)
        if server is None:
            return
        if self.may_have_lapsed():
            server.lapsed_since_s = self.env.clock.monotonic_s()
            self._log_change(server.listed, "lapsed", True)
            return
        self._remove_server(server)

    def expire_lapsed(self) -> None:
        """Remove the servers whose lapsed entries were not listed again in time.

        None are removed before the store has been back for long enough: while it is
        away, the grace begins anew.
        """
        now_s = self.env.clock.monotonic_s()
        is_store_connected = self.is_store_connected()
        for server in list(self.servers.values()):
            if server.lapsed_since_s is None:
                continue
            if not is_store_connected:
                server.lapsed_since_s = now_s
            elif (
                not self.may_have_lapsed()
                and now_s - server.lapsed_since_s >= LAPSE_GRACE_S
            ):
                self._remove_server(server)

    def _remove_server(self, server: ServerState) -> None:
        server.is_gone = True
        self.servers.pop(server.server_id, None)
        listed = server.listed
        self._by_service[listed.service].pop(server.server_id, None)
        self.versions.note_listed(listed)
        self._keep_former(listed)
        self._keep_gone(listed)
        self._log_change(listed, "gone", True)

    def _may_have_left(self, server: ServerState) -> bool:
        if server.lapsed_since_s is None or not self.is_store_connected():
            return False
        lapsed_s = self.env.clock.monotonic_s() - server.lapsed_since_s
        return lapsed_s >= LAPSED_WORK_S

    def of_service(self, service: str) -> Iterable[ServerState]:
        """Return all listed servers of a service, whether they may get work or not."""
        return self._by_service.get(service, {}).values()

    def usable(self, service: str, regions: tuple[str, ...] = ()) -> list[ServerState]:
        """Return the servers that may get work, apart from the limit of cold ones."""
        now_s = self.env.clock.monotonic_s()
        found = [
            server
            for server in self.of_service(service)
            if server.accepts_new_work(now_s)
            and not self._may_have_left(server)
            and not self.is_evacuated(server.failure_domain)
        ]
        return self._in_regions(found, regions)

    def usable_despite_failures(
        self, service: str, regions: tuple[str, ...] = ()
    ) -> list[ServerState]:
        """Return the usable servers and those in backoff after failed connections."""
        found = [
            server
            for server in self.of_service(service)
            if self.may_get_chosen_work(server)
        ]
        return self._in_regions(found, regions)

    def _in_regions(
        self, servers: list[ServerState], regions: tuple[str, ...]
    ) -> list[ServerState]:
        if not regions:
            return servers
        regions_by_domain = self.env.settings.failure_domain_regions
        return [
            s for s in servers if regions_by_domain.get(s.failure_domain) in regions
        ]

    def record_signals(
        self,
        server: ServerState,
        signals: ServerSignals,
        sent_s: float,
        may_lift: bool = True,
    ) -> None:
        """Record what a server says in a response to a request sent at `sent_s`.

        Without `may_lift` the response is of a kind that need not repeat a limit.
        """
        self._count_signals(server, signals)
        self.limits.record(server, signals, sent_s, may_lift)
        if signals.load is not None:
            server.record_load(signals.load, self.env.clock.monotonic_s())
        if signals.is_leaving:
            self.mark_leaving(server, "response")
        if signals.pause_s is not None:
            self._pause(server, min(MAX_PAUSE_S, signals.pause_s))
        elif may_lift:
            server.is_on_trial = False

    def _count_signals(self, server: ServerState, signals: ServerSignals) -> None:
        named = {
            "rate_limit": signals.rate_limit_per_s is not None,
            "leaving": signals.is_leaving,
            "pause": signals.pause_s is not None,
            "malformed": bool(signals.malformed),
        }
        for signal in (name for name, is_named in named.items() if is_named):
            self.env.metrics.counter(
                "server_signals_total", "Signals in responses of servers", ("signal",)
            ).labels(signal).inc()
        if signals.malformed:
            log_event(
                self.env.logger,
                "server_signal_malformed",
                server_id=server.server_id,
                fields=signals.malformed,
            )

    def mark_leaving(self, server: ServerState, source: str) -> None:
        """Give a server no new work from now on, since it has said that it leaves."""
        if server.listed.phase is ServerPhase.LEAVING:
            return
        server.listed = server.listed._replace(phase=ServerPhase.LEAVING)
        self._log_change(server.listed, f"leaving_by_{source}", True)
        if source == "response":
            for listener in self.on_leaving:
                listener(server)

    def _pause(self, server: ServerState, pause_s: float) -> None:
        server.pause(self.env.clock.monotonic_s() + pause_s)
        log_event(
            self.env.logger,
            "server_paused",
            server_id=server.server_id,
            service=server.listed.service,
            pause_s=pause_s,
        )

    def pause_left_s(self, service: str) -> float:
        """Return the time until the first ready server of a service may be asked.

        0 if there is one that wants no pause, or none that is ready.
        """
        now_s = self.env.clock.monotonic_s()
        left_s = [
            server.paused_until_s - now_s
            for server in self.of_service(service)
            if not server.is_gone and server.listed.phase is ServerPhase.READY
        ]
        return max(0.0, min(left_s, default=0.0))

    def acquire_send_permit(self, server: ServerState, cold_per_s: float) -> bool:
        """Return whether this node may send a request to the server, and count it.

        `cold_per_s` is the rate that the server takes while it is cold.
        """
        allowed = self.has_send_permit(server, cold_per_s)
        now_s = self.env.clock.monotonic_s()
        if allowed:
            server.last_sent_s = now_s
        if allowed and server.is_cold(now_s):
            server.cold_sent_times_s = [*server.cold_sent_times_s[-1:], now_s]
        return allowed

    def may_get_chosen_work(self, server: ServerState) -> bool:
        """Return whether a server that was chosen for a request may still get it.

        Ask immediately before the bytes go out: opening a connection takes time.
        """
        return (
            not server.is_gone
            and server.listed.phase is ServerPhase.READY
            and self.is_version_allowed(server)
            and not server.is_paused(self.env.clock.monotonic_s())
            and not self._may_have_left(server)
            and not self.is_evacuated(server.failure_domain)
        )

    def may_free_results(self, server: ServerState) -> bool:
        """Return whether a server may be told to free results.

        They expire by themselves. The few requests that a server with a limit takes are
        better used for calls; one that leaves makes no more results.
        """
        return self.may_get_chosen_work(server) and server.rate_limit is None

    def has_send_permit(self, server: ServerState, cold_per_s: float) -> bool:
        """Return what `acquire_send_permit` would, without counting a request."""
        now_s = self.env.clock.monotonic_s()
        if server.is_paused(now_s) or (server.is_on_trial and server.running):
            return False
        if not server.is_cold(now_s) and not server.rate_limit:
            return True
        node_ids = tuple(self.node_ids())
        return self._is_within_cold_rate(
            server, cold_per_s, node_ids
        ) and self._is_within_limit(server, node_ids)

    def acquire_sole_permit(self, server: ServerState) -> bool:
        """Return whether the only node that sends to a server may do so, and count it.

        It has the whole limit of the server to itself.
        """
        allowed = self.has_sole_permit(server)
        if allowed:
            server.last_sent_s = self.env.clock.monotonic_s()
        return allowed

    def has_sole_permit(self, server: ServerState) -> bool:
        """Return what `acquire_sole_permit` would, without counting a request."""
        if server.is_paused(self.env.clock.monotonic_s()):
            return False
        return self._is_within_limit(server, (self.env.identity.node_id,))

    def acquire_report_permit(self, server: ServerState) -> bool:
        """Return whether this node may ask a server for a report, and count that.

        Reports take no slot, so that a cold server may be asked.
        """
        now_s = self.env.clock.monotonic_s()
        allowed = not server.is_paused(now_s) and (
            not server.rate_limit
            or self._is_within_limit(server, tuple(self.node_ids()))
        )
        if allowed:
            server.last_sent_s = now_s
        return allowed

    def _is_within_limit(self, server: ServerState, node_ids: tuple[str, ...]) -> bool:
        limit_per_s = self.limits.limit_per_s(server)
        if limit_per_s is None:
            return True
        interval_s = send_interval_s(
            server.server_id, self.env.identity.node_id, node_ids, limit_per_s
        )
        return self.env.clock.monotonic_s() - server.last_sent_s >= interval_s

    def _is_within_cold_rate(
        self, server: ServerState, cold_per_s: float, node_ids: tuple[str, ...]
    ) -> bool:
        now_s = self.env.clock.monotonic_s()
        return not server.is_cold(now_s) or may_send_to_cold(
            server.server_id,
            self.env.identity.node_id,
            node_ids,
            cold_per_s,
            server.cold_sent_times_s,
            now_s,
        )

    def _keep_gone(self, listed: ListedServer) -> None:
        now_s = self.env.clock.monotonic_s()
        self._gone = {
            server_id: gone
            for server_id, gone in self._gone.items()
            if now_s - gone.gone_s < FORMER_ENTRIES_S
        }
        self._gone[listed.server_id] = _GoneServer(listed, self._era, now_s)

    def _keep_former(self, listed: ListedServer) -> None:
        now_s = self.env.clock.monotonic_s()
        for server_id, entries in list(self._former.items()):
            if now_s - entries[-1][0] >= FORMER_ENTRIES_S:
                del self._former[server_id]
        kept = self._former.setdefault(listed.server_id, [])
        kept.append((now_s, listed))
        del kept[:-MAX_FORMER_ENTRIES]

    def former_entries(self, server_id: str, for_s: float) -> list[ListedServer]:
        """Return entries of a server that were replaced or removed in `for_s` s."""
        oldest_s = self.env.clock.monotonic_s() - for_s
        kept = self._former.get(server_id, ())
        return [listed for replaced_s, listed in kept if replaced_s > oldest_s]

    def by_address(self, service: str, address: str) -> ServerState | None:
        for server in self.of_service(service):
            if server.address == address:
                return server
        return None

    def _log_change(self, listed: ListedServer, outcome: str, is_same: bool) -> None:
        log_event(
            self.env.logger,
            "server_changed",
            server_id=listed.server_id,
            service=listed.service,
            address=str(listed.address),
            failure_domain=listed.failure_domain,
            cold_s=listed.cold_s,
            version=listed.version,
            new_incarnation=not is_same,
            outcome=outcome,
        )


def _is_same_incarnation(previous: ListedServer, listed: ListedServer) -> bool:
    return (
        previous.started_ms == listed.started_ms
        and previous.version == listed.version
        and previous.address == listed.address
        and previous.service == listed.service
    )
