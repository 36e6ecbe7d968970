"""One node: its slices wired together, started and stopped in order."""

import asyncio
import socket
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from egretshed.admission.queue import AdmissionQueue
from egretshed.backends.directory import BackendDirectory
from egretshed.callers.events import StreamProxy
from egretshed.callers.handlers import (
    CallerServices,
    ResponseTracker,
    caller_routes,
)
from egretshed.callers.health import (
    UnknownPathHandler,
    health_routes,
)
from egretshed.callers.keys import CustomerAuthenticator
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

BODY_HARD_LIMIT_FACTOR = 4


class Node:
    """All slices of one entry node."""

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
        self.responses = ResponseTracker()

    def _build(self) -> None:
        env = self.env
        self.platform = connect_platform(env)
        self.peers = TcpPeerNetwork(env, lambda n: self.membership.resolve(n))
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

        async def outcomes(request_id: str) -> list[dict[str, Any]]:
            own = self.env.identity.node_id
            others = [
                m.node_id for m in self.membership.reachable() if m.node_id != own
            ]
            return await self.streams.outcomes_for_all_customers(request_id, others)

        operators = OperatorServices(
            env=self.env,
            configuration=self.configuration,
            membership=self.membership,
            slots=self.slots,
            plans=self.plans,
            outcomes=outcomes,
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
        """Return whether another process is reachable under this incarnation."""
        member = self.membership.member(node_id)
        return (
            member is not None
            and member.is_reachable
            and member.incarnation == incarnation
        )

    def _load_permille(self) -> int:
        """Return running requests in thousandths of what the settings allow."""
        limit = self.env.settings.admission.running_requests
        return min(1000, 1000 * self.runner.running_count() // limit)

    def _on_superseded(self, incarnation: int) -> None:
        """Start no more requests: a newer process has this node id."""
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
        """Join the other nodes, learn the newest configuration, then serve."""
        self._build()
        self.peers.start(self._peer_sockets)
        await self.membership.start()
        self._tasks.spawn("membership", self.membership.run)
        await self.configuration.start()
        for name, slice_ in (
            ("configuration", self.configuration),
            ("slots", self.slots),
            ("router", self.router),
            ("admission", self.admission),
            ("claims", self.claims),
            ("runner", self.runner),
            ("plans", self.plans),
        ):
            self._tasks.spawn(name, slice_.run)
        http = self.env.settings.http
        self._server = HTTPServer(
            self._application(),
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
        """Stop gracefully; return how many requests had to be cut.

        Goes on serving until the address answers that name this node have expired.
        """
        self._draining = True
        settings = self.env.settings
        log_event(self.env.logger, "node_leaving", running=self.runner.running_count())
        await self.membership.leave()
        await asyncio.sleep(_leave_s(settings.membership))
        self.runner.stop_accepting("node_stopping")
        self._server.stop()
        cut = await self.runner.drain(settings.shutdown.limit_s)
        if not await self.responses.wait_idle(settings.shutdown.limit_s):
            log_event(self.env.logger, "responses_cut")
        await self.slots.return_loans()
        await self.claims.flush(settings.shutdown.limit_s)
        await self._release_lease()
        await self.close()
        log_event(self.env.logger, "node_stopped", requests_cut=cut)
        return cut

    async def _release_lease(self) -> None:
        try:
            await self.plans.stop()
        except (PlatformUnavailable, TableConflict, TableOutcomeUnknown) as error:
            # The lease expires by itself.
            log_event(self.env.logger, "lease_not_released", error=error.code)

    async def close(self) -> None:
        """End all tasks and connections at once, without leaving gracefully."""
        await self._tasks.cancel()
        self._server.stop()
        await self._server.close_all_connections()
        self.peers.stop()


def _leave_s(membership: MembershipSettings) -> float:
    """Return how long a leaving node is still connected to.

    A peer may hand the address out until it learns of the leave, at the latest when it
    would have detected a failure, and callers keep the answer for `address_keep_s`.
    """
    hears_s = (
        membership.probe_period_s + membership.probe_timeout_s + membership.suspicion_s
    )
    return hears_s + membership.address_keep_s


def _port(sockets: list[socket.socket]) -> int:
    return sockets[0].getsockname()[1]
