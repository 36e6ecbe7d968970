"""Simulated entry nodes with the real `InputGuard` and `CrashReporter`.

Relaying is modelled: a node checks the guard, connects, checks it again, sends, and
has the server checked whose connection breaks. Nodes freeze, die and start again; their
view of one another lags behind, and messages between them take time or are lost.
"""

import asyncio
from collections import Counter
from collections.abc import (
    Callable,
    Iterable,
)
from random import Random
from typing import (
    Any,
    NamedTuple,
)

from egretshed.environment import Environment
from egretshed.errors import (
    InputQuarantined,
    PlatformUnavailable,
    TableOutcomeUnknown,
)
from egretshed.membership.duty_owners import DutyOwners
from egretshed.placement.duty import engine_duty
from egretshed.quarantine.crash_evidence import (
    COMMON_CAUSE_S,
    CRASHES_TO_BLAME,
)
from egretshed.quarantine.crash_reports import (
    BrokenRun,
    CrashReporter,
)
from egretshed.quarantine.guard import InputGuard
from egretshed.relay.request import PromptPart
from standins.crash_servers import (
    SERVICE,
    InputSpec,
    Run,
    ServerFleet,
    SimulatedServer,
)
from standins.environments import (
    make_environment,
    make_settings,
)
from standins.peers import InMemoryNetwork
from standins.virtual_time import LoopClock

# A node that is away is taken for lost after this long.
DETECTION_S = 4.0
VIEW_PERIOD_S = 0.5
STORE_READ_PERIOD_S = 5.0
# As in `EnginePlacer`.
PLACEMENT_TIMEOUT_S = 0.12
OWNERS_TRIED = 2


class SimulatedMember(NamedTuple):
    node_id: str
    leaving: bool = False
    failure_domain: str = ""


class SimulatedMembership:
    """What one node knows of the others, as `DutyOwners` reads it."""

    def __init__(self, node_ids: tuple[str, ...]):
        self.reachable_ids = dict.fromkeys(node_ids)
        self.revision = 0
        self._node_ids = node_ids
        self._lost_since_s: dict[str, float] = {}

    def update(self, node_id: str, is_heard: bool, now_s: float) -> None:
        """Note whether another node was heard in this period."""
        if is_heard:
            self._lost_since_s.pop(node_id, None)
            if node_id not in self.reachable_ids:
                self.reachable_ids[node_id] = None
                self.revision += 1
            return
        lost_since_s = self._lost_since_s.setdefault(node_id, now_s)
        if node_id in self.reachable_ids and now_s - lost_since_s >= DETECTION_S:
            del self.reachable_ids[node_id]
            self.revision += 1

    def reachable(self) -> list[SimulatedMember]:
        return [SimulatedMember(node_id) for node_id in self.reachable_ids]

    def listed(self) -> list[SimulatedMember]:
        return [SimulatedMember(node_id) for node_id in self._node_ids]

    def member(self, node_id: str) -> SimulatedMember | None:
        known = node_id in self.reachable_ids
        return SimulatedMember(node_id) if known else None

    def vm(self, node_id: str) -> None:
        return None


class SimulatedStore:
    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}
        self.calls = 0
        self.cut_off: set[str] = set()


class SimulatedRecords:
    """`RegisteredNodes` of one node."""

    def __init__(self, store: SimulatedStore, env: Environment):
        self.store, self.env = store, env
        self.shared_records: dict[str, bytes] = {}
        self.on_restored = []
        self.read()

    def read(self) -> None:
        if self.env.identity.node_id not in self.store.cut_off:
            self.shared_records = dict(self.store.records)

    async def update_shared_record(self, key: str, merge: Callable) -> None:
        self.store.calls += 1
        await self.env.clock.sleep(self.env.random.uniform(0.002, 0.05))
        if self.env.identity.node_id in self.store.cut_off:
            raise PlatformUnavailable("the store is away")
        value = merge(self.store.records.get(key))
        if value is None:
            self.store.records.pop(key, None)
        else:
            self.store.records[key] = value
        if self.env.random.random() < 0.05:
            raise TableOutcomeUnknown("the reply was lost")


class NodeClock(LoopClock):
    """Clock of a node; its tasks wait while the node is frozen."""

    def __init__(self, is_running: asyncio.Event):
        self.is_running = is_running

    async def sleep(self, seconds: float) -> None:
        await super().sleep(seconds)
        await self.is_running.wait()


class SimulatedNetwork(InMemoryNetwork):
    """Network with random delays and losses; frozen nodes get messages late."""

    def __init__(self, random: Random, nodes: dict[str, "SimulatedNode"]):
        super().__init__(LoopClock())
        self.random = random
        self.nodes = nodes
        self.loss = 0.0
        self.late = 0.0

    async def deliver(self, sender, target: str, body: Any) -> Any:
        if self.random.random() < self.loss:
            return None
        is_late = self.random.random() < self.late
        spread_s = (0.1, 1.0) if is_late else (0.0005, 0.003)
        await asyncio.sleep(self.random.uniform(*spread_s))
        receiver = self.nodes.get(target)
        if receiver is not None:
            await receiver.is_running.wait()
            if self.nodes.get(target) is not receiver:
                return None
        return await super().deliver(sender, target, body)


class SimulatedNode:
    """One process of an entry node."""

    def __init__(self, fleet: "NodeFleet", node_id: str, incarnation: int):
        self.fleet = fleet
        self.node_id = node_id
        self.is_running = asyncio.Event()
        self.is_running.set()
        self.started_s = asyncio.get_running_loop().time()
        seed = f"{fleet.seed}/{node_id}/{incarnation}"
        env = make_environment(
            NodeClock(self.is_running),
            node_id,
            incarnation,
            settings=fleet.settings,
        )
        self.env = env._replace(random=Random(seed))
        self.env.logger.disabled = True
        self.membership = SimulatedMembership(fleet.node_ids)
        self.owners = DutyOwners(self.env, self.membership)
        self.records = SimulatedRecords(fleet.store, self.env)
        self.peers = fleet.network.attach(self.env)
        self.guard = InputGuard(self.env, self.peers, self.owners, self.records)
        self.reporter = CrashReporter(
            self.env, self.peers, self.owners, self.guard, self._check_listener
        )
        self.tasks: set[asyncio.Task] = set()
        self.spawn(self.guard.run())
        self.spawn(self._read_store())

    def spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fleet.errors.append(task.exception())

    def stop(self) -> None:
        """End the process; what it knew is lost."""
        for task in (*self.tasks, *self.reporter._tasks, *self.peers._tasks):
            task.cancel()
        # Messages that wait for a frozen process are lost.
        self.is_running.set()

    async def _read_store(self) -> None:
        while True:
            await self.env.clock.sleep(STORE_READ_PERIOD_S)
            self.records.read()

    async def _check_listener(self, address: str) -> str:
        await self.env.clock.sleep(self.env.random.uniform(0.0003, 0.002))
        server = self.fleet.servers.by_address[address]
        if server.is_up:
            return "alive"
        if server.is_host_lost:
            await self.env.clock.sleep(0.3)
            return "unknown"
        self.fleet.note_seen(server.server_id)
        return "crashed"

    async def relay(self, spec: InputSpec, input_ids: tuple[str, ...]) -> None:
        """Send a request to one server after another, as often as it may run."""
        tried: set[str] = set()
        sends = 0
        while sends < spec.sends:
            try:
                self.guard.check(SERVICE, input_ids)
                placer = await self._place(spec) if spec.part else ""
                server = self._choose(tried)
                if server is None:
                    return
                tried.add(server.address)
                await self.env.clock.sleep(self.env.random.uniform(0.0005, 0.003))
                if not server.is_up:
                    continue
                self.guard.check(SERVICE, input_ids)
            except InputQuarantined as error:
                self.fleet.note_refusal(self, spec, error.input_id)
                return
            sends += 1
            run = self.fleet.servers.begin(server, spec, input_ids)
            run.placer = placer
            has_ended = await run.ended
            await self.is_running.wait()
            if has_ended:
                self.guard.record_completion(SERVICE, input_ids)
                self.fleet.note_end(run)
                return
            self._report(run, server)

    async def _place(self, spec: InputSpec) -> str:
        """Return the node that places a prompt, as `EnginePlacer` finds it."""
        duty = engine_duty(SERVICE)
        for node_id in self.owners.candidates(duty, OWNERS_TRIED):
            if node_id == self.node_id:
                break
            if not self.fleet.can_talk(self.node_id, node_id):
                await self.env.clock.sleep(PLACEMENT_TIMEOUT_S)
                self.owners.avoid(node_id, duty, "no reply")
                continue
            await self.env.clock.sleep(self.env.random.uniform(0.001, 0.006))
            owner = self.fleet.nodes.get(node_id)
            notice = owner and owner.guard.notice_for(SERVICE, spec.shared_ids)
            if notice is not None:
                self.guard.refuse(notice)
            return node_id
        return self.node_id

    def _choose(self, tried: set[str]) -> SimulatedServer | None:
        """Return a server that is believed to be up; some are not."""
        servers = self.fleet.servers.servers
        for _ in range(20):
            server = self.env.random.choice(servers)
            believed = server.is_up or self.env.random.random() < 0.1
            if believed and server.address not in tried:
                return server
        return None

    def _report(self, run: Run, server: SimulatedServer) -> None:
        whole = tuple(i for i in run.input_ids if ":" in i)
        suspects = whole if run.has_first_event else run.input_ids
        if not run.spec.crash_after_s:
            self.fleet.note_broken(suspects)
        self.reporter.check_server(
            BrokenRun(
                run.spec.name,
                SERVICE,
                run.server_id,
                server.address,
                suspects,
                run.sent_s,
                self.env.clock.monotonic_s(),
            )
        )


class Refusal(NamedTuple):
    """A refused request of an input that crashes no server."""

    name: str
    input_id: str
    node_id: str
    at_s: float
    is_by_chance: bool


class NodeFleet:
    """All nodes, the network between them and the store."""

    def __init__(self, seed: int, count: int, servers: ServerFleet, domains):
        self.seed = seed
        self.random = Random(f"{seed}/nodes")
        self.servers = servers
        self.domains = domains
        self.node_ids = tuple(f"n{index}" for index in range(count))
        self.domain_of = {
            node_id: domains[index % len(domains)]
            for index, node_id in enumerate(self.node_ids)
        }
        self.settings = make_settings()
        self.store = SimulatedStore()
        self.nodes: dict[str, SimulatedNode] = {}
        self.network = SimulatedNetwork(Random(f"{seed}/network"), self.nodes)
        self.errors: list[BaseException] = []
        self.refusals: list[Refusal] = []
        self.counts: Counter[str] = Counter()
        # Times at which crashes were seen by a node that reports them.
        self.seen_s: dict[str, float] = {}
        # Crashes of each input since it last ran to its end anywhere.
        self._crash_times_s: dict[str, list[float]] = {}
        self.by_chance: set[str] = set()
        # Times at which a fault of a node, the links or the store began or ended.
        self.fault_times_s: list[float] = []
        # Times of a regular check at which there was a fault.
        self.faulty_at_s: list[float] = []
        self._incarnation = 0
        servers.on_first_event.append(self._note_first_event)
        for node_id in self.node_ids:
            self.start(node_id)

    def start(self, node_id: str) -> None:
        self._incarnation += 1
        self.nodes[node_id] = SimulatedNode(self, node_id, self._incarnation)
        self.note_fault()

    def kill(self, node_id: str) -> None:
        node = self.nodes.pop(node_id, None)
        if node is not None:
            node.stop()
            self.network.detach(node_id)
            self.counts["nodes killed"] += 1
            self.note_fault()

    def live(self) -> list[SimulatedNode]:
        return [node for node in self.nodes.values() if node.is_running.is_set()]

    def freeze(self, node_id: str) -> None:
        if node_id in self.nodes:
            self.nodes[node_id].is_running.clear()
            self.counts["nodes frozen"] += 1
            self.note_fault()

    def thaw(self, node_id: str) -> None:
        if node_id in self.nodes:
            self.nodes[node_id].is_running.set()
            self.note_fault()

    def cut_off(self, node_ids: set[str], also_from_store: bool) -> None:
        """Cut some nodes off from the others."""
        self.network.partition(node_ids, set(self.node_ids) - node_ids)
        if also_from_store:
            self.store.cut_off = set(node_ids)
        self.note_fault()

    def cut_store_off(self) -> None:
        self.store.cut_off = set(self.node_ids)
        self.note_fault()

    def heal(self) -> None:
        self.network.heal()
        self.store.cut_off = set()
        self.note_fault()

    def note_fault(self) -> None:
        self.fault_times_s.append(asyncio.get_running_loop().time())

    def can_talk(self, node_id: str, other_id: str) -> bool:
        """Return whether a call from one node to another one is answered in time."""
        other, blocked = self.nodes.get(other_id), self.network.blocked_links
        if other is None or not other.is_running.is_set():
            return False
        return (node_id, other_id) not in blocked and (
            other_id,
            node_id,
        ) not in blocked

    def is_disturbed(self) -> bool:
        return (
            len(self.live()) < len(self.node_ids)
            or bool(self.network.blocked_links)
            or bool(self.store.cut_off)
            or self.network.loss > 0
            or self.network.late > 0
        )

    async def update_views(self) -> None:
        """Let the nodes' views of one another follow the faults, forever."""
        while True:
            await asyncio.sleep(VIEW_PERIOD_S)
            now_s = asyncio.get_running_loop().time()
            if self.is_disturbed():
                self.faulty_at_s.append(now_s)
            last_s = self.faulty_at_s[-1] if self.faulty_at_s else 0.0
            if now_s - last_s < DETECTION_S + 2 * VIEW_PERIOD_S:
                self._update_all(now_s)

    def _update_all(self, now_s: float) -> None:
        for node in self.live():
            for other_id in self.node_ids:
                is_heard = self.can_talk(node.node_id, other_id)
                node.membership.update(other_id, is_heard, now_s)

    def _note_first_event(self, run: Run) -> None:
        """Tell the node that placed a prompt of its first event."""
        self._note_sound(run.spec.shared_ids)
        owner = self.nodes.get(run.placer)
        if owner is not None and owner.is_running.is_set():
            parts = tuple(PromptPart(i, 10) for i in (*run.spec.shared_ids, "own"))
            owner.reporter.record_first_event(SERVICE, parts)

    def note_end(self, run: Run) -> None:
        self._note_sound(run.input_ids)
        self.counts["completed"] += 1

    def _note_sound(self, input_ids: Iterable[str]) -> None:
        for input_id in input_ids:
            self._crash_times_s.pop(input_id, None)

    def note_seen(self, server_id: str) -> None:
        if server_id not in self.seen_s:
            now_s = asyncio.get_running_loop().time()
            self.seen_s[server_id] = now_s

    def note_broken(self, input_ids: tuple[str, ...]) -> None:
        """Count the crashes that broke sound requests with an input off in a row.

        After `CRASHES_TO_BLAME` of them the input cannot be told from a cause.
        """
        now_s = asyncio.get_running_loop().time()
        for input_id in input_ids:
            times_s = self._crash_times_s.setdefault(input_id, [])
            if not times_s or now_s - times_s[-1] >= COMMON_CAUSE_S:
                times_s.append(now_s)
            if len(times_s) >= CRASHES_TO_BLAME:
                self.by_chance.add(input_id)

    def note_refusal(self, node, spec: InputSpec, input_id: str) -> None:
        self.counts["refused"] += 1
        if spec.crash_after_s:
            return
        now_s = asyncio.get_running_loop().time()
        self.refusals.append(
            Refusal(
                spec.name, input_id, node.node_id, now_s, input_id in self.by_chance
            )
        )
