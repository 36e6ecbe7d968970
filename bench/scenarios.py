"""Scenarios of the benchmark: the load of a run and the faults injected under it.

A scenario is a class that is registered under its name::

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
from bench.schedule import (
    Burst,
    Load,
)
from egretshed.registry import Registry
from standins.ports import free_ports

# Offered load as a share of the warm capacity. At 0.5, on a busy machine, the stand-ins
# took up to 2.4 times their configured times, which left no spare capacity.
LOAD_SHARE = 0.35
BURST_FACTOR = 4
SECOND_BURST_S = 16.0
COLD_PERIOD_S = 4.0
KILL_PERIOD_S = 5.0
LAST_FAULT_SHARE = 0.9
ENGINE_ROLE = "engine"

TimedEvent = tuple[float, str]


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
        """Inject the faults or changes of the scenario while the load runs."""


class ScenarioRun:
    """State that a scenario works with: addresses, operator and event log of a run.

    The load driver chooses nodes from `bootstrap_addresses`; a scenario that replaces
    nodes updates the list in place. Event times are seconds from the start of the load.
    """

    def __init__(
        self, cluster: Cluster, bootstrap_addresses: list, operator: OperatorClient
    ):
        self.clock = cluster.clock
        self.start_s = cluster.clock.monotonic_s()
        self.bootstrap_addresses = bootstrap_addresses
        self.operator = operator
        self.events: list[TimedEvent] = []

    async def sleep_until(self, at_s: float) -> None:
        wait_s = self.start_s + at_s - self.clock.monotonic_s()
        if wait_s > 0:
            await self.clock.sleep(wait_s)

    def record_event(self, text: str) -> None:
        at_s = round(self.clock.monotonic_s() - self.start_s, 2)
        self.events.append((at_s, text))


SCENARIOS: Registry[type[Scenario]] = Registry("scenario")


@SCENARIOS.register("steady")
class Steady(Scenario):
    """Normal operation without faults."""


@SCENARIOS.register("storm")
class Storm(Scenario):
    """A burst of requests from all callers to cold servers; a second one in full runs.

    A burst has 4 times the requests that the cold servers can complete in time.
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
    """A failure domain is taken out of service and returns with cold servers."""

    seconds = 32.0
    quick_seconds = 24.0

    async def disturb(self, cluster: Cluster, run: ScenarioRun) -> None:
        domain = cluster.domains[0]
        await run.sleep_until(0.2 * self.seconds)
        plan_id = await run.operator.propose_and_confirm("domain_out", domain)
        run.record_event(f"{domain} out confirmed")
        # The time limit of P3 starts at the step that changes the configuration.
        await run.operator.wait_for_first_step(plan_id)
        await cluster.set_backends_out(domain, out=True)
        run.record_event(f"{domain} out active")
        await run.operator.wait_until_done(plan_id)
        run.record_event(f"{domain} idle")
        await run.sleep_until(0.55 * self.seconds)
        for replica in replicas_in(cluster, domain):
            await cluster.set_fault(replica, {"cold": True})
        await run.sleep_until(0.65 * self.seconds)
        await cluster.set_backends_out(domain, out=False)
        plan_id = await run.operator.propose_and_confirm("domain_in", domain)
        run.record_event(f"{domain} in confirmed")
        await run.operator.wait_until_done(plan_id)
        run.record_event(f"{domain} back in service")


@SCENARIOS.register("platform_down")
class PlatformDown(Scenario):
    """The platform is down for 60 % of the run."""

    seconds = 24.0
    quick_seconds = 10.0

    async def disturb(self, cluster: Cluster, run: ScenarioRun) -> None:
        await run.sleep_until(0.2 * self.seconds)
        await cluster.control_platform({"faults": {"all": {"down": True}}})
        run.record_event("platform down")
        await run.sleep_until(0.8 * self.seconds)
        await cluster.control_platform({"faults": {"all": {}}})
        run.record_event("platform up")


@SCENARIOS.register("cold")
class Cold(Scenario):
    """One engine after another turns cold, every few seconds."""

    seconds = 24.0
    quick_seconds = 10.0

    async def disturb(self, cluster: Cluster, run: ScenarioRun) -> None:
        engines = itertools.cycle(engine_replicas(cluster))
        for number, replica in enumerate(engines, 1):
            at_s = number * COLD_PERIOD_S
            if at_s > LAST_FAULT_SHARE * self.seconds:
                return
            await run.sleep_until(at_s)
            await cluster.set_fault(replica, {"cold": True})
            run.record_event(f"{replica} cold")


@SCENARIOS.register("entry_loss")
class EntryLoss(Scenario):
    """An entry VM is killed every few seconds and replaced by a new one."""

    seconds = 30.0
    quick_seconds = 12.0
    process_deaths = True

    async def disturb(self, cluster: Cluster, run: ScenarioRun) -> None:
        for number in itertools.count(1):
            at_s = number * KILL_PERIOD_S
            if at_s > LAST_FAULT_SHARE * self.seconds:
                return
            await run.sleep_until(at_s)
            lost = cluster.vms.pop(0)
            await cluster.kill_node(lost)
            run.record_event(f"{lost.node_id} killed")
            vm = make_replacement(lost, number)
            cluster.vms.append(vm)
            await cluster.publish_vms()
            cluster.start_node(vm)
            await cluster.wait_until_ready(vm)
            run.bootstrap_addresses[:] = cluster.entry_addresses()
            run.record_event(f"{vm.node_id} ready")


def make_replacement(lost: EntryVm, number: int) -> EntryVm:
    """Return a new VM, with a new node id, in the same failure domain."""
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
        if pool["role"] == ENGINE_ROLE
    ]


def pools(cluster: Cluster) -> list[tuple[str, dict[str, Any]]]:
    """Return the (name, declaration) pairs of the pools."""
    return [
        (object_id.removeprefix("pools/"), body)
        for object_id, body in cluster.objects.items()
        if object_id.startswith("pools/")
    ]
