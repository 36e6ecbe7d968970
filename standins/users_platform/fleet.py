"""Row store, backend servers and entry nodes on loopback, for end-to-end tests."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

from tornado.httpclient import AsyncHTTPClient
from tornado.netutil import bind_sockets
from tornado.simple_httpclient import HTTPStreamClosedError

from egretshed.ingress.listener import DROP_SYN
from egretshed.ingress.socket_filter import attach_filter
from standins.linked_server import LinkedServer
from standins.ports import free_ports
from standins.users_platform.proxy import FaultInjectingProxy
from standins.users_platform.servers import (
    ServerState,
    server_application,
)
from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
    RowStoreState,
    store_application,
)

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
POLL_S = 0.05
# A crashed server's entry lapses, and the server returns, this long after the crash.
ENTRY_LAPSE_S = 1.0
SERVER_RESTART_S = 1.5
PORTS_PER_NODE = 5
CONNECTION_CLOSED = 599
NODE_TABLE = "egretshed_nodes"
SHARED_KEY_ROW = "!shared_key"
FAULT_EVENTS = frozenset({"task_failed", "request_fault", "invariant_violated"})
LOG_TAIL_BYTES = 2_000


def make_platform_configuration(version: int = 1, **changes: Any) -> dict:
    """Return a platform configuration with a route of each type.

    `changes` replaces top-level fields.
    """
    base = {"timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1}
    stages = [
        {"service": "first", "after": [], "byte_count": 1000},
        {"service": "second", "after": [0], "byte_count": 1000},
    ]
    streaming = {
        "type": "streaming",
        "service": "engine",
        "sticky": True,
        "target_itl_ms": 600,
    }
    non_idempotent = {"type": "non_idempotent", "service": "plain", "max_attempts": 1}
    idempotent = {"type": "idempotent", "service": "plain", "max_attempts": 2}
    routes = {
        "book": non_idempotent,
        "read": idempotent,
        "ask": {**streaming, "max_attempts": 1, "stages": stages},
        "digest": {
            **streaming,
            "max_attempts": 2,
            "resumable": True,
            "stages": stages,
        },
    }
    segments = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_ms": 10,
        "item_ms": 1,
        "headroom_mb": 1.0,
        "handle_ttl_s": 4.0,
    }
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "hostname": "h.example",
                "path_prefix": f"/{name}/",
                "public": False,
                **base,
                **route,
            }
            for name, route in routes.items()
        ],
        "services": [
            {"name": "plain", "max_conns": 100},
            {"name": "first", "segments": segments},
            {"name": "second", "segments": segments},
            {"name": "engine", "engine": {"slots": 8, "kv_capacity": 100000}},
        ],
        "tenants": [
            {"name": "cust", "api_keys": ["key-1", "key-2"]},
            {"name": "other", "api_keys": ["key-3"]},
        ],
        **changes,
    }


class ClosedResponse(NamedTuple):
    """Substitute for a response whose connection was closed before it was complete."""

    code: int
    error: str
    body: bytes = b""


class Fleet:
    """Async context manager that runs entry nodes against a simulated platform.

    The nodes are processes of their own; the row store and the backend servers run in
    this process. `servers` counts those of each service; `engines` replaces it for the
    engines. `bounds` adds to those in the settings of the nodes. With `proxies_store`
    each node reaches the store through a proxy of its own, which can cut it off.
    """

    def __init__(
        self,
        nodes: int = 3,
        servers: int = 2,
        engines: int | None = None,
        bounds: dict[str, float] | None = None,
        proxies_store: bool = False,
    ):
        self.bounds = {"shutdown_s": 4.0, **(bounds or {})}
        self.store = RowStoreState()
        self.node_count = nodes
        self.proxies_store = proxies_store
        self.store_proxies: dict[str, FaultInjectingProxy] = {}
        kinds = {
            "plain": "plain",
            "first": "stage",
            "second": "stage",
            "engine": "engine",
        }
        self.servers = {
            f"{service}-{number}": ServerState(
                f"{service}-{number}", service, "abc"[number % 3], kind
            )
            for service, kind in kinds.items()
            for number in range(engines if engines and kind == "engine" else servers)
        }
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ports: dict[str, list[int]] = {}
        self.client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._http_servers: list[LinkedServer] = []
        self._http_server_of: dict[int, LinkedServer] = {}
        self._crashes: set[asyncio.Task] = set()
        self._reserved_ports: list[socket.socket] = []
        self._folder = tempfile.TemporaryDirectory(prefix="egretshed-")
        self.folder = Path(self._folder.name)

    async def __aenter__(self) -> "Fleet":
        self.store_port = self._listen(store_application(self.store))
        self.store.put_json(OPERATOR_TABLE, "config", make_platform_configuration())
        for server in self.servers.values():
            self._start_server(server)
        ports = free_ports(PORTS_PER_NODE * self.node_count)
        for number in range(self.node_count):
            first = number * PORTS_PER_NODE
            self.ports[f"node-{number}"] = ports[first : first + PORTS_PER_NODE]
        for name in self.ports:
            if self.proxies_store:
                proxy = FaultInjectingProxy(self.store_port, random.Random(0))
                self.store_proxies[name] = proxy
                await proxy.start()
            await self.start_node(name)
        await self.wait_until_ready(*self.ports)
        return self

    async def __aexit__(self, *error: Any) -> None:
        for name in list(self.processes):
            await self.stop_node(name, signal.SIGKILL)
        for proxy in self.store_proxies.values():
            await proxy.stop()
        for task in self._crashes:
            task.cancel()
        for reserved in self._reserved_ports:
            reserved.close()
        for server in self._http_servers:
            server.stop()
            await server.close_all_connections()
        self.client.close()
        self._folder.cleanup()

    def _listen(self, application: Any) -> int:
        server = LinkedServer(application)
        sockets = bind_sockets(0, HOST)
        server.add_sockets(sockets)
        self._http_servers.append(server)
        return sockets[0].getsockname()[1]

    def _start_server(self, server: ServerState) -> None:
        port = self._listen(server_application(server))
        self._http_server_of[id(server)] = self._http_servers[-1]
        server.address = f"{HOST}:{port}"
        server.crash = self.crash_server
        self.store.put_json(SERVER_TABLE, server.server_id, server.entry())

    def add_server(self, service: str, kind: str, number: int, version: str) -> None:
        """Start another server of a service and enter it in the server table."""
        server = ServerState(
            f"{service}-{number}",
            service,
            "abc"[number % 3],
            kind,
            version,
            int(time.time() * 1000),
        )
        self.servers[server.server_id] = server
        self._start_server(server)

    def crash_server(self, server: ServerState) -> bool:
        """Close a server and its connections; it returns later under another id.

        Return False if it has crashed already.
        """
        http_server = self._http_server_of.pop(id(server), None)
        if http_server is None:
            return False
        http_server.stop()
        self._reserve_port(server)
        task = asyncio.create_task(self._replace_server(server, http_server))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)
        return True

    def stop_listening(self, server: ServerState) -> None:
        """Let connections to a server be refused; those that are open stay."""
        self._http_server_of[id(server)].stop()
        self._reserve_port(server)

    def drop_handshakes(self, server: ServerState) -> None:
        """Let connections to a server not be established; those that are open stay."""
        for listener in self._http_server_of[id(server)].listeners:
            attach_filter(listener, DROP_SYN)

    async def silence_links(self, service: str, for_s: float) -> None:
        """Let the links of all servers of a service be silent for a time.

        Their hosts drop what arrives, except for handshakes. What they send comes late
        by as much again, as with retransmissions that back off.
        """
        servers = [s for s in self.servers.values() if s.service == service]
        for server in servers:
            server.link_back_s = time.monotonic() + 2 * for_s
        links = [self._http_server_of[id(server)] for server in servers]
        for link in links:
            link.drop_incoming()
        await asyncio.sleep(for_s)
        for link in links:
            link.pass_incoming()

    def _reserve_port(self, server: ServerState) -> None:
        """Let connections to a crashed server be refused for good.

        Otherwise a server of another process may get the port, and answer.
        """
        reserved = socket.socket(socket.AF_INET)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((HOST, int(server.address.rpartition(":")[2])))
        self._reserved_ports.append(reserved)

    async def _replace_server(
        self, server: ServerState, http_server: LinkedServer
    ) -> None:
        await http_server.close_all_connections()
        self._http_servers.remove(http_server)
        await asyncio.sleep(ENTRY_LAPSE_S)
        self.store.put(SERVER_TABLE, server.server_id, None)
        await asyncio.sleep(SERVER_RESTART_S - ENTRY_LAPSE_S)
        name, _, restarts = server.server_id.partition(".")
        server.server_id = f"{name}.{int(restarts or 0) + 1}"
        self._start_server(server)

    def settings(self, name: str) -> dict:
        callers, ready, directory, metrics, peers = self.ports[name]
        proxy = self.store_proxies.get(name)
        store_port = proxy.port if proxy else self.store_port
        domain = "abc"[int(name.rpartition("-")[2]) % 3]
        return {
            "node": {
                "node_id": name,
                "failure_domain": domain,
                "region": "r",
                "host": HOST,
                "peer_port": peers,
            },
            "platform": {
                "url": f"http://{HOST}:{store_port}",
                "adapter": "row_store",
            },
            "peers": {"keys": ["unset"]},
            "membership": {"probe_period_s": 0.2, "suspicion_s": 0.6},
            "listeners": {
                "callers": f"{HOST}:{callers}",
                "readiness": f"{HOST}:{ready}",
                "directory": f"{HOST}:{directory}",
                "metrics": f"{HOST}:{metrics}",
            },
            "failure_domain_regions": {"a": "r", "b": "r", "c": "r"},
            "bounds": self.bounds,
            "feeds": {"store_readers": 1},
        }

    async def start_node(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "egretshed.daemon",
                cwd=ROOT,
                env={**os.environ, "EGRETSHED_NODE_FILE": str(path)},
                stdout=log,
                stderr=log,
            )

    async def restart_without_peers(self, name: str) -> None:
        """Restart a node with another shared key, so that no peer talks to it."""
        await self.stop_node(name, signal.SIGKILL)
        key = self.store.rows[NODE_TABLE, "", SHARED_KEY_ROW].value
        self.store.put(NODE_TABLE, SHARED_KEY_ROW, b"0" * len(key))
        await self.start_node(name)
        await self.wait_until_ready(name)
        self.store.put(NODE_TABLE, SHARED_KEY_ROW, key)

    async def stop_node(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal to a node, wait for its end and return its exit status."""
        process = self.processes.pop(name)
        if process.returncode is None:
            process.send_signal(signal_number)
        return await process.wait()

    async def wait_until_ready(self, *names: str) -> None:
        """Wait until `/readyz` of every node returns 200.

        Raises `AssertionError` if one does not within `READY_TIMEOUT_S`.
        """
        for name in names:
            try:
                async with asyncio.timeout(READY_TIMEOUT_S):
                    while await self._status(name, 1, "/readyz") != 200:
                        await asyncio.sleep(POLL_S)
            except TimeoutError:
                status = self.processes[name].returncode
                log = (self.folder / f"{name}.log").read_bytes()[-LOG_TAIL_BYTES:]
                raise AssertionError(
                    f"{name} ({status}) did not become ready: {log}"
                ) from None

    async def _status(self, name: str, port: int, path: str) -> int:
        url = f"http://{HOST}:{self.ports[name][port]}{path}"
        try:
            return (await self.client.fetch(url, raise_error=False)).code
        except OSError:
            return 0

    async def resolve(self, name: str) -> list[str]:
        """Return the addresses in the response of a node's directory."""
        url = f"http://{HOST}:{self.ports[name][2]}/resolve?name=h.example"
        response = await self.client.fetch(url, raise_error=False)
        return json.loads(response.body).get("addresses", [])

    async def request(
        self,
        name: str,
        path: str,
        request_id: str,
        options: dict[str, Any] | None = None,
        **headers: str,
    ) -> Any:
        """Send one request through a node; return the response.

        It is a `ClosedResponse` if the connection closed before the response was
        complete, otherwise tornado's `HTTPResponse`. Underscores in the names of
        `headers` become hyphens. `options` replaces arguments of tornado's `fetch`.
        """
        url = f"http://{HOST}:{self.ports[name][0]}{path}"
        fields = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Authorization": "Token key-1",
            "Deadline-Ms": "4000",
            **{key.replace("_", "-"): value for key, value in headers.items()},
        }
        method = "GET" if path.startswith("/read/") else "POST"
        try:
            return await self.client.fetch(
                url,
                method=method,
                headers=fields,
                body=None if method == "GET" else b"body",
                raise_error=False,
                **{"request_timeout": 8.0, **(options or {})},
            )
        except HTTPStreamClosedError as error:
            return ClosedResponse(CONNECTION_CLOSED, str(error))

    def fault_log_lines(self) -> list[dict]:
        """Return the log lines in which the nodes report internal faults."""
        return [
            line
            for name in self.ports
            for line in self.log_lines(name)
            if line["message"] in FAULT_EVENTS
        ]

    def log_lines(self, name: str) -> list[dict]:
        """Return the JSON log lines that a node has written so far."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]
