"""Nodes with plan services over one memory table, with pauses at any outside call."""

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

DOMAINS = ("a", "b", "c")
Watch = Callable[["Node", str, Any, bool], None]


def declared_objects() -> dict[str, dict]:
    """Return one engine pool over three failure domains; domain c ignores fencing."""
    replicas = [
        {
            "replica_id": f"m-{domain}",
            "url": "http://127.0.0.1:1",
            "failure_domain": domain,
            "checks_fencing": domain != "c",
        }
        for domain in DOMAINS
    ]
    pool = {"role": "engine", "cold_slots": 2, "warm_slots": 8, "model": "m"}
    plain = {"role": "service", "cold_slots": 1, "warm_slots": 1, "replicas": []}
    return {
        **{f"failure_domains/{name}": {"region": "r"} for name in DOMAINS},
        "models/m": {"version": "1"},
        "pools/main": {**pool, "replicas": replicas},
        "pools/spare": plain,
        "pipelines/p": {"stages": [{"name": "s", "pool": "main"}]},
        "kinds/k": {"pipeline": "p", "deadline_s": 6.0},
    }


class ConfigurationStore:
    """Versions that all nodes share."""

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
    """One node's view; it stays at an old version while `lagging`."""

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
        await self.node.gate("change", (base_version, changes))
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
        await self.node.gate()
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


class FakeServer:
    """A backend server that takes orders; `applied` has (fencing number, order id)."""

    def __init__(self, clock: ManualClock, checks_fencing: bool):
        self.clock = clock
        self.checks_fencing = checks_fencing
        self.highest = 0
        self.revision = 1
        self.models = {"m": "1"}
        self.adapters: set[str] = set()
        self.in_flight = 0
        self.warm = True
        self.unreachable = False
        self.lose_next_replies = 0
        self.delay_s = 0.0
        self.applied: list[tuple[int, str]] = []

    async def take(self, order: BackendOrder) -> OrderResult:
        await self.clock.sleep(self.delay_s)
        if self.unreachable:
            raise BackendUnreachable("refused", may_have_run=False)
        if self.checks_fencing and order.fencing_number < self.highest:
            raise StaleFencingNumber("stale", highest=self.highest)
        self.highest = max(self.highest, order.fencing_number)
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


class ServerClient:
    """`Backend` of one server as used by one node."""

    def __init__(self, server: FakeServer, node: "Node"):
        self.server = server
        self.node = node

    async def load(self) -> LoadReport:
        await self.node.gate()
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
        await self.node.gate("order", order)
        order = self.node.cluster.alter_order(order)
        # An order on the wire takes effect even if the node gives up on it.
        return await asyncio.shield(asyncio.ensure_future(self.server.take(order)))


class Member(NamedTuple):
    node_id: str
    status: str = "ALIVE"


class GatedTable:
    """The table as one node reaches it, which may pause around each call."""

    def __init__(self, table: Any, node: "Node"):
        self.table = table
        self.node = node

    def __getattr__(self, name: str):
        async def call(*arguments):
            await self.node.gate(name, arguments)
            result = await getattr(self.table, name)(*arguments)
            await self.node.gate(name, arguments, after=True)
            return result

        return call


class PausingClock:
    def __init__(self, clock: ManualClock, node: "Node"):
        self.clock = clock
        self.node = node
        self.monotonic_s = clock.monotonic_s
        self.wall_s = clock.wall_s

    async def sleep(self, seconds: float) -> None:
        await self.clock.sleep(seconds)
        await self.node.gate()


class Node:
    """One node; `pause_after_calls` outside calls it stops until `resume`."""

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
        env = env._replace(clock=PausingClock(cluster.clock, self))
        platform = cluster.memory.platform
        platform = platform._replace(table=GatedTable(platform.table, self))
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

    async def gate(
        self, call: str = "", detail: Any = None, after: bool = False
    ) -> None:
        # Lets the calls of other nodes come in between.
        await asyncio.sleep(0)
        self.cluster.watch(self, call, detail, after)
        if self.pause_after_calls is not None:
            self.pause_after_calls -= 1
            if self.pause_after_calls <= 0:
                self.running.clear()
        await self.running.wait()

    # Membership and backend directory, as far as plans use them.

    def reachable(self) -> list[Member]:
        nodes = self.cluster.nodes
        left = self.cluster.left
        return [
            Member(id_, "LEAVING" if id_ in left else "ALIVE")
            for id_, node in nodes.items()
            if not node.task.cancelled()
        ]

    async def leave(self) -> None:
        self.cluster.left.add(self.node_id)

    def get(self, replica_id: str) -> ServerClient:
        return ServerClient(self.cluster.servers[replica_id], self)


def unaltered(order: BackendOrder) -> BackendOrder:
    return order


class Cluster:
    """`watch` is told of each outside call, before it and after it, and may stop it;
    `alter_order` replaces orders on their way.
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
            f"m-{name}": FakeServer(self.clock, name != "c") for name in DOMAINS
        }
        self.left: set[str] = set()
        self.seeds = 0
        self.watch: Watch = lambda node, call, detail, after: None
        self.alter_order = unaltered
        self.nodes = {id_: Node(self, id_) for id_ in node_ids}

    def next_seed(self) -> int:
        self.seeds += 1
        return self.seeds

    def rows(self) -> dict[str, Any]:
        return self.memory.core.table.dump()

    def stop(self) -> None:
        for node in self.nodes.values():
            node.kill()


def _raise(error: Exception) -> Any:
    raise error
