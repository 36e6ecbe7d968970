"""Runs the project's daemon on loopback against stand-ins, for the cases of a review.

The platform's store is the project's own stand-in. Backend servers are raw sockets, so
that the bytes they get are recorded as they came. `record.txt` in the folder of the
case holds what was sent, answered and run.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import (
    Awaitable,
    Callable,
)
from pathlib import Path
from typing import NamedTuple

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
    RowStoreState,
    store_application,
)

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 20
RUN_LIMIT_S = 110.0
READY_LIMIT_S = 20.0
PORTS_PER_NODE = 5
POLL_S = 0.05
# The VMs of the small sites; the platform kills a process that takes more.
MEMORY_MB = 300
MEMORY_POLL_S = 0.02
RESTART_DELAY_S = 0.5
KEY = "k7m2pzqw4tnd81aa"


class CouldNotRun(Exception):
    """The case did not get as far as its check."""


class Request(NamedTuple):
    """A request as a backend server received it, with its head as raw bytes."""

    head: bytes
    body: bytes

    @property
    def method(self) -> str:
        return self.head.split(b" ", 1)[0].decode("latin1")

    @property
    def target(self) -> bytes:
        return self.head.split(b" ", 2)[1]

    def header(self, name: str, default: str = "") -> str:
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.strip().lower() == name.lower().encode():
                return value.strip().decode("latin1")
        return default


class Answer(NamedTuple):
    """What a client got; `is_complete` tells whether the whole body arrived."""

    status: int
    head: bytes
    body: bytes
    is_complete: bool


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class BackendServer:
    """A backend server of one service, which answers each request with `handler`."""

    def __init__(self, server_id: str, service: str, zone: str, handler: Handler):
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.handler = handler
        self.born_ms = int(time.time() * 1000)
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def entry(self, state: str = "ready") -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        # The node may end the connection, and the run may end, at any await.
        with contextlib.suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = Request(head[:-4], b"")
                length = int(request.header("Content-Length", "0"))
                request = request._replace(body=await reader.readexactly(length))
                if request.target == b"/report":
                    report = json.dumps({"born": self.born_ms}).encode()
                    await respond(writer, request, report)
                elif request.header("Expect-Replica") not in ("", self.server_id):
                    await respond(writer, request, b"", status=421)
                else:
                    await self.handler(request, writer)
        self._writers.discard(writer)
        writer.close()

    def crash(self) -> None:
        """Close the listener and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def respond(
    writer: asyncio.StreamWriter,
    request: Request,
    body: bytes,
    status: int = 200,
    extra: str = "",
) -> None:
    """Write a whole response with the signature of a backend server."""
    request_id = request.header("Request-Id")
    head = (
        f"HTTP/1.1 {status} -\r\nRequest-Id: {request_id}\r\n"
        f"Replica-Signature: sig.{request_id}\r\nContent-Length: {len(body)}\r\n{extra}"
        "\r\n"
    )
    writer.write(head.encode("latin1") + body)
    await writer.drain()


class Case:
    """One run of a case: the platform, its servers, the nodes and the record."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = RowStoreState()
        self.servers: dict[str, BackendServer] = {}
        self.nodes: dict[str, asyncio.subprocess.Process] = {}
        self.ports: dict[str, list[int]] = {}
        self.store_server: HTTPServer | None = None
        self.store_port = 0
        self._temporary = tempfile.TemporaryDirectory(prefix="egretshed-review-")
        self.work = Path(self._temporary.name)
        self._record = (folder / "record.txt").open("w")
        # Ends of processes that nobody else brought about, by node.
        self.own_ends: dict[str, int] = {}
        self._watches: list[asyncio.Task] = []
        self._began_s = time.monotonic()

    def note(self, *words: object) -> None:
        """Add a line to the record, with the time since the start of the run."""
        line = " ".join(str(word) for word in words)
        print(f"{time.monotonic() - self._began_s:8.3f} {line}", file=self._record)
        self._record.flush()

    def start_store(self) -> None:
        self.store_server = HTTPServer(store_application(self.store))
        sockets = bind_sockets(self.store_port, HOST)
        self.store_port = sockets[0].getsockname()[1]
        self.store_server.add_sockets(sockets)

    async def stop_store(self) -> None:
        """Let the store be unreachable: connections to it are refused."""
        self.store_server.stop()
        await self.store_server.close_all_connections()

    def configure(self, routes: list[dict], services: list[dict]) -> None:
        self.store.put_json(
            OPERATOR_TABLE,
            "config",
            {
                "version": 7,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "tenants": [{"name": "bozi300", "api_keys": [KEY]}],
            },
        )

    async def add_server(self, server: BackendServer) -> None:
        await server.start()
        self.servers[server.server_id] = server
        self.store.put_json(SERVER_TABLE, server.server_id, server.entry())

    async def start_node(self, name: str) -> None:
        """Start a node with the command of the deploy file."""
        if name not in self.ports:
            self.ports[name] = _free_ports(PORTS_PER_NODE)
        path = self.work / f"{name}.json"
        path.write_text(json.dumps(self._settings(name)))
        with (self.work / f"{name}.log").open("ab") as log:
            self.nodes[name] = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "egretshed.daemon",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": "target/deps",
                    "EGRETSHED_NODE_FILE": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.note("node", name, "started as process", self.nodes[name].pid)

    def _settings(self, name: str) -> dict:
        """Return what `deploy/settings.json.in` gives for a VM of the small sites."""
        callers, ready, directory, metrics, peers = self.ports[name]
        zone = f"qc-east-{'abc'[int(name.rpartition('-')[2]) % 3]}"
        return {
            "node": {
                "node_id": name,
                "failure_domain": zone,
                "region": "qc-east",
                "host": HOST,
                "peer_port": peers,
                "cores": 2,
                "core_share": 0.537,
                "link_mbps": 1000.0,
            },
            "platform": {
                "url": f"http://{HOST}:{self.store_port}",
                "adapter": "row_store",
            },
            "peers": {"keys": ["unset"]},
            "membership": {
                "vm_list_period_s": 60.0,
                "probe_period_s": 0.3,
                "probe_timeout_s": 0.25,
                "suspicion_s": 0.9,
            },
            "slots": {"take_over_wait_s": 5.0},
            "listeners": {
                "callers": f"{HOST}:{callers}",
                "readiness": f"{HOST}:{ready}",
                "directory": f"{HOST}:{directory}",
                "metrics": f"{HOST}:{metrics}",
            },
            "failure_domain_regions": {f"qc-east-{z}": "qc-east" for z in "abc"},
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "shutdown_s": 8,
                "configuration_ms": 2000,
                "evacuation_ms": 5000,
                "retry_share": 0.2,
                "retry_window_s": 10,
                "retry_slack": 54,
                "cold_overshoot": 1.5,
                "cold_tolerance": 5,
                "address_keep_limit_s": 5,
                "heartbeat_ms": 1200,
            },
        }

    async def wait_until_ready(self, name: str) -> None:
        end_s = time.monotonic() + READY_LIMIT_S
        request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        while time.monotonic() < end_s:
            if self.nodes[name].returncode is not None:
                raise CouldNotRun(f"{name} ended with {self.nodes[name].returncode}")
            answer = await send(self.ports[name][1], request, 2.0)
            if answer is not None and answer.status == 200:
                self.note("node", name, "is ready")
                return
            await asyncio.sleep(POLL_S)
        raise CouldNotRun(f"{name} did not become ready")

    def caller_port(self, name: str) -> int:
        return self.ports[name][0]

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a node, 0 if its process has ended."""
        try:
            status = Path(f"/proc/{self.nodes[name].pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def watch(self, name: str) -> None:
        """Do as the platform does: kill a node with too much memory, restart it.

        Call it once all signals of the case itself were sent to the node.
        """
        self.own_ends[name] = 0
        self._watches.append(asyncio.create_task(self._watch(name)))

    async def _watch(self, name: str) -> None:
        while True:
            await asyncio.sleep(MEMORY_POLL_S)
            process, taken_mb = self.nodes[name], self.memory_mb(name)
            if process.returncode is None and taken_mb <= MEMORY_MB:
                continue
            if process.returncode is None:
                self.note("node", name, "takes", round(taken_mb), "MB: it is killed")
                process.send_signal(signal.SIGKILL)
            self.own_ends[name] += 1
            self.note("node", name, "has ended with", await process.wait())
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start_node(name)

    def is_fault(self) -> bool:
        """Return whether the rule Fault counts the ends of processes so far.

        They are three, on a tenth of the machines in use, two at least.
        """
        ends = [count for count in self.own_ends.values() if count]
        machines = max(2, len(self.nodes) / 10)
        self.note("processes ended by themselves:", self.own_ends)
        return sum(ends) >= 3 and len(ends) >= machines

    async def close(self) -> None:
        """End all processes that this run has started."""
        for task in self._watches:
            task.cancel()
        await asyncio.gather(*self._watches, return_exceptions=True)
        for process in self.nodes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        self._record.close()
        self._temporary.cleanup()


def head(method: bytes, target: bytes, request_id: str, **fields: str) -> bytes:
    """Return the head of a client's request; underscores in names become hyphens."""
    lines = [
        method + b" " + target + b" HTTP/1.1",
        b"Host: pule25.example",
        b"Request-Id: " + request_id.encode(),
        b"Authorization: Token " + KEY.encode(),
    ]
    for name, value in fields.items():
        lines.append(f"{name.replace('_', '-')}: {value}".encode("latin1"))
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def send(port: int, request: bytes, limit_s: float) -> Answer | None:
    """Send a request on a new connection; return the answer, None if there is none.

    A request with ``Connection: close`` lets the node close first, so that no port of
    the client stays occupied.
    """
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(request)
                answer = await read_answer(reader)
                if b"\r\nConnection: close\r\n" in request:
                    await reader.read()
                return answer
            finally:
                writer.close()
    except (TimeoutError, OSError):
        return None


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Return the next answer on a connection; None if it ends before a whole head."""
    try:
        head_bytes = (await reader.readuntil(b"\r\n\r\n"))[:-4]
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    fields = Request(head_bytes, b"")
    status = int(head_bytes.split(b" ", 2)[1])
    if fields.header("Transfer-Encoding").lower() == "chunked":
        body, is_complete = await _read_chunks(reader)
        return Answer(status, head_bytes, body, is_complete)
    length = int(fields.header("Content-Length", "0"))
    try:
        return Answer(status, head_bytes, await reader.readexactly(length), True)
    except asyncio.IncompleteReadError as cut:
        return Answer(status, head_bytes, cut.partial, False)
    except ConnectionError:
        return Answer(status, head_bytes, b"", False)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = bytearray()
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return bytes(body), False
    return bytes(body), True


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for reserved in sockets:
        reserved.bind((HOST, 0))
    ports = [reserved.getsockname()[1] for reserved in sockets]
    for reserved in sockets:
        reserved.close()
    return ports


def run_case(file: str, check: Callable[[Case], Awaitable[bool]]) -> None:
    """Run `check`, which returns whether the rule held, and exit with its result."""
    sys.exit(asyncio.run(_run(Path(file).resolve().parent, check)))


async def _run(folder: Path, check: Callable[[Case], Awaitable[bool]]) -> int:
    case = Case(folder)
    # A run that is stopped early ends its processes as well.
    stop = asyncio.current_task().cancel
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            held = await check(case)
        case.note("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN
    except (CouldNotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        case.note("the case could not run:", repr(error))
        return COULD_NOT_RUN
    finally:
        await case.close()
