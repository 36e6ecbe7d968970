"""Runs a deployment on this machine: one process per entry node, one for stand-ins.

Example::

    cluster = Cluster(Path("examples/laurentien"), nodes=3, folder=Path("/tmp/run"))
    await cluster.start()
    addresses = cluster.entry_addresses()
    driver = LoadDriver(clock, read_deployment(cluster.deployment), addresses)
    ...
    exits = await cluster.stop()
"""

import signal
import sys
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from bench.http_stream import (
    Address,
    ConnectionLost,
    exchange,
    parse_url,
)
from bench.processes import (
    ManagedProcess,
    stop_all,
)
from egretshed.clock import SystemClock
from egretshed.platform.interface import ListedVm
from standins.deployment import (
    load_objects,
    with_urls,
)
from standins.http_server import LOOPBACK
from standins.ports import free_ports
from standins.seeding import write_first_configuration

DAEMON = "from egretshed.daemon.main import main; main()"
START_LIMIT_S = 20.0
STOP_LIMIT_S = 60.0
CONTROL_LIMIT_S = 5.0
NO_PORT = 0


class EntryVm(NamedTuple):
    node_id: str
    http_port: int
    peer_port: int
    failure_domain: str


class Cluster:
    """Starts, controls and stops the processes of one run."""

    def __init__(self, deployment: Path, nodes: int, folder: Path, seed: int = 1):
        self.deployment = deployment
        self.folder = folder
        self.seed = seed
        self.clock = SystemClock()
        self.objects = load_objects(deployment)
        self.domains = sorted(
            object_id.removeprefix("failure_domains/")
            for object_id in self.objects
            if object_id.startswith("failure_domains/")
        )
        ports = free_ports(2 * nodes)
        self.vms = [
            EntryVm(
                f"entry-{index + 1}",
                ports[2 * index],
                ports[2 * index + 1],
                self.domains[index % len(self.domains)],
            )
            for index in range(nodes)
        ]
        self.leaving: set[str] = set()
        self.processes: dict[str, ManagedProcess] = {}
        self.standins: ManagedProcess | None = None
        self.platform_url = ""
        self.replica_urls: dict[str, str] = {}

    # Starting and stopping processes.

    async def start(self) -> None:
        """Start all processes and return once every node is ready.

        If that fails, the processes that were started are stopped.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._start_standins()
            await self.publish_vms()
            await write_first_configuration(
                self._settings(self.vms[0]), with_urls(self.objects, self.replica_urls)
            )
            for vm in self.vms:
                self.start_node(vm)
            for vm in self.vms:
                await self.wait_until_ready(vm)
        except BaseException:
            await self.stop(limit_s=0.0)
            raise

    async def stop(self, limit_s: float = STOP_LIMIT_S) -> dict[str, int]:
        """Stop all processes; return the exit codes of the nodes by node id."""
        exits = await stop_all(self.processes, limit_s)
        self.processes.clear()
        if self.standins is not None:
            await self.standins.stop(CONTROL_LIMIT_S)
        return exits

    async def _start_standins(self) -> None:
        urls_file = self.folder / "urls.json"
        urls_file.unlink(missing_ok=True)
        command = [sys.executable, "-m", "standins.serve"]
        command += ["--deployment", str(self.deployment), "--write", str(urls_file)]
        command += ["--seed", str(self.seed)]
        self.standins = self._process("standins", command)

        async def has_urls() -> bool:
            return urls_file.exists()

        await self.standins.wait_until(has_urls, START_LIMIT_S)
        urls = msgspec.json.decode(urls_file.read_bytes())
        self.platform_url = urls["platform"]
        self.replica_urls = urls["replicas"]

    def start_node(self, vm: EntryVm) -> None:
        """Start, or restart, the daemon of a VM."""
        file = self.folder / f"{vm.node_id}.json"
        file.write_bytes(msgspec.json.encode(self._settings(vm)))
        command = [sys.executable, "-c", DAEMON, "--settings", str(file)]
        self.processes[vm.node_id] = self._process(vm.node_id, command)

    async def wait_until_ready(self, vm: EntryVm) -> None:
        async def is_ready() -> bool:
            try:
                status, _ = await self._get(address_of(vm), "/health/ready")
            except ConnectionLost:
                return False
            return status == 200

        await self.processes[vm.node_id].wait_until(is_ready, START_LIMIT_S)

    async def stop_node(self, vm: EntryVm, limit_s: float = STOP_LIMIT_S) -> int:
        """Stop a node gracefully and return its exit code."""
        return await self.processes.pop(vm.node_id).stop(limit_s)

    async def kill_node(self, vm: EntryVm) -> None:
        await self.processes.pop(vm.node_id).kill()

    def pause_node(self, vm: EntryVm) -> None:
        self.processes[vm.node_id].signal(signal.SIGSTOP)

    def resume_node(self, vm: EntryVm) -> None:
        self.processes[vm.node_id].signal(signal.SIGCONT)

    def _process(self, name: str, command: list[str]) -> ManagedProcess:
        return ManagedProcess(self.clock, name, command, self.folder / f"{name}.log")

    def _settings(self, vm: EntryVm) -> dict[str, Any]:
        settings = msgspec.json.decode((self.deployment / "settings.json").read_bytes())
        settings["node"] = {
            "node_id": vm.node_id,
            "failure_domain": vm.failure_domain,
            "region": self._region(vm.failure_domain),
            "host": LOOPBACK,
            "http_port": vm.http_port,
            "peer_port": vm.peer_port,
        }
        settings["platform"]["url"] = self.platform_url
        return settings

    def _region(self, failure_domain: str) -> str:
        return self.objects[f"failure_domains/{failure_domain}"]["region"]

    # Control of the platform and the backend servers.

    async def publish_vms(self) -> None:
        """Publish the VM list, including which VMs are leaving, on the platform."""
        entries = [
            self._listed(v.node_id, "entry", v.peer_port, v.http_port, v.failure_domain)
            for v in self.vms
        ]
        backends = [
            self._listed(
                replica["replica_id"],
                "backend",
                NO_PORT,
                NO_PORT,
                replica["failure_domain"],
            )
            for object_id, body in self.objects.items()
            if object_id.startswith("pools/")
            for replica in body["replicas"]
        ]
        await self.control_platform({"vms": entries + backends})

    def _listed(self, node_id, role, peer_port, http_port, failure_domain) -> dict:
        return ListedVm(
            node_id,
            role,
            LOOPBACK,
            peer_port,
            http_port,
            failure_domain,
            self._region(failure_domain),
            leaving=node_id in self.leaving,
        )._asdict()

    async def control_platform(self, fields: dict[str, Any]) -> None:
        """Set platform faults or data; see `standins.platform.ControlHandler`."""
        await self._post(parse_url(self.platform_url), "/control", fields)

    async def set_fault(self, replica_id: str, fields: dict[str, Any]) -> None:
        """Set the fault of a backend server; see `standins.backends` for the fields."""
        await self._post(parse_url(self.replica_urls[replica_id]), "/fault", fields)

    async def set_backends_out(self, failure_domain: str, out: bool) -> None:
        """Tell the domain's backend servers that it is out of service, or back.

        The servers then record how long after that each call starts.
        """
        for object_id, body in self.objects.items():
            if object_id.startswith("pools/"):
                for replica in body["replicas"]:
                    if replica["failure_domain"] == failure_domain:
                        await self.set_fault(replica["replica_id"], {"out": out})

    # Addresses and recorded data.

    def entry_addresses(self) -> list[Address]:
        return [address_of(vm) for vm in self.vms]

    async def backend_records(self) -> list[dict[str, Any]]:
        """Return the call records of all backend servers."""
        return [
            msgspec.json.decode((await self._get(parse_url(url), "/record"))[1])
            for url in self.replica_urls.values()
        ]

    async def platform_record(self) -> dict[str, Any]:
        _, body = await self._get(parse_url(self.platform_url), "/record")
        return msgspec.json.decode(body)

    async def metrics(self) -> dict[str, str]:
        """Return the `/metrics` text of each running node by node id."""
        return {
            vm.node_id: (await self._get(address_of(vm), "/metrics"))[1].decode()
            for vm in self.vms
            if vm.node_id in self.processes
        }

    async def _get(self, address: Address, path: str) -> tuple[int, bytes]:
        response = await exchange(
            self.clock, address, "GET", path, {}, b"", CONTROL_LIMIT_S
        )
        return response.status, response.body

    async def _post(self, address: Address, path: str, body: Any) -> None:
        encoded = msgspec.json.encode(body)
        response = await exchange(
            self.clock, address, "POST", path, {}, encoded, CONTROL_LIMIT_S
        )
        if response.status != 200:
            raise ConnectionLost(f"{path} answered {response.status}")


def address_of(vm: EntryVm) -> Address:
    return Address(LOOPBACK, vm.http_port)
