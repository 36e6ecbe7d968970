"""Nodes with plan services that share an in-memory table.

A node can be paused at any call that it makes to another service.
"""

import asyncio
from collections.abc import Callable
from typing import (
    Any,
    NamedTuple,
)

from egretshed.backends.interface import (
    BackendOrder,
    LoadReport,
    OrderResult,
)
from egretshed.configuration.validation import build_configuration
from egretshed.errors import (
    BackendSilent,
    BackendUnreachable,
    StaleFencingNumber,
    TableOutcomeUnknown,
    TableUnavailable,
    VersionConflict,
)
from egretshed.plans.service import PlanService
from egretshed.platform.interface import WeightVersion
from standins.clock import ManualClock
from standins.environments import (
    make_environment,
    make_settings,
)
from standins.memory_platform import MemoryPlatform

FAILURE_DOMAINS = ("a", "b", "c")
CallObserver = Callable[["Node", str, Any, bool], None]


def declared_objects() -> dict[str, dict]:
    """Return objects with one engine pool over three failure domains.

    The replica in failure domain c does not check fencing numbers.
    """
    replicas = [
        {
            "replica_id": f"m-{domain}",
            "url": "http://127.0.0.1:1",
            "failure_domain": domain,
            "checks_fencing": domain != "c",
        }
        for domain in FAILURE_DOMAINS
    ]
    pool = {"role": "engine", "cold_slots": 2, "warm_slots": 8, "model": "m"}
    spare_pool = {"role": "service", "cold_slots": 1, "warm_slots": 1, "replicas": []}
    return {
        **{f"failure_domains/{name}": {"region": "r"} for name in FAILURE_DOMAINS},
        "models/m": {"version": "1"},
        "pools/main": {**pool, "replicas": replicas},
        "pools/spare": spare_pool,
        "pipelines/p": {"stages": [{"name": "s", "pool": "main"}]},
        "kinds/k": {"pipeline": "p", "deadline_s": 6.0},
    }


class ConfigurationStore:
    """Configuration versions, which all nodes share."""

    def __init__(self, memory: MemoryPlatform):
        self.memory = memory
        self.versions = [{}, declared_objects()]
        self.lose_next_replies = 0
        self._snapshots: dict[int, Any] = {}

    def snapshot(self, version: int):
        if version not in self._snapshots:
            built = build_configuration(version, self.versions[version])
            self._snapshots[version] = built.default_with(_raise)
        return self._snapshots[version]

    @property
    def objects(self) -> dict[str, dict]:
        return self.versions[-1]

    def domains_out(self) -> set[str]:
        prefix = "failure_domains/"
        return {
            id_.removeprefix(prefix)
            for id_, body in self.objects.items()
            if id_.startswith(prefix) and body.get("out")
        }


class FakeConfiguration:
    """Configuration service of one node; it keeps its old version while `lagging`."""

    def __init__(self, store: ConfigurationStore, node: "Node"):
        self.store = store
        self.node = node
        self.lagging = False
        self._version = 1

    @property
    def current(self):
        if not self.lagging:
            self._version = len(self.store.versions) - 1
        return self.store.snapshot(self._version)

    def objects(self) -> dict[str, dict]:
        return dict(self.store.versions[self._version])

    async def change(self, base_version, changes, operator, reason) -> int:
        await self.node.pause_point("change", (base_version, changes))
        if self.store.memory.down:
            raise TableUnavailable("the platform is down")
        if base_version != len(self.store.versions) - 1:
            raise VersionConflict("changed", version=len(self.store.versions) - 1)
        objects = {**self.store.objects, **changes}
        objects = {id_: body for id_, body in objects.items() if body is not None}
        build_configuration(base_version + 1, objects).default_with(_raise)
        self.store.versions.append(objects)
        if self.store.lose_next_replies:
            self.store.lose_next_replies -= 1
            raise TableOutcomeUnknown("the reply was lost")
        await self.node.pause_point()
        return base_version + 1

    def is_fresh(self) -> bool:
        return True

    async def history(self, limit: int) -> list:
        return [HistoryRecord(n, "ada", "") for n in range(1, len(self.store.versions))]

    async def objects_at(self, version: int) -> dict[str, dict]:
        return self.store.versions[version]


class HistoryRecord(NamedTuple):
    version: int
    operator: str
    reason: str


class FakeBackendServer:
    """A backend server that executes orders.

    `applied` lists the fencing number and id of each order that took effect.
    """

    def __init__(self, clock: ManualClock, checks_fencing: bool):
        self.clock = clock
        self.checks_fencing = checks_fencing
        self.highest_fencing_number = 0
        self.revision = 1
        self.models = {"m": "1"}
        self.adapters: set[str] = set()
        self.in_flight = 0
        self.warm = True
        self.unreachable = False
        self.lose_next_replies = 0
        self.delay_s = 0.0
        self.applied: list[tuple[int, str]] = []

    async def execute(self, order: BackendOrder) -> OrderResult:
        await self.clock.sleep(self.delay_s)
        if self.unreachable:
            raise BackendUnreachable("refused", may_have_run=False)
        if self.checks_fencing and order.fencing_number < self.highest_fencing_number:
            raise StaleFencingNumber("stale", highest=self.highest_fencing_number)
        self.highest_fencing_number = max(
            self.highest_fencing_number, order.fencing_number
        )
        if order.expected_revision not in (None, self.revision):
            return OrderResult(False, self.revision, "another revision")
        self.revision += 1
        self.applied.append((order.fencing_number, order.order_id))
        if order.action == "load_model":
            self.models[order.arguments["model"]] = order.arguments["version"]
        if order.action == "load_adapter":
            self.adapters.add(order.arguments["adapter"])
        if self.lose_next_replies:
            self.lose_next_replies -= 1
            raise BackendSilent("no reply")
        return OrderResult(True, self.revision)


class FakeBackend:
    """`Backend` that one node uses for one server."""

    def __init__(self, server: FakeBackendServer, node: "Node"):
        self.server = server
        self.node = node

    async def load(self) -> LoadReport:
        await self.node.pause_point()
        server = self.server
        if server.unreachable:
            raise BackendUnreachable("refused", may_have_run=False)
        return LoadReport(
            server.in_flight,
            0,
            server.warm,
            False,
            0.1,
            dict(server.models),
            server.revision,
        )

    async def order(self, order: BackendOrder) -> OrderResult:
        await self.node.pause_point("order", order)
        order = self.node.cluster.transform_order(order)
        # An order that was sent takes effect even if the node does not await the reply.
        return await asyncio.shield(asyncio.ensure_future(self.server.execute(order)))


class Member(NamedTuple):
    node_id: str
    status: str = "ALIVE"


class PausableTable:
    """The table as used by one node, with pause points before and after each call."""

    def __init__(self, table: Any, node: "Node"):
        self.table = table
        self.node = node

    def __getattr__(self, name: str):
        async def call(*arguments):
            await self.node.pause_point(name, arguments)
            result = await getattr(self.table, name)(*arguments)
            await self.node.pause_point(name, arguments, after=True)
            return result

        return call


class PausableClock:
    """The clock as used by one node, with a pause point after each sleep."""

    def __init__(self, clock: ManualClock, node: "Node"):
        self.clock = clock
        self.node = node
        self.monotonic_s = clock.monotonic_s
        self.wall_s = clock.wall_s

    async def sleep(self, seconds: float) -> None:
        await self.clock.sleep(seconds)
        await self.node.pause_point()


class Node:
    """One node; it also serves as its own membership and backend directory.

    It is suspended after passing `pause_after_calls` pause points, until `resume`.
    """

    def __init__(self, cluster: "Cluster", node_id: str):
        self.cluster = cluster
        self.node_id = node_id
        self.pause_after_calls: int | None = None
        self.running = asyncio.Event()
        self.running.set()
        self.start()

    def start(self) -> None:
        cluster = self.cluster
        plans = {"wait_limit_s": cluster.wait_limit_s}
        env = make_environment(
            cluster.clock,
            self.node_id,
            seed=cluster.next_seed(),
            settings=make_settings(self.node_id, plans=plans),
        )
        env = env._replace(clock=PausableClock(cluster.clock, self))
        platform = cluster.memory.platform
        platform = platform._replace(table=PausableTable(platform.table, self))
        self.configuration = FakeConfiguration(cluster.store, self)
        self.plans = PlanService(env, platform, self.configuration, self, self, None)
        self.task = asyncio.ensure_future(self.plans.run())

    def kill(self) -> None:
        self.task.cancel()
        self.running.set()
        self.pause_after_calls = None

    def resume(self) -> None:
        self.pause_after_calls = None
        self.running.set()

    async def pause_point(
        self, call: str = "", detail: Any = None, after: bool = False
    ) -> None:
        """Yield to other nodes, report the call, and wait while suspended."""
        await asyncio.sleep(0)
        self.cluster.observe_call(self, call, detail, after)
        if self.pause_after_calls is not None:
            self.pause_after_calls -= 1
            if self.pause_after_calls <= 0:
                self.running.clear()
        await self.running.wait()

    # Methods of membership and of the backend directory that plans use.

    def reachable(self) -> list[Member]:
        nodes = self.cluster.nodes
        left_node_ids = self.cluster.left_node_ids
        return [
            Member(id_, "LEAVING" if id_ in left_node_ids else "ALIVE")
            for id_, node in nodes.items()
            if not node.task.cancelled()
        ]

    async def leave(self) -> None:
        self.cluster.left_node_ids.add(self.node_id)

    def get(self, replica_id: str) -> FakeBackend:
        return FakeBackend(self.cluster.servers[replica_id], self)


def unchanged_order(order: BackendOrder) -> BackendOrder:
    return order


class Cluster:
    """Nodes and backend servers on one clock that tests advance.

    `observe_call` is called at each pause point, with the call's name and arguments and
    whether it has returned; it may suspend the node. `transform_order` is applied to
    orders before a backend server receives them.
    """

    def __init__(
        self,
        node_ids: tuple[str, ...] = ("n1", "n2", "n3"),
        wait_limit_s: float = 120.0,
    ):
        self.wait_limit_s = wait_limit_s
        self.clock = ManualClock()
        self.memory = MemoryPlatform(self.clock)
        self.memory.core.weights += [WeightVersion("m", v, int(4e9)) for v in "123"]
        self.store = ConfigurationStore(self.memory)
        self.servers = {
            f"m-{name}": FakeBackendServer(self.clock, name != "c")
            for name in FAILURE_DOMAINS
        }
        self.left_node_ids: set[str] = set()
        self.seed_count = 0
        self.observe_call: CallObserver = lambda node, call, detail, after: None
        self.transform_order = unchanged_order
        self.nodes = {id_: Node(self, id_) for id_ in node_ids}

    def next_seed(self) -> int:
        self.seed_count += 1
        return self.seed_count

    def rows(self) -> dict[str, Any]:
        return self.memory.core.table.dump()

    def stop(self) -> None:
        for node in self.nodes.values():
            node.kill()


def _raise(error: Exception) -> Any:
    raise error
