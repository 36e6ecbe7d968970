"""Disturbances that a soak test applies to a running deployment.

A disturbance is a registered coroutine function that reverts its effect before it
returns. It makes all random choices with the soak's seeded generator, and claims its
target, so that no node or server is disturbed twice at the same time.
"""

import asyncio
import random
from collections.abc import (
    Awaitable,
    Callable,
    Iterator,
)
from contextlib import contextmanager
from typing import NamedTuple

import msgspec

from bench.cluster import EntryVm
from bench.http_stream import ConnectionLost
from bench.operator_cli import OperatorCli
from bench.processes import ProcessNotReady
from bench.run import Run

# Leaves a majority of the seven nodes undisturbed.
MAX_DISTURBED_NODES = 2
MAX_DISTURBED_SERVERS = 3
READY_ATTEMPTS = 3
PLATFORM_TARGET = "platform"
DOMAINS_TARGET = "domains"


class Disturbance(NamedTuple):
    """A disturbance in monotonic time; `end_s` is infinite until it is over."""

    name: str
    target: str
    start_s: float
    end_s: float = float("inf")


class Soak:
    """State of one soak test: present and past disturbances, and breaches."""

    def __init__(
        self, run: Run, operators: list[OperatorCli], generator: random.Random
    ):
        self.run = run
        self.operators = operators
        self.random = generator
        self.claimed: set[str] = set()
        self.history: list[Disturbance] = []
        self.exits: dict[str, int] = {}
        self.breaches: list[str] = []

    @contextmanager
    def disturbing(self, name: str, target: str) -> Iterator[None]:
        """Claim `target` and record the disturbance for the duration of the block."""
        index = len(self.history)
        self.claimed.add(target)
        self.history.append(Disturbance(name, target, self._now_s()))
        self.run.log(f"{name} {target}")
        try:
            yield
        finally:
            self.claimed.discard(target)
            self.history[index] = self.history[index]._replace(end_s=self._now_s())
            self.run.log(f"{name} {target} ended")

    async def sleep_between(self, shortest_s: float, longest_s: float) -> None:
        await self.run.cluster.clock.sleep(self.random.uniform(shortest_s, longest_s))

    def choose_node(self) -> EntryVm | None:
        """Return an undisturbed node, or None if enough nodes are disturbed."""
        return self._choose(
            self.run.cluster.vms, lambda vm: vm.node_id, MAX_DISTURBED_NODES
        )

    def choose_server(self) -> str | None:
        """Return an undisturbed server, or None if enough servers are disturbed."""
        servers = list(self.run.cluster.replica_urls)
        return self._choose(servers, lambda server: server, MAX_DISTURBED_SERVERS)

    def _choose(self, items: list, name: Callable, max_disturbed: int):
        undisturbed = [item for item in items if name(item) not in self.claimed]
        if len(items) - len(undisturbed) >= max_disturbed:
            return None
        return self.random.choice(undisturbed)

    def _now_s(self) -> float:
        return self.run.cluster.clock.monotonic_s()


DisturbanceFunction = Callable[[Soak], Awaitable[None]]
DISTURBANCES: dict[str, tuple[DisturbanceFunction, float]] = {}


def disturbance(
    weight: float,
) -> Callable[[DisturbanceFunction], DisturbanceFunction]:
    """Register a disturbance under the name of its function.

    It is chosen with a probability proportional to `weight`.
    """

    def register(function: DisturbanceFunction) -> DisturbanceFunction:
        DISTURBANCES[function.__name__] = (function, weight)
        return function

    return register


@disturbance(weight=2.0)
async def kill_node(soak: Soak) -> None:
    vm = soak.choose_node()
    if vm is None:
        return
    with soak.disturbing("kill", vm.node_id):
        soak.run.deaths.add(vm.node_id)
        await soak.run.cluster.kill_node(vm)
        await soak.sleep_between(0.2, 8.0)
        await _start(soak, vm)


@disturbance(weight=2.0)
async def pause_node(soak: Soak) -> None:
    vm = soak.choose_node()
    if vm is None:
        return
    with soak.disturbing("pause", vm.node_id):
        soak.run.cluster.pause_node(vm)
        await soak.sleep_between(0.5, 10.0)
        soak.run.cluster.resume_node(vm)


@disturbance(weight=2.0)
async def restart_node(soak: Soak) -> None:
    vm = soak.choose_node()
    if vm is None:
        return
    with soak.disturbing("restart", vm.node_id):
        soak.run.replaced.add(vm.node_id)
        status = await soak.run.cluster.stop_node(vm)
        soak.exits[f"{vm.node_id} stop {len(soak.exits) + 1}"] = status
        await _start(soak, vm)


async def _start(soak: Soak, vm: EntryVm) -> None:
    """Start a node and wait until it is ready.

    While the platform is down the node may not become ready, so the wait is repeated.
    """
    cluster = soak.run.cluster
    cluster.start_node(vm)
    for _ in range(READY_ATTEMPTS):
        try:
            await cluster.wait_until_ready(vm)
            return
        except ProcessNotReady as late:
            if cluster.processes[vm.node_id].process.poll() is not None:
                soak.breaches.append(f"node {vm.node_id} exited while starting: {late}")
                cluster.start_node(vm)
    soak.breaches.append(f"node {vm.node_id} did not become ready")


@disturbance(weight=2.0)
async def disturb_platform(soak: Soak) -> None:
    if PLATFORM_TARGET in soak.claimed:
        return
    name, faults = soak.random.choice(
        [
            ("platform down", {"all": {"down": True}}),
            ("platform silent", {"all": {"silent": True}}),
            ("platform slow", {"all": {"slow_s": soak.random.uniform(0.1, 1.5)}}),
            ("platform loses replies", {"transact": {"drop_share": 0.5}}),
            ("VM list down", {"vms": {"down": True}}),
        ]
    )
    with soak.disturbing(name, PLATFORM_TARGET):
        await soak.run.cluster.control_platform({"faults": faults})
        await soak.sleep_between(1.0, 12.0)
        ended = {operation: {} for operation in faults}
        await soak.run.cluster.control_platform({"faults": ended})


@disturbance(weight=4.0)
async def disturb_server(soak: Soak) -> None:
    server = soak.choose_server()
    if server is None:
        return
    name, fault = soak.random.choice(
        [
            ("cold", {"cold": True}),
            ("silent", {"silent": True}),
            ("slow", {"slow_factor": soak.random.uniform(2.0, 20.0)}),
            ("down", {"down": True}),
            ("failing", {"fail_share": soak.random.uniform(0.1, 1.0)}),
        ]
    )
    with soak.disturbing(name, server):
        await soak.run.cluster.set_fault(server, fault)
        await soak.sleep_between(0.5, 8.0)
        await soak.run.cluster.set_fault(server, {})


@disturbance(weight=1.5)
async def change_domain(soak: Soak) -> None:
    """Take a failure domain out of service and back in.

    A platform outage delays both.
    """
    if DOMAINS_TARGET in soak.claimed:
        return
    name = soak.random.choice(soak.run.cluster.domains)
    with soak.disturbing(f"domain {name} out", DOMAINS_TARGET):
        plan = await _propose_and_confirm(soak, "domain", "out", name)
        if plan and await _wait_until_active(soak, name, out=True):
            await soak.run.cluster.set_backends_out(name, True)
            soak.run.log(f"domain {name} is out")
            await soak.sleep_between(3.0, 8.0)
    await _return_domain(soak, name)


async def _return_domain(soak: Soak, name: str) -> None:
    with soak.disturbing(f"domain {name} in", DOMAINS_TARGET):
        while name in _domains_out(soak):
            await soak.run.cluster.set_backends_out(name, False)
            plan = await _propose_and_confirm(soak, "domain", "in", name)
            if plan and await _wait_until_active(soak, name, out=False):
                return
            if name in _domains_out(soak):
                await soak.run.cluster.set_backends_out(name, True)
            await soak.sleep_between(1.0, 2.0)


async def _propose_and_confirm(soak: Soak, *intent: str) -> str:
    """Propose and confirm a plan; return its id, or "" if a command failed."""
    operator = soak.random.choice(soak.operators)
    proposed = await operator.run(*intent)
    if proposed.status != 0:
        soak.run.log(f"{' '.join(intent)}: {proposed.body}"[:160])
        return ""
    plan = proposed.body
    confirm = ("plan", "confirm", plan["plan_id"], plan["digest"])
    confirmed = await operator.run(*confirm, "--accept-low-capacity")
    if confirmed.status != 0:
        soak.run.log(f"confirm {' '.join(intent)}: {confirmed.body}"[:160])
        return ""
    return plan["plan_id"]


async def _wait_until_active(soak: Soak, name: str, out: bool) -> bool:
    """Return whether the domain change became active at a node within 20 s."""
    try:
        await soak.run.watcher.wait_for_domain(name, out, 20.0)
    except TimeoutError:
        return False
    return True


def _domains_out(soak: Soak) -> set[str]:
    newest = max(soak.run.watcher.latest.values(), key=lambda sample: sample.version)
    return set(newest.domains_out)


@disturbance(weight=1.5)
async def race_operators(soak: Soak) -> None:
    """Let all operators change the share of the same customer at the same time."""
    if "operators" in soak.claimed:
        return
    customers = [
        id_ for id_ in soak.run.cluster.objects if id_.startswith("customers/")
    ]
    object_id = soak.random.choice(customers)
    with soak.disturbing(f"race for {object_id}", "operators"):
        results = await asyncio.gather(
            *(_change_share(soak, operator, object_id) for operator in soak.operators)
        )
        soak.run.log(f"race for {object_id}: exit statuses {results}")


async def _change_share(soak: Soak, operator: OperatorCli, object_id: str) -> int:
    body = soak.run.cluster.objects[object_id]
    share = round(soak.random.uniform(0.5, 5.0), 2)
    arguments = {"changes": {object_id: {**body, "share": share}}}
    text = msgspec.json.encode(arguments).decode()
    result = await operator.run("plan", "propose", "configuration", text, "--confirm")
    return result.status


async def run_disturbance(soak: Soak, name: str) -> None:
    """Run one disturbance.

    A lost control connection or a timeout is logged and ends the disturbance.
    """
    try:
        await DISTURBANCES[name][0](soak)
    except (ConnectionLost, TimeoutError) as error:
        soak.run.log(f"{name}: {error!r}")


def choose_disturbance(generator: random.Random) -> str:
    weights = [weight for _, weight in DISTURBANCES.values()]
    return generator.choices(list(DISTURBANCES), weights)[0]
