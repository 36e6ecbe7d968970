"""Nodes, platform and backend servers in one process, over loopback sockets.

Example::

    async with System(Path("examples/laurentien"), nodes=2) as system:
        status, body = await system.submit({"request_id": "r1", ...})
"""

from pathlib import Path
from typing import Any

import msgspec
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPRequest,
    HTTPResponse,
)

from egretshed.daemon.node import Node
from egretshed.platform.interface import ListedVm
from egretshed.settings.load import check_settings
from egretshed.settings.schema import Settings
from standins.deployment import (
    backend_specs,
    load_objects,
    with_urls,
)
from standins.http_server import LOOPBACK
from standins.seeding import write_first_configuration
from standins.serve import StandinHost

PEER_KEY = "system-test-peer-key"
MAX_CLIENTS = 500
FAST_MEMBERSHIP = {
    "probe_period_s": 0.05,
    "probe_timeout_s": 0.04,
    "suspicion_s": 0.2,
    "vm_list_period_s": 0.1,
    "address_keep_s": 0.2,
}
# All nodes start together, so that no earlier owner's loans have to expire first.
FAST_SLOTS = {
    "loan_duration_s": 0.5,
    "renew_period_s": 0.1,
    "take_over_wait_s": 0.9,
    "load_report_period_s": 0.1,
}


class System:
    """Async context manager that runs the simulated servers and some nodes.

    `sections` replace sections of every node's settings. If `configured` is False, no
    configuration is written and the table is empty when the nodes start.
    """

    def __init__(
        self,
        deployment: Path,
        nodes: int = 1,
        configured: bool = True,
        **sections: Any,
    ):
        self.configured = configured
        self.deployment = deployment
        self.node_count = nodes
        self.sections = sections
        self.host = StandinHost(backend_specs(deployment), with_platform=True)
        self.nodes: list[Node] = []
        keys = msgspec.json.decode((deployment / "sample_keys.json").read_bytes())
        self.customer_keys: dict[str, str] = keys["customers"]
        self.operator_keys: dict[str, str] = keys["operators"]
        self.client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def __aenter__(self) -> "System":
        await self.host.start()
        objects = with_urls(load_objects(self.deployment), self.host.urls()["replicas"])
        domains = [i for i in sorted(objects) if i.startswith("failure_domains/")]
        for index in range(self.node_count):
            domain = domains[index % len(domains)].partition("/")[2]
            region = objects[domains[index % len(domains)]]["region"]
            self.nodes.append(Node(self._settings(index, domain, region)))
        self.publish_vms()
        self.objects = objects
        if self.configured:
            await write_first_configuration(self._raw_settings(0, "x", "x"), objects)
        for node in self.nodes:
            await node.start()
        if self.configured:
            await self.wait_until_lendable()
        return self

    async def wait_until_lendable(self) -> None:
        """Wait until every owned replica may be lent."""
        clock = self.nodes[0].env.clock
        while not all(
            owned and all(replica.lendable for replica in owned)
            for owned in (node.slots.owned() for node in self.nodes)
        ):
            await clock.sleep(0.05)

    async def __aexit__(self, *exc: Any) -> None:
        for node in self.nodes:
            await node.close()
        await self.host.stop()

    def publish_vms(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish a VM list of all nodes; those in `leaving` are marked as leaving."""
        self.host.platform.core.vm_registry.vms = [
            ListedVm(
                node_id=i.node_id,
                role="entry",
                host=i.host,
                peer_port=i.peer_port,
                http_port=i.http_port,
                failure_domain=i.failure_domain,
                region=i.region,
                leaving=i.node_id in leaving,
            )
            for i in (node.env.identity for node in self.nodes)
        ]

    def _raw_settings(self, index: int, domain: str, region: str) -> dict[str, Any]:
        node_id = f"entry-{index + 1}"
        return {
            "node": {"node_id": node_id, "failure_domain": domain, "region": region},
            "platform": {"url": self.host.platform.url},
            "peers": {"keys": [PEER_KEY]},
            "log_level": "ERROR",
            "membership": FAST_MEMBERSHIP,
            "slots": FAST_SLOTS,
            **self.sections,
        }

    def _settings(self, index: int, domain: str, region: str) -> Settings:
        checked = check_settings(self._raw_settings(index, domain, region))
        if checked.is_error():
            raise checked.error
        return checked.ok

    def url(self, path: str, node: int = 0) -> str:
        return f"http://{LOOPBACK}:{self.nodes[node].env.identity.http_port}{path}"

    async def fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        key: str = "",
        node: int = 0,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        sent = {"Authorization": f"Bearer {key}"} if key else {}
        request = HTTPRequest(
            self.url(path, node),
            method=method,
            body=body,
            headers={**sent, **(headers or {})},
            request_timeout=30.0,
        )
        return await self.client.fetch(request, raise_error=False)

    def clear_backend_calls(self) -> None:
        """Clear the call records of all backend servers, between scenarios."""
        for backend in self.host.backends:
            backend.state.record.calls.clear()

    def backend_calls(self) -> list[dict[str, Any]]:
        """Return the records of all calls that the backend servers received."""
        return [
            {**call.to_body(), "replica_id": backend.spec.replica_id}
            for backend in self.host.backends
            for call in backend.state.record.calls
        ]
