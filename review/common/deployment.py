"""A small deployment on loopback: the platform's store, backend servers and nodes.

The nodes are started by the command of the deploy file, with its settings template. The
store and the backend servers run in the process of the script.
"""

import asyncio
import json
import os
import re
import signal
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from review.common.backends import (
    HOST,
    Backend,
)
from review.common.callers import Caller
from standins.ports import free_ports
from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
    RowStoreState,
    store_application,
)

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("qc-east-a", "qc-east-b", "qc-east-c")
REGION = "qc-east"
# Bounds of the site laurentien-rota.
BOUNDS = {
    "contact_ms": 3000,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "budget_slack": 54,
    "cold_overshoot": 1.5,
    "cold_tolerance": 5,
    "evacuation_ms": 5000,
    "ttl_max_s": 5,
}
LIMITS = {"cpu_quota": 0.537, "cpu_cores": 2, "bandwidth_mbps": 1000.0}
HEARTBEAT_MS = 1200
PORTS_PER_NODE = 5
READY_LIMIT_S = 25.0
POLL_S = 0.05
LAST_HANDLERS_S = 0.5
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def route(name: str, kind: str, service: str, **changes: Any) -> dict:
    """Return a route for the path `/name/` of the host that all callers use."""
    return {
        "name": name,
        "hostname": "h.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 6000,
        "target_latency_ms": 1300,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        **changes,
    }


def plain_service(name: str, **changes: Any) -> dict:
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 360,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
        **changes,
    }


def engine_service(name: str, **changes: Any) -> dict:
    engine = {"slots": 64, "kv_capacity": 499130}
    return plain_service(name, engine=engine, **changes)


class Record:
    """Writes what was sent, answered and run to `record.txt` in the case's folder."""

    def __init__(self, folder: Path):
        self._began_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def note(self, what: str, **fields: Any) -> None:
        at_s = time.monotonic() - self._began_s
        texts = [f"{name}={value}" for name, value in fields.items()]
        print(f"{at_s:8.3f} {what}", *texts, file=self._file, flush=True)

    def verdict(self, is_broken: bool, text: str) -> int:
        """Note the verdict, and return the exit status of the script."""
        self.note("BROKEN" if is_broken else "HELD", verdict=text)
        print("BROKEN" if is_broken else "HELD", text, flush=True)
        return 1 if is_broken else 0


class Deployment:
    """Async context manager; `configuration` is the operator's first one."""

    def __init__(
        self,
        record: Record,
        configuration: dict,
        backends: list[Backend],
        node_count: int = 7,
    ):
        self.record = record
        self.configuration = configuration
        self.backends = backends
        self.store = RowStoreState()
        self.node_names = [f"edge-{number}" for number in range(node_count)]
        self.ports: dict[str, list[int]] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self._command = self._read_command()

    def _read_command(self) -> list[str]:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._template = (ROOT / role["template"]).read_text()
        return role["run"].split(" ")

    async def __aenter__(self) -> "Deployment":
        sockets = bind_sockets(0, HOST)
        self.store_port = sockets[0].getsockname()[1]
        self._store_server = HTTPServer(store_application(self.store))
        self._store_server.add_sockets(sockets)
        self.put_configuration(self.configuration)
        for backend in self.backends:
            await backend.start()
            self.put_entry(backend)
        ports = free_ports(PORTS_PER_NODE * len(self.node_names))
        for number, name in enumerate(self.node_names):
            first = number * PORTS_PER_NODE
            self.ports[name] = ports[first : first + PORTS_PER_NODE]
            await self.start_node(name)
        await self.wait_ready(*self.node_names)
        return self

    async def __aexit__(self, *error: Any) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for backend in self.backends:
            backend.crash()
        # Their handlers notice the ends of their connections.
        await asyncio.sleep(LAST_HANDLERS_S)
        self._store_server.stop()
        self._folder.cleanup()

    def put_configuration(self, configuration: dict) -> None:
        """Write a configuration as the operator; the write is its confirmation."""
        self.record.note(
            "operator wrote op/config",
            version=configuration["version"],
            routes=[
                (r["path_prefix"], r.get("service") or r.get("split"))
                for r in configuration["routes"]
            ],
            tenants=configuration.get("tenants"),
        )
        self.store.put_json(OPERATOR_TABLE, "config", configuration)

    def put_entry(self, backend: Backend, state: str = "ready") -> None:
        self.store.put_json(SERVER_TABLE, backend.server_id, backend.entry(state))

    def remove_entry(self, backend: Backend) -> None:
        self.store.put(SERVER_TABLE, backend.server_id, None)

    def _values(self, name: str) -> dict:
        callers, ready, directory, metrics, peers = self.ports[name]
        number = self.node_names.index(name)
        return {
            "node_name": name,
            "zone": ZONES[number % len(ZONES)],
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "ip": HOST,
            "port_range": [peers, metrics],
            "limits": LIMITS,
            "platform": {"address": f"{HOST}:{self.store_port}"},
            "listen": {
                "frontend": f"{HOST}:{callers}",
                "ready": f"{HOST}:{ready}",
                "registry": f"{HOST}:{directory}",
            },
            "bounds": BOUNDS,
            "heartbeat_ms": HEARTBEAT_MS,
        }

    def _render(self, name: str) -> str:
        values = self._values(name)

        def fill(match: re.Match) -> str:
            value: Any = values
            for part in match[1].split("."):
                value = value[int(part)] if part.isdecimal() else value[part]
            is_json = match[2] is not None or not isinstance(value, str)
            return json.dumps(value) if is_json else value

        return PLACEHOLDER.sub(fill, self._template)

    async def start_node(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(self._render(name))
        kept = ("PATH", "HOME", "LANG")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env={
                    **{key: os.environ[key] for key in kept if key in os.environ},
                    "PYTHONPATH": "target/deps",
                    "EGRETSHED_NODE_FILE": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.note("node started", node=name, pid=self.processes[name].pid)

    async def kill_node(self, name: str, reason: str) -> None:
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
        self.record.note("node killed", node=name, reason=reason)
        await process.wait()

    async def wait_ready(self, *names: str) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            for name in names:
                while not await self._is_ready(name):
                    await asyncio.sleep(POLL_S)

    async def _is_ready(self, name: str) -> bool:
        caller = Caller(f"{HOST}:{self.ports[name][1]}")
        try:
            return (await caller.request("GET", "/readyz")).status == 200
        finally:
            caller.close()

    def caller(self, name: str) -> Caller:
        return Caller(f"{HOST}:{self.ports[name][0]}")


def run_case(folder: Path, play: Callable[[Record, bool], Any]) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it could not run.

    With TROUBLE=0 in the environment the case runs without its disruption.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("case", folder=folder.name, trouble=has_trouble)
    try:
        return asyncio.run(play(record, has_trouble))
    except Exception as error:  # the case could not run
        record.note("COULD NOT RUN", error=repr(error))
        print("COULD NOT RUN", repr(error), flush=True)
        return 2
