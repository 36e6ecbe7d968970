"""An in-process server with the operator API of one node of a fake cluster."""

import json
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from egretshed.configuration.keys import digest_key
from egretshed.operators.routes import (
    OperatorServices,
    operator_routes,
)
from egretshed.plans.tests.fakes import (
    Cluster,
    declared_objects,
)
from egretshed.slots.records import ReplicaView

RIGHTS = {
    "reader": ["read"],
    "planner": ["read", "plan"],
    "boss": ["read", "plan", "confirm"],
}
OUTCOMES = {"r1": [{"customer_id": "c1", "outcome": "complete"}]}


class Slots:
    """Slot service of a node that borrows no slots and owns no replica."""

    def __init__(self):
        self.borrower = self

    def view(self, replica_id: str) -> ReplicaView:
        return ReplicaView(replica_id, limit=2, load_age_s=0.5)

    def owned(self) -> list:
        return []


class OperatorApp:
    """Serves the operator API of node n1; each operator's key is its name."""

    def __init__(self, extra_routes: list[tuple] = []):
        self.cluster = Cluster()
        objects = declared_objects()
        for name, rights in RIGHTS.items():
            body = {"key_digests": [digest_key(name)], "rights": rights}
            objects[f"operators/{name}"] = body
        self.cluster.store.versions[1] = objects
        node = self.cluster.nodes["n1"]
        node.listed = list
        node.is_settled = lambda: True
        services = OperatorServices(
            node.plans.env, node.configuration, node, Slots(), node.plans, outcomes
        )
        self.services = services
        self.server = HTTPServer(
            Application(operator_routes(services) + list(extra_routes))
        )
        socket, port = bind_unused_port()
        self.server.add_sockets([socket])
        self.url = f"http://127.0.0.1:{port}"

    def log(self) -> list[dict[str, Any]]:
        """Return the log records of the node so far."""
        stream = self.services.env.logger.handlers[0].stream
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def stop(self) -> None:
        self.server.stop()
        self.cluster.stop()


async def outcomes(request_id: str) -> list[dict]:
    return OUTCOMES.get(request_id, [])
