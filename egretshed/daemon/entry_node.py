"""One entry node before the users' platform: its slices wired, started and stopped."""

from tornado.netutil import bind_sockets

from egretshed.daemon.environment import make_environment
from egretshed.daemon.tasks import NodeTasks
from egretshed.errors import NotRun
from egretshed.feeds.follower import TableFollower
from egretshed.feeds.peer_sync import (
    SLOW_LINK_MBPS,
    PeerTableSync,
)
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
from egretshed.peers.shared_key import obtain_shared_key
from egretshed.placement.engines import EnginePlacer
from egretshed.platform.http_messages import encode_error_response
from egretshed.platform.interface import (
    ChangeFeed,
    Platform,
)
from egretshed.platform.records import (
    MalformedRecord,
    decode_server,
)
from egretshed.platform.store import RowStore
from egretshed.platform.tables import (
    OPERATOR_TABLE,
    SERVER_TABLE,
)
from egretshed.relay.attempt import AttemptRunner
from egretshed.relay.runner import RelayRunner
from egretshed.relay.server_selection import ServerSelector
from egretshed.relay.stages import StageRunner
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.servers.registry import ServerRegistry
from egretshed.serving.active_configuration import ActiveConfiguration
from egretshed.serving.schema import CallerLimits
from egretshed.settings.reloadable import ReloadableSettings
from egretshed.settings.schema import Settings
from egretshed.stagework.client import StageClient
from egretshed.stagework.owner import StageOwner
from egretshed.upstream.pool import ConnectionPool

STDOUT = 1
# How long the store must have been back before a removed entry means a lost server.
STORE_DOUBT_S = 2.5
EXPIRE_PERIOD_S = 0.5
# A stopping node takes new requests this long: callers still hold its address.
SERVE_ON_SHARE = 0.4
# Requests that run this share of the allowed time after the signal are cut.
DRAIN_SHARE = 0.93
# A stopping node that is idle exits once callers have had time to learn of it.
IDLE_EXIT_S = 3.2
IDLE_POLL_S = 0.05
# A node that starts is ready about this long after, if the store answers.
START_S = 0.5


class EntryNode:
    """All slices of one node; `start` returns once it serves."""

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
            self.settings, node.peer_port, caller_port, RateLimitedOutput(STDOUT)
        )
        self._tasks = NodeTasks(self.env)
        self._draining = False
        self.membership: MembershipService | None = None
        self._build_relay()

    def _build_relay(self) -> None:
        env = self.env
        self.pool = ConnectionPool(env)
        self.store = RowStore(env, self.pool)
        self.in_force = ActiveConfiguration(env)
        self.copies: PeerTableSync | None = None
        self.operators = TableFollower(
            env,
            lambda: self._source(self.operators),
            OPERATOR_TABLE,
            self.in_force.apply,
        )
        self.listed = TableFollower(
            env, lambda: self._source(self.listed), SERVER_TABLE, self._on_servers
        )
        self.servers = ServerRegistry(
            env, self.in_force.is_evacuated, self._store_is_doubtful, self._node_ids
        )
        self.budget = SharedRetryBudget(env, lambda: len(self._node_ids()))
        self.owner = StageOwner(
            env, self._configuration, self.servers, self.pool, self.budget
        )
        self.endpoints = NodeEndpoints(env, lambda: self.membership, self.is_ready)
        self.runner: RelayRunner | None = None

    def _build_peers(self) -> None:
        env = self.env
        self.registered = RegisteredNodes(env, self.store)
        platform = Platform(None, None, None, self.registered)
        self.peers = TcpPeerNetwork(env, lambda n: self.membership.resolve(n))
        self.membership = MembershipService(env, platform, self.peers)
        self.membership.version_source = lambda: self.in_force.version
        owners = DutyOwners(env, self.membership)
        followers = {f.table: f for f in (self.operators, self.listed)}
        self.copies = PeerTableSync(env, self.peers, owners, followers)
        self.placer = EnginePlacer(
            env,
            self.peers,
            owners,
            self.servers,
            self._configuration,
            lambda: self.listed.version,
        )
        selector = ServerSelector(env, self.servers, self.placer)
        client = StageClient(env, self.peers, owners, self.owner)
        stages = StageRunner(env, client, selector, self.servers, self._configuration)
        attempts = AttemptRunner(
            env,
            self.servers,
            selector,
            self.placer,
            stages,
            self.pool,
            self.budget,
        )
        self.runner = RelayRunner(
            env,
            lambda: self.in_force.table,
            stages,
            attempts,
            self.budget,
        )

    def _source(self, follower: TableFollower) -> ChangeFeed:
        if self.copies is None:
            return self.store
        return self.copies.source(follower, self.store)

    def _configuration(self):
        table = self.in_force.table
        return table.configuration if table else None

    def _limits(self) -> CallerLimits:
        configuration = self._configuration()
        return configuration.limits if configuration else CallerLimits()

    def _node_ids(self) -> list[str]:
        if self.membership is None:
            return [self.env.identity.node_id]
        return [m.node_id for m in self.membership.reachable()]

    def _store_is_doubtful(self) -> bool:
        if not self.listed.is_connected:
            return True
        regained_s = self.listed.regained_s
        now_s = self.env.clock.monotonic_s()
        return regained_s is not None and now_s - regained_s < STORE_DOUBT_S

    def _on_servers(self, rows, is_whole: bool) -> None:
        for row in rows:
            if row.value is None:
                self.servers.remove(row.key)
                continue
            try:
                self.servers.apply(decode_server(row.key, row.value))
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
            and self.in_force.table is not None
            and self.listed.is_loaded
        )

    async def _handle(self, request, reply) -> None:
        if self.runner is None:
            refusal = NotRun("starting", reason="starting", retry_after_s=START_S)
            reply.start(*encode_error_response(refusal))
            return
        await self.runner.handle(request, reply)

    async def start(self) -> None:
        """Listen, read the operators' tables, join the other nodes, serve."""
        env = self.env
        log_event(
            env.logger,
            "node_starting",
            incarnation=env.identity.incarnation,
            failure_domain=env.identity.failure_domain,
            addresses=self.settings.listeners._asdict(),
        )
        self._listen()
        # Over a slow link the configuration comes from peers, once they are known.
        is_slow = self.settings.node.link_mbps < SLOW_LINK_MBPS
        if not is_slow:
            self._tasks.spawn("operators", self.operators.run)
        self._tasks.spawn("servers", self.listed.run)
        self._tasks.spawn("pool", self.pool.run)
        key = await obtain_shared_key(env, self.store)
        current = self.settings.current
        self.settings.replace(
            current._replace(peers=current.peers._replace(keys=(key,)))
        )
        self._build_peers()
        self.peers.start(self._peer_sockets)
        await self.registered.register()
        await self.membership.start()
        if is_slow:
            self._tasks.spawn("operators", self.operators.run)
        self._tasks.spawn("membership", self.membership.run)
        self._tasks.spawn("copies", self.copies.run)
        self._tasks.spawn("stages", self.owner.run)
        self._tasks.spawn("placements", self.placer.run)
        self._tasks.spawn("expiry", self._expire)
        log_event(
            env.logger,
            "node_started",
            incarnation=env.identity.incarnation,
            configuration_version=self.in_force.version,
        )

    def _listen(self) -> None:
        env = self.env
        handlers = {
            "callers": self._handle,
            "readiness": self.endpoints.readiness,
            "directory": self.endpoints.resolve,
            "metrics": self.endpoints.metrics,
        }
        self.http: dict[str, RequestServer] = {}
        for name, sockets in self._sockets.items():
            server = RequestServer(
                env, handlers[name], self._limits, encode_error_response
            )
            server.listen(sockets)
            self.http[name] = server
        self.in_force.on_change.append(self.http["callers"].apply_limits)

    async def _expire(self) -> None:
        while True:
            await self.env.clock.sleep(EXPIRE_PERIOD_S)
            self.servers.expire_lapsed()

    async def stop(self) -> int:
        """Stop gracefully; return how many requests had to be cut.

        The node leaves the directory at once and serves on for a while, since callers
        keep its address; then it ends the connections that wait for nothing.
        """
        began_s = self.env.clock.monotonic_s()
        limit_s = self.settings.bounds.shutdown_s
        self._draining = True
        callers = self.http["callers"]
        callers.disable_keep_alive()
        log_event(self.env.logger, "node_leaving", running=len(callers.tasks))
        if self.membership is not None:
            await self.membership.leave()
        await self._wait_idle(began_s, limit_s)
        cut = len(callers.tasks)
        for task in list(callers.tasks):
            task.cancel()
        for server in self.http.values():
            await server.close()
        await self.close()
        log_event(self.env.logger, "node_stopped", requests_cut=cut)
        return cut

    async def _wait_idle(self, began_s: float, limit_s: float) -> None:
        """Serve on until callers have left or the time is nearly up."""
        callers = self.http["callers"]
        while True:
            await self.env.clock.sleep(IDLE_POLL_S)
            elapsed_s = self.env.clock.monotonic_s() - began_s
            if elapsed_s >= limit_s * DRAIN_SHARE:
                return
            if elapsed_s >= limit_s * SERVE_ON_SHARE and self.runner is not None:
                self.runner.refusal_reason = "node_stopping"
            if elapsed_s >= IDLE_EXIT_S and not callers.tasks and not self._is_owner():
                return

    def _is_owner(self) -> bool:
        return bool(self.owner.has_work())

    async def close(self) -> None:
        """End all tasks and connections at once."""
        await self._tasks.cancel()
        if self.runner is not None:
            self.peers.stop()
        self.pool.close()

    def reload(self, settings: Settings) -> None:
        """Take over what may change while the node runs."""
        keys = self.settings.current.peers
        self.settings.replace(settings._replace(peers=keys))
        self.env.logger.setLevel(settings.log_level)
        log_event(
            self.env.logger, "settings_reloaded", bounds=settings.bounds._asdict()
        )


def _bind(address: str) -> list:
    host, _, port = address.rpartition(":")
    return bind_sockets(int(port), host)
