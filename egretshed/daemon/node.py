"""Entry node with its own HTTP interface for callers and operators.

Creates the services of the node, passes each its dependencies, and starts and stops
them in order.
"""

import asyncio
import socket
from typing import Any

from tornado.netutil import bind_sockets
from tornado.web import Application

from egretshed.admission.queue import AdmissionQueue
from egretshed.backends.directory import BackendDirectory
from egretshed.callers.events import StreamProxy
from egretshed.callers.handlers import (
    CallerServices,
    caller_routes,
)
from egretshed.callers.health import (
    UnknownPathHandler,
    health_routes,
)
from egretshed.callers.keys import CustomerAuthenticator
from egretshed.callers.responses import ResponseTracker
from egretshed.callers.server import CallerServer
from egretshed.claims.service import ClaimService
from egretshed.configuration.service import ConfigurationService
from egretshed.daemon.environment import make_environment
from egretshed.daemon.tasks import NodeTasks
from egretshed.errors import (
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.logs import log_event
from egretshed.membership.service import MembershipService
from egretshed.operators.routes import (
    OperatorServices,
    operator_routes,
)
from egretshed.peers.network import TcpPeerNetwork
from egretshed.plans.service import PlanService
from egretshed.platform.adapters import connect_platform
from egretshed.requests.run import RunnerServices
from egretshed.requests.runner import RequestRunner
from egretshed.retries.budgets import RetryBudgets
from egretshed.retries.stage_times import StageTimes
from egretshed.routing.router import Router
from egretshed.settings.schema import (
    MembershipSettings,
    Settings,
)
from egretshed.slots.service import SlotService

# The handlers answer a body over the limit with an error. Tornado closes the connection
# of a body that exceeds the limit by this factor.
BODY_HARD_LIMIT_FACTOR = 4
# Time for which requests that are already on their way are answered after the listener
# was closed.
LAST_REQUESTS_S = 0.3
# Limit of a hastened stop on the wait for the answers of the requests that it ended.
HASTENED_LIMIT_S = 1.0


class Node:
    """Services of one entry node.

    `superseded` is set once a newer process runs under the same node id.
    """

    listens_at_start = False

    def __init__(self, settings: Settings):
        node = settings.node
        self._peer_sockets = bind_sockets(node.peer_port, node.host)
        self._http_sockets = bind_sockets(node.http_port, node.host)
        self.env = make_environment(
            settings, _port(self._peer_sockets), _port(self._http_sockets)
        )
        self._tasks = NodeTasks(self.env)
        self._draining = False
        self.superseded = asyncio.Event()
        self._hastened = asyncio.Event()
        self.responses = ResponseTracker()

    def _build_services(self) -> None:
        env = self.env
        self.platform = connect_platform(env)
        self.peers = TcpPeerNetwork(
            env, lambda node_id: self.membership.resolve(node_id)
        )
        self.membership = MembershipService(env, self.platform, self.peers)
        self.membership.load_source = self._load_permille
        self.membership.on_superseded(self._on_superseded)
        self.configuration = ConfigurationService(
            env, self.platform, self.peers, self.membership
        )
        self.backends = BackendDirectory(env, self.configuration)
        self.slots = SlotService(
            env, self.peers, self.membership, self.configuration, self.backends
        )
        self.router = Router(
            env, self.configuration, self.slots.borrower, self.membership, self.backends
        )
        self.stage_times = StageTimes(env)
        self.admission = AdmissionQueue(
            env, self.configuration, self.stage_times, self.router.capacities
        )
        self.claims = ClaimService(env, self.platform, self._is_alive)
        self.runner = RequestRunner(env, self._runner_services())
        self.streams = StreamProxy(env, self.peers, self.runner)
        self.plans = PlanService(
            env,
            self.platform,
            self.configuration,
            self.membership,
            self.backends,
            self.slots,
        )

    def _runner_services(self) -> RunnerServices:
        return RunnerServices(
            configuration=self.configuration,
            admission=self.admission,
            router=self.router,
            backends=self.backends,
            claims=self.claims,
            budgets=RetryBudgets(self.env),
            stage_times=self.stage_times,
        )

    def _application(self) -> Application:
        callers = CallerServices(
            env=self.env,
            configuration=self.configuration,
            membership=self.membership,
            runner=self.runner,
            streams=self.streams,
            claims=self.claims,
            authenticator=CustomerAuthenticator(self.configuration),
            responses=self.responses,
        )

        async def query_outcomes(request_id: str) -> list[dict[str, Any]]:
            own_id = self.env.identity.node_id
            peer_ids = [
                m.node_id for m in self.membership.reachable() if m.node_id != own_id
            ]
            return await self.streams.outcomes_for_all_customers(request_id, peer_ids)

        operators = OperatorServices(
            env=self.env,
            configuration=self.configuration,
            membership=self.membership,
            slots=self.slots,
            plans=self.plans,
            outcomes=query_outcomes,
        )
        routes = [
            *caller_routes(callers),
            *operator_routes(operators),
            *health_routes(self.env, self.is_ready),
        ]
        return Application(
            routes,
            default_handler_class=UnknownPathHandler,
            log_function=lambda handler: None,
        )

    def _is_alive(self, node_id: str, incarnation: int) -> bool:
        """Return whether the process with this node id and incarnation is reachable."""
        member = self.membership.member(node_id)
        return (
            member is not None
            and member.is_reachable
            and member.incarnation == incarnation
        )

    def _load_permille(self) -> int:
        """Return the running requests in thousandths of their limit."""
        limit = self.env.settings.admission.running_requests
        return min(1000, 1000 * self.runner.running_count() // limit)

    def _on_superseded(self, incarnation: int) -> None:
        """Stop accepting requests, since a newer process runs under this node id."""
        log_event(self.env.logger, "node_superseded", by_incarnation=incarnation)
        self.runner.stop_accepting("superseded")
        self.superseded.set()

    def is_ready(self) -> bool:
        return (
            not self._draining
            and not self.membership.is_superseded
            and self.configuration.is_fresh()
        )

    async def start(self) -> None:
        """Join the other nodes, load the latest configuration, then accept requests."""
        self._build_services()
        self.peers.start(self._peer_sockets)
        await self.membership.start()
        self._tasks.spawn("membership", self.membership.run)
        await self.configuration.start()
        for name, service in (
            ("configuration", self.configuration),
            ("slots", self.slots),
            ("router", self.router),
            ("admission", self.admission),
            ("claims", self.claims),
            ("runner", self.runner),
            ("plans", self.plans),
        ):
            self._tasks.spawn(name, service.run)
        http = self.env.settings.http
        self._server = CallerServer(
            self._application(),
            self.responses,
            max_body_size=http.body_limit_bytes * BODY_HARD_LIMIT_FACTOR,
            body_timeout=http.header_timeout_s,
            idle_connection_timeout=http.header_timeout_s * 6,
        )
        self._server.add_sockets(self._http_sockets)
        identity = self.env.identity
        log_event(
            self.env.logger,
            "node_started",
            incarnation=identity.incarnation,
            http_port=identity.http_port,
            peer_port=identity.peer_port,
            configuration_version=self.configuration.current.version,
        )

    async def stop(self) -> int:
        """Stop gracefully and return the number of requests that were ended early.

        The node accepts requests until no caller uses its address any more, and refuses
        them after that. Every request that has arrived is answered before its
        connection is closed.
        """
        self._draining = True
        settings = self.env.settings
        log_event(self.env.logger, "node_leaving", running=self.runner.running_count())
        self._server.disable_keep_alive()
        await self.membership.leave()
        await self._wait_until_hastened(_leave_duration_s(settings.membership))
        self.runner.stop_accepting("node_stopping")
        ended_count = await self._drain_runner(settings.shutdown.limit_s)
        await self._server.stop_listening(self.env)
        await asyncio.sleep(LAST_REQUESTS_S)
        limit_s = settings.shutdown.limit_s
        if self._hastened.is_set():
            limit_s = min(limit_s, HASTENED_LIMIT_S)
        if not await self.responses.wait_idle(limit_s):
            log_event(self.env.logger, "responses_cut")
        await self.slots.return_loans()
        await self.claims.flush(limit_s)
        await self._release_lease()
        await self.close()
        log_event(
            self.env.logger,
            "node_stopped",
            requests_cut=ended_count,
            hastened=self._hastened.is_set(),
        )
        return ended_count

    def hasten_stop(self) -> None:
        """End the running requests of a stop that has begun, instead of waiting."""
        self._hastened.set()

    async def _wait_until_hastened(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._hastened.wait()
        except TimeoutError:
            return

    async def _drain_runner(self, limit_s: float) -> int:
        """Wait for the running requests; return how many were ended early."""
        drain_task = asyncio.create_task(self.runner.drain(limit_s))
        hastened_task = asyncio.create_task(self._hastened.wait())
        await asyncio.wait(
            {drain_task, hastened_task}, return_when=asyncio.FIRST_COMPLETED
        )
        hastened_task.cancel()
        if drain_task.done():
            return drain_task.result()
        drain_task.cancel()
        return await self.runner.drain(0.0)

    async def _release_lease(self) -> None:
        try:
            await self.plans.stop()
        except (PlatformUnavailable, TableConflict, TableOutcomeUnknown) as error:
            # The lease expires without a release.
            log_event(self.env.logger, "lease_not_released", error=error.code)

    async def close(self) -> None:
        """Cancel all tasks and close all connections, without a graceful stop."""
        await self._tasks.cancel()
        self._server.stop()
        await self._server.close_all_connections()
        self.peers.stop()


def _leave_duration_s(membership: MembershipSettings) -> float:
    """Return how long callers may still connect to a leaving node.

    A peer may hand out the address until it learns that the node leaves. This takes at
    most as long as the detection of a failure. Callers then cache the address for
    `address_keep_s`.
    """
    detection_s = (
        membership.probe_period_s + membership.probe_timeout_s + membership.suspicion_s
    )
    return detection_s + membership.address_keep_s


def _port(sockets: list[socket.socket]) -> int:
    return sockets[0].getsockname()[1]
