"""What happens in a run: the load, and what goes wrong meanwhile.

A scenario is added by a class registered under its name::

    @SCENARIOS.register("steady")
    class Steady(Scenario): ...
"""

import itertools
from typing import Any

from bench.capacity import Capacity
from bench.cluster import (
    Cluster,
    EntryVm,
)
from bench.operator_client import OperatorClient
from bench.processes import free_ports
from bench.schedule import (
    Burst,
    Load,
)
from egretshed.registry import Registry

# Share of the warm capacity that is offered. At 0.5 the stand-ins took up to 2.4 times
# their times on a busy machine, which left no capacity to spare.
LOAD_SHARE = 0.35
BURST_FACTOR = 4
SECOND_BURST_S = 16.0
COLD_PERIOD_S = 4.0
KILL_PERIOD_S = 5.0
LAST_FAULT_SHARE = 0.9
ENGINE = "engine"

Event = tuple[float, str]


class Scenario:
    """Base of all scenarios; times are seconds from the start of the load."""

    seconds = 20.0
    quick_seconds = 8.0
    starts_warm = True
    process_deaths = False

    def __init__(self, quick: bool):
        if quick:
            self.seconds = self.quick_seconds

    def load(self, capacity: Capacity, seed: int) -> Load:
        rate = LOAD_SHARE * capacity.requests_per_s()
        return Load(rate, self.seconds, (), seed)

    async def disturb(self, cluster: Cluster, run: "ScenarioRun") -> None:
        """Do what the scenario is about while the load runs."""


class ScenarioRun:
    """Clock of one run, and what happened at which second of it."""

    def __init__(self, cluster: Cluster, known: list, operator: OperatorClient):
        self.clock = cluster.clock
        self.start_s = cluster.clock.monotonic_s()
        self.known = known
        self.operator = operator
        self.events: list[Event] = []

    async def until(self, at_s: float) -> None:
        wait_s = self.start_s + at_s - self.clock.monotonic_s()
        if wait_s > 0:
            await self.clock.sleep(wait_s)

    def note(self, text: str) -> None:
        at_s = round(self.clock.monotonic_s() - self.start_s, 2)
        self.events.append((at_s, text))


SCENARIOS: Registry[type[Scenario]] = Registry("scenario")


@SCENARIOS.register("steady")
class Steady(Scenario):
    """Nothing goes wrong."""


@SCENARIOS.register("storm")
class Storm(Scenario):
    """All callers come in the same second to cold servers, and once more later.

    A burst has 4 times the requests that the cold servers can carry in time.
    """

    seconds = 17.0
    quick_seconds = 1.0
    starts_warm = False

    def load(self, capacity: Capacity, seed: int) -> Load:
        requests = BURST_FACTOR * capacity.max_burst_requests()
        times = [0.0] if self.seconds < SECOND_BURST_S else [0.0, SECOND_BURST_S]
        bursts = tuple(Burst(at_s, requests) for at_s in times)
        return Load(0.0, self.seconds, bursts, seed)


@SCENARIOS.register("domain")
class Domain(Scenario):
    """Operators take a failure domain out of service and bring it back cold."""

    seconds = 32.0
    quick_seconds = 24.0

    async def disturb(self, cluster: Cluster, run: ScenarioRun) -> None:
        domain = cluster.domains[0]
        await run.until(0.2 * self.seconds)
        plan_id = await run.operator.propose_and_confirm("domain_out", domain)
        run.note(f"{domain} out confirmed")
        # The promise counts from the step that changes the configuration.
        await run.operator.wait_for_first_step(plan_id)
        await cluster.set_backends_out(domain, out=True)
        run.note(f"{domain} out in force")
        await run.operator.wait_until_done(plan_id)
        run.note(f"{domain} idle")
        await run.until(0.55 * self.seconds)
        for replica in replicas_in(cluster, domain):
            await cluster.set_fault(replica, {"cold": True})
        await run.until(0.65 * self.seconds)
        await cluster.set_backends_out(domain, out=False)
        plan_id = await run.operator.propose_and_confirm("domain_in", domain)
        run.note(f"{domain} in confirmed")
        await run.operator.wait_until_done(plan_id)
        run.note(f"{domain} in force")


@SCENARIOS.register("platform_down")
class PlatformDown(Scenario):
    """The platform answers nothing for more than half of the run."""

    seconds = 24.0
    quick_seconds = 10.0

    async def disturb(self, cluster: Cluster, run: ScenarioRun) -> None:
        await run.until(0.2 * self.seconds)
        await cluster.control_platform({"faults": {"all": {"down": True}}})
        run.note("platform down")
        await run.until(0.8 * self.seconds)
        await cluster.control_platform({"faults": {"all": {}}})
        run.note("platform up")


@SCENARIOS.register("cold")
class Cold(Scenario):
    """One engine after another goes cold without warning."""

    seconds = 24.0
    quick_seconds = 10.0

    async def disturb(self, cluster: Cluster, run: ScenarioRun) -> None:
        engines = itertools.cycle(engine_replicas(cluster))
        for number, replica in enumerate(engines, 1):
            at_s = number * COLD_PERIOD_S
            if at_s > LAST_FAULT_SHARE * self.seconds:
                return
            await run.until(at_s)
            await cluster.set_fault(replica, {"cold": True})
            run.note(f"{replica} cold")


@SCENARIOS.register("entry_loss")
class EntryLoss(Scenario):
    """An entry VM is killed every few seconds, and another one replaces it."""

    seconds = 30.0
    quick_seconds = 12.0
    process_deaths = True

    async def disturb(self, cluster: Cluster, run: ScenarioRun) -> None:
        for number in itertools.count(1):
            at_s = number * KILL_PERIOD_S
            if at_s > LAST_FAULT_SHARE * self.seconds:
                return
            await run.until(at_s)
            lost = cluster.vms.pop(0)
            await cluster.kill_node(lost)
            run.note(f"{lost.node_id} killed")
            vm = replacement_of(lost, number)
            cluster.vms.append(vm)
            await cluster.publish_vms()
            cluster.start_node(vm)
            await cluster.wait_until_ready(vm)
            run.known[:] = cluster.entry_addresses()
            run.note(f"{vm.node_id} ready")


def replacement_of(lost: EntryVm, number: int) -> EntryVm:
    """Return a new VM of another name in the same failure domain."""
    http_port, peer_port = free_ports(2)
    return EntryVm(f"replacement-{number}", http_port, peer_port, lost.failure_domain)


def replicas_in(cluster: Cluster, domain: str) -> list[str]:
    return [
        replica["replica_id"]
        for _, pool in pools(cluster)
        for replica in pool["replicas"]
        if replica["failure_domain"] == domain
    ]


def engine_replicas(cluster: Cluster) -> list[str]:
    return [
        replica["replica_id"]
        for _, pool in pools(cluster)
        for replica in pool["replicas"]
        if pool["role"] == ENGINE
    ]


def pools(cluster: Cluster) -> list[tuple[str, dict[str, Any]]]:
    """Return the declared pools by name."""
    return [
        (object_id.removeprefix("pools/"), body)
        for object_id, body in cluster.objects.items()
        if object_id.startswith("pools/")
    ]
