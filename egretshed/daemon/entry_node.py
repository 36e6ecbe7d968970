"""Entry node in front of the platform's backend servers.

Creates the services of the node, passes each its dependencies, and starts and stops
them in order.
"""

import asyncio
from collections.abc import Callable

from tornado.netutil import bind_sockets

from egretshed.daemon.environment import make_environment
from egretshed.daemon.tasks import NodeTasks
from egretshed.errors import NotRun
from egretshed.feeds.follower import TableFollower
from egretshed.feeds.fresh_tables import FreshTables
from egretshed.feeds.peer_sync import (
    SLOW_LINK_MBPS,
    PeerTableSync,
)
from egretshed.feeds.table_source import TableSource
from egretshed.feeds.table_view import TableView
from egretshed.held_bytes.account import ByteAccount
from egretshed.ingress.connection_bound import connection_limit
from egretshed.ingress.endpoints import NodeEndpoints
from egretshed.ingress.server import RequestServer
from egretshed.logs import (
    RateLimitedOutput,
    log_event,
)
from egretshed.membership.duty_owners import DutyOwners
from egretshed.membership.registered_nodes import RegisteredNodes
from egretshed.membership.service import MembershipService
from egretshed.peers.network import TcpPeerNetwork
from egretshed.placement.engines import EnginePlacer
from egretshed.platform.headers import HEADERS
from egretshed.platform.http_messages import encode_error_response
from egretshed.platform.interface import Platform
from egretshed.platform.records import (
    MalformedRecord,
    decode_server,
)
from egretshed.platform.store import RowStore
from egretshed.platform.store_versions import era_of
from egretshed.platform.tables import (
    OPERATOR_TABLE,
    SERVER_TABLE,
)
from egretshed.quarantine.crash_reports import CrashReporter
from egretshed.quarantine.guard import InputGuard
from egretshed.relay.attempt import AttemptRunner
from egretshed.relay.request_state import RequestState
from egretshed.relay.restart_check import RestartCheck
from egretshed.relay.runner import (
    STOPPING_REASON,
    RelayRunner,
)
from egretshed.relay.server_selection import ServerSelector
from egretshed.relay.stages import StageRunner
from egretshed.relay.stop_admission import accept_limit_s
from egretshed.relay.stream_resumption import StreamResumption
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.rollouts.gate import RolloutGate
from egretshed.rollouts.owner import RolloutOwner
from egretshed.rollouts.reporter import RolloutReporter
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.signal_notices import SignalNotices
from egretshed.servers.start_times import ServerStartTimes
from egretshed.serving.active_configuration import ActiveConfiguration
from egretshed.serving.schema import CallerLimits
from egretshed.settings.reloadable import ReloadableSettings
from egretshed.settings.schema import Settings
from egretshed.stage_scheduling.client import StageClient
from egretshed.stage_scheduling.owner import StageOwner
from egretshed.stream_versions.list_view import ServerListView
from egretshed.stream_versions.sharing import StreamVersions
from egretshed.stream_versions.version_record import VersionRecord
from egretshed.upstream.pool import ConnectionPool

STDOUT_FD = 1
# An entry that is removed within this time after the store has recovered may have
# lapsed during the outage although its server is alive.
STORE_RECOVERY_GRACE_S = 2.5
EXPIRY_PERIOD_S = 0.5
# Share of the shutdown limit after which the running requests are ended whose callers
# can repeat them or get an answer.
DRAIN_SHARE = 0.9
# The others are ended this long before the shutdown limit, which SIGKILL follows. What
# comes after them, the answers, the flush and the exit, took 0.3 s on a busy machine.
STOP_MARGIN_S = 0.5
# Upper limit of the time for the last answers to be made, and to be written.
LAST_ANSWERS_LIMIT_S = 0.1
# Share of the shutdown limit for which requests that are already on their way are
# answered after the listener was closed, and upper limit of that time.
LAST_REQUESTS_SHARE = 0.04
LAST_REQUESTS_LIMIT_S = 0.3
# An idle node exits this long after its stop began, so that callers have time to learn
# that they must not use its address any more.
IDLE_EXIT_DELAY_S = 3.2
DRAIN_POLL_PERIOD_S = 0.05
# Retry-after time of requests that are refused during the start. A start takes about
# this long if the store responds.
START_RETRY_AFTER_S = 0.5


class EntryNode:
    """Services of one node. `start` returns once requests are served."""

    listens_at_start = True

    def __init__(self, settings: Settings):
        listeners = settings.listeners
        self._sockets = {
            name: _bind(getattr(listeners, name))
            for name in ("callers", "readiness", "directory", "metrics")
            if getattr(listeners, name)
        }
        node = settings.node
        self._peer_sockets = bind_sockets(node.peer_port, node.host)
        caller_port = int(listeners.callers.rpartition(":")[2])
        self.settings = ReloadableSettings(settings)
        self.env = make_environment(
            self.settings, node.peer_port, caller_port, RateLimitedOutput(STDOUT_FD)
        )
        self._tasks = NodeTasks(self.env)
        self._draining = False
        self._is_stop_hastened = False
        self.http_servers: dict[str, RequestServer] = {}
        self.membership: MembershipService | None = None
        self._build_local_services()

    def _build_local_services(self) -> None:
        env = self.env
        self.held_bytes = ByteAccount(env)
        self.connection_pool = ConnectionPool(env, HEADERS.request_id, self.held_bytes)
        self.store = RowStore(env, self.connection_pool)
        self.active_configuration = ActiveConfiguration(env)
        self.table_source = TableSource(self.store)
        self.operator_table = TableFollower(
            env,
            lambda: self.table_source.select(self.operator_table),
            OPERATOR_TABLE,
            self._apply_operator_rows,
        )
        self.server_table = TableFollower(
            env,
            lambda: self.table_source.select(self.server_table),
            SERVER_TABLE,
            self._apply_server_rows,
        )
        self.servers = ServerRegistry(
            env,
            self.active_configuration.is_evacuated,
            self._may_have_lapsed,
            self._node_ids,
            lambda: self.server_table.is_connected,
        )
        self.rollouts = RolloutGate(env, self.servers)
        self.retry_budget = SharedRetryBudget(env, lambda: len(self._node_ids()))
        self.stage_owner = StageOwner(
            env,
            self._configuration,
            self.servers,
            self.connection_pool,
            self.retry_budget,
            self.rollouts,
        )
        self.endpoints = NodeEndpoints(env, lambda: self.membership, self.is_ready)
        self.runner: RelayRunner | None = None

    def _build_peer_services(self) -> None:
        env = self.env
        platform = Platform(None, None, None, self.registered_nodes)
        self.peers = TcpPeerNetwork(
            env, lambda node_id: self.membership.resolve(node_id)
        )
        self.membership = MembershipService(env, platform, self.peers)
        self.membership.version_source = lambda: self.active_configuration.version
        duty_owners = DutyOwners(env, self.membership)
        followers = {
            follower.table: follower
            for follower in (self.operator_table, self.server_table)
        }
        self.peer_sync = PeerTableSync(env, self.peers, duty_owners, followers)
        self.input_guard = InputGuard(
            env, self.peers, duty_owners, self.registered_nodes
        )
        self.version_record = VersionRecord(
            env, self.servers, duty_owners, self.registered_nodes
        )
        self.version_record.load()
        crashes = CrashReporter(env, self.peers, duty_owners, self.input_guard)
        self.stage_owner.on_broken_call.append(crashes.check_stage_server)
        self.input_guard.on_quarantined.append(self.stage_owner.fail_input)
        self.engine_placer = EnginePlacer(
            env,
            self.peers,
            duty_owners,
            self.servers,
            self._configuration,
            lambda: self.server_table.version,
            crashes,
        )
        SignalNotices(env, self.peers, duty_owners, self.servers)
        server_list = ServerListView(
            env, self.server_table, self.store, self.version_record
        )
        operators = TableView(env, self.operator_table, self.store)
        fresh_tables = FreshTables(
            env, self.membership.last_pause_s, (operators, server_list)
        )
        resumption = StreamResumption(
            env,
            self.servers,
            StreamVersions(env, self.peers, duty_owners),
            RestartCheck(
                env,
                self.servers,
                ServerStartTimes(env, self.connection_pool, self.servers),
            ),
            server_list,
        )
        self.rollout_owner = RolloutOwner(
            env, self.peers, duty_owners, self.rollouts, self.store
        )
        self.rollout_reporter = RolloutReporter(
            env, self.peers, duty_owners, self.rollouts, self.rollout_owner
        )
        selector = ServerSelector(env, self.servers, self.engine_placer, self.rollouts)
        stage_client = StageClient(env, self.peers, duty_owners, self.stage_owner)
        stage_runner = StageRunner(
            env, stage_client, selector, self.servers, self._configuration
        )
        attempt_runner = AttemptRunner(
            env,
            self.servers,
            selector,
            self.engine_placer,
            stage_runner,
            self.connection_pool,
            self.retry_budget,
            crashes,
            resumption,
            fresh_tables,
            self.rollouts,
        )
        self.runner = RelayRunner(
            env,
            lambda: self.active_configuration.table,
            stage_runner,
            attempt_runner,
            self.retry_budget,
            self.input_guard,
            resumption,
            fresh_tables,
        )

    def _configuration(self):
        table = self.active_configuration.table
        return table.configuration if table else None

    def _limits(self) -> CallerLimits:
        configuration = self._configuration()
        return configuration.limits if configuration else CallerLimits()

    def _node_ids(self) -> list[str]:
        if self.membership is None:
            return [self.env.identity.node_id]
        return [m.node_id for m in self.membership.reachable()]

    def _may_have_lapsed(self) -> bool:
        if not self.server_table.is_connected:
            return True
        regained_s = self.server_table.regained_s
        now_s = self._now_s()
        return regained_s is not None and now_s - regained_s < STORE_RECOVERY_GRACE_S

    def _apply_operator_rows(self, rows, is_whole: bool) -> None:
        self.rollouts.apply(rows, is_whole)
        self.active_configuration.apply(rows, is_whole)

    def _apply_server_rows(self, rows, is_whole: bool) -> None:
        for row in rows:
            if row.value is None:
                self.servers.remove(row.key, era_of(row.version))
                continue
            try:
                listed = decode_server(row.key, row.value)
                self.servers.apply(listed, era_of(row.version))
            except MalformedRecord as error:
                log_event(
                    self.env.logger,
                    "server_entry_ignored",
                    key=row.key[:80],
                    reason=str(error)[:200],
                )

    def is_ready(self) -> bool:
        return (
            not self._draining
            and self.runner is not None
            and self.active_configuration.table is not None
            and self.server_table.is_loaded
        )

    async def _handle(self, request, reply) -> None:
        if self.runner is None:
            refusal = NotRun(
                "starting", reason="starting", retry_after_s=START_RETRY_AFTER_S
            )
            reply.start(*encode_error_response(refusal))
            return
        await self.runner.handle(request, reply)

    async def start(self) -> None:
        """Open the listeners, start following the store, and join the other nodes.

        The readiness listener answers during the start; requests of callers are refused
        until the peer services exist.
        """
        env = self.env
        log_event(
            env.logger,
            "node_starting",
            incarnation=env.identity.incarnation,
            failure_domain=env.identity.failure_domain,
            addresses=self.settings.listeners._asdict(),
        )
        self._listen()
        # Over a slow link the configuration is fetched from peers once they are known.
        has_slow_link = self.settings.node.link_mbps < SLOW_LINK_MBPS
        if not has_slow_link:
            self._tasks.spawn("operators", self.operator_table.run)
        self._tasks.spawn("servers", self.server_table.run)
        self._tasks.spawn("pool", self.connection_pool.run)
        self.registered_nodes = RegisteredNodes(env, self.store)
        key = await self.registered_nodes.join()
        current = self.settings.current
        self.settings.replace(
            current._replace(peers=current.peers._replace(keys=(key,)))
        )
        self._build_peer_services()
        # Requests are served from here on.
        self._tasks.spawn("pauses", self.membership.watch_pauses)
        self.peers.start(self._peer_sockets)
        await self.membership.start()
        self.table_source.connect(self.peer_sync.source)
        if has_slow_link:
            self._tasks.spawn("operators", self.operator_table.run)
        self._tasks.spawn("membership", self.membership.run)
        self._tasks.spawn("copies", self.peer_sync.run)
        self._tasks.spawn("stages", self.stage_owner.run)
        self._tasks.spawn("placements", self.engine_placer.run)
        self._tasks.spawn("quarantine", self.input_guard.run)
        self._tasks.spawn("expiry", self._expire_servers)
        self._tasks.spawn("versions", self.version_record.run)
        self._tasks.spawn("rollouts", self.rollout_owner.run)
        self._tasks.spawn("rollout_reports", self.rollout_reporter.run)
        self._tasks.spawn("registration", self.registered_nodes.run)
        log_event(
            env.logger,
            "node_started",
            incarnation=env.identity.incarnation,
            configuration_version=self.active_configuration.version,
        )

    def _listen(self) -> None:
        env = self.env
        handlers = {
            "callers": self._handle,
            "readiness": self.endpoints.readiness,
            "directory": self.endpoints.resolve,
            "metrics": self.endpoints.metrics,
        }
        for name, sockets in self._sockets.items():
            server = RequestServer(
                env,
                handlers[name],
                self._limits,
                encode_error_response,
                self.held_bytes,
                connection_limit(name, env.settings.node),
                name != "callers",
            )
            server.listen(sockets)
            self.http_servers[name] = server
        self.active_configuration.on_change.append(
            self.http_servers["callers"].apply_limits
        )

    async def _expire_servers(self) -> None:
        while True:
            await self.env.clock.sleep(EXPIRY_PERIOD_S)
            self.servers.expire_lapsed()

    async def stop(self) -> int:
        """Stop gracefully and return the number of requests that were ended early.

        The node leaves the membership and ends kept-alive connections with their next
        response. For some more time it accepts requests that are likely to end, since
        callers have its address cached, and waits for the running ones up to a share of
        the shutdown limit, or nearly all of it where a caller could not make up for the
        end.
        Every request that has arrived is answered before its connection is closed.
        """
        stop_began_s = self._now_s()
        self._draining = True
        callers = self.http_servers.get("callers")
        running = len(callers.tasks) if callers else 0
        drain_s = DRAIN_SHARE * self.settings.bounds.shutdown_s
        if self.runner is not None:
            self.runner.begin_stop(stop_began_s + drain_s)
        log_event(self.env.logger, "node_leaving", running=running)
        if self.membership is not None:
            await self.membership.leave()
        ended_count = 0
        if callers is not None:
            callers.disable_keep_alive()
            await self._drain(callers, stop_began_s)
            ended_count = await self._answer_last_requests(callers, stop_began_s)
        for server in self.http_servers.values():
            await server.close()
        await self.close()
        log_event(
            self.env.logger,
            "node_stopped",
            requests_cut=ended_count,
            hastened=self._is_stop_hastened,
        )
        return ended_count

    def hasten_stop(self) -> None:
        """End the running requests of a stop that has begun, instead of waiting.

        Answers that have begun go on until the time of the stop is over: they cannot be
        ended with an answer.
        """
        self._is_stop_hastened = True

    async def _drain(self, callers: RequestServer, stop_began_s: float) -> None:
        """Wait until the node is idle or the running requests must be ended.

        New requests are refused after `accept_limit_s`, and those that wait once they
        are not likely to end.
        """
        limit_s = self.settings.bounds.shutdown_s
        accept_s = accept_limit_s(limit_s)
        while not self._is_stop_hastened:
            await self.env.clock.sleep(DRAIN_POLL_PERIOD_S)
            elapsed_s = self._now_s() - stop_began_s
            if elapsed_s >= limit_s * DRAIN_SHARE:
                return
            if self.runner is not None:
                self.runner.refuse_late()
                if elapsed_s >= accept_s:
                    self.runner.refusal_reason = STOPPING_REASON
            if (
                elapsed_s >= IDLE_EXIT_DELAY_S
                and not callers.is_busy()
                and not self._has_stage_jobs()
            ):
                return

    async def _answer_last_requests(
        self, callers: RequestServer, stop_began_s: float
    ) -> int:
        """Answer what runs and what is on its way; return the number of ended requests.

        The listener is closed first, and the open connections are served a little
        longer: their callers may have sent a request just before. Spared requests run
        until shortly before the shutdown limit.
        """
        limit_s = self.settings.bounds.shutdown_s
        ended_count = self._end_running(self._is_spared)
        await callers.stop_listening()
        await self.env.clock.sleep(
            min(LAST_REQUESTS_LIMIT_S, LAST_REQUESTS_SHARE * limit_s)
        )
        end_at_s = stop_began_s + max(DRAIN_SHARE * limit_s, limit_s - STOP_MARGIN_S)
        while callers.tasks and (left_s := end_at_s - self._now_s()) > 0:
            await self.env.clock.sleep(min(left_s, DRAIN_POLL_PERIOD_S))
        ended_count += self._end_running(lambda state: False)
        if callers.tasks:
            await asyncio.wait(callers.tasks, timeout=LAST_ANSWERS_LIMIT_S)
        await callers.flush(LAST_ANSWERS_LIMIT_S)
        return ended_count

    def _now_s(self) -> float:
        return self.env.clock.monotonic_s()

    def _end_running(self, is_spared: Callable[[RequestState], bool]) -> int:
        return self.runner.end_running(is_spared) if self.runner is not None else 0

    def _is_spared(self, state: RequestState) -> bool:
        """Return whether a request runs on although the others are ended.

        The caller of a cut answer, or of a request that may have run and must not be
        repeated, can do nothing about it. A second signal ends the latter, with 502.
        """
        if state.reply.is_started:
            return True
        is_unrepeatable = state.may_have_run and not state.route.is_retryable
        return is_unrepeatable and not self._is_stop_hastened

    def _has_stage_jobs(self) -> bool:
        return bool(self.stage_owner.has_work())

    async def close(self) -> None:
        """Cancel all tasks and close the connections to peers and servers."""
        await self._tasks.cancel()
        if self.runner is not None:
            self.peers.stop()
        self.connection_pool.close()

    def reload(self, settings: Settings) -> None:
        """Apply changed settings while the node runs.

        The peer settings are kept: they hold the shared key that `start` obtained.
        """
        peer_settings = self.settings.current.peers
        self.settings.replace(settings._replace(peers=peer_settings))
        self.env.logger.setLevel(settings.log_level)
        log_event(
            self.env.logger, "settings_reloaded", bounds=settings.bounds._asdict()
        )


def _bind(address: str) -> list:
    host, _, port = address.rpartition(":")
    return bind_sockets(int(port), host)
