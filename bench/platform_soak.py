"""Randomised soak test of node processes against a faulty platform.

Callers send requests while faults are injected into the servers, their connections, the
store and the nodes. At the end, the answers and the servers' records are checked
against the promises.

Example::

    python -m bench.platform_soak --seed 1 --seconds 20
    python -m bench.platform_soak --seeds 1-50 --seconds 15

A seed reproduces a run only as far as the scheduling of the processes allows.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import (
    dataclass,
    field,
)
from pathlib import Path

from bench.stream_soak import (
    ENGINE_COUNT,
    EVENT_COUNT,
    VERSIONS,
    StreamTry,
    count_outcomes,
    follow_streams,
    prepare_engines,
    release_engine,
    stream_breaches,
)
from egretshed.registry import Registry
from standins.users_platform.fleet import (
    CONNECTION_CLOSED,
    Fleet,
    make_platform_configuration,
)
from standins.users_platform.proxy import FaultInjectingProxy
from standins.users_platform.servers import event_text
from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
)

CALLER_COUNT = 8
STREAM_CALLER_COUNT = 6
PATHS = ("/book/", "/read/", "/ask/", "/digest/")
NON_REPEATABLE_PATHS = ("/book/", "/ask/")
STREAMING_PATHS = ("/ask/", "/digest/")
STAGED_HEADERS = {"Chunks": "2,3", "Chunk-Key": "k"}
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
CONNECTION_FAULTS = ("delay", "reset", "one_way", "silent")
SERVER_MODES = ("full", "error", "hang", "cut", "other")
STORE_MODES = ("busy", "silent", "lost")
RECOVERY_LIMIT_S = 12.0
LEAVE_BOUND_S = 2.0
KEPT_SEEDS_FILE = Path(__file__).parent / "soak_seeds.json"
FAULTS: Registry = Registry("fault")


@dataclass
class AnsweredRequest:
    """One request and its answer, as the caller received it."""

    request_id: str
    path: str
    node: str
    status: int
    body: bytes


@dataclass
class Soak:
    """One run: its fleet, the injected faults and the callers' records.

    `stopping` has the nodes that are being restarted, `restarting` and `draining` have
    ids of servers. Each entry of `streams` has the tries of a caller at one stream.
    """

    seed: int
    fleet: Fleet
    random: random.Random
    proxies: dict[str, FaultInjectingProxy] = field(default_factory=dict)
    records: list[AnsweredRequest] = field(default_factory=list)
    fault_log: list[str] = field(default_factory=list)
    version: int = 1
    request_count: int = 0
    stopping: set[str] = field(default_factory=set)
    restarting: set[str] = field(default_factory=set)
    draining: set[str] = field(default_factory=set)
    streams: list[list[StreamTry]] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)

    def log_fault(self, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.fault_log.append(f"{now_s:.2f} {text}")

    async def start_proxies(self) -> None:
        """Start a proxy for each server and list the address of the proxy instead."""
        for server in self.fleet.servers.values():
            port = int(server.address.rpartition(":")[2])
            proxy = FaultInjectingProxy(port, self.random)
            await proxy.start()
            self.proxies[server.server_id] = proxy
            server.address = f"127.0.0.1:{proxy.port}"
            self.fleet.store.put_json(SERVER_TABLE, server.server_id, server.entry())

    def next_request_id(self) -> str:
        self.request_count += 1
        return f"q{self.request_count}"

    def running_nodes(self) -> list[str]:
        return [n for n in self.fleet.processes if n not in self.stopping]


@FAULTS.register("server_mode")
async def server_mode(soak: Soak) -> None:
    server = soak.random.choice(list(soak.fleet.servers.values()))
    server.mode = soak.random.choice(SERVER_MODES)
    soak.log_fault(f"{server.server_id} in mode {server.mode}")
    await asyncio.sleep(soak.random.uniform(0.5, 3))
    server.mode = "ok"


@FAULTS.register("harm_connections")
async def harm_connections(soak: Soak) -> None:
    server_id = soak.random.choice(list(soak.proxies))
    proxy = soak.proxies[server_id]
    harm = soak.random.choice(CONNECTION_FAULTS)
    soak.log_fault(f"connections to {server_id} have fault {harm}")
    proxy.set_fault(harm)
    await asyncio.sleep(soak.random.uniform(0.3, 2))
    proxy.set_fault("none")


@FAULTS.register("store_mode")
async def store_mode(soak: Soak) -> None:
    soak.fleet.store.mode = soak.random.choice(STORE_MODES)
    soak.log_fault(f"store in mode {soak.fleet.store.mode}")
    await asyncio.sleep(soak.random.uniform(0.5, 3))
    soak.fleet.store.mode = "ok"


@FAULTS.register("compact")
async def compact(soak: Soak) -> None:
    soak.log_fault("store discards its change history")
    soak.fleet.store.compact()


@FAULTS.register("configuration")
async def change_configuration(soak: Soak) -> None:
    soak.version += soak.random.randint(1, 3)
    soak.log_fault(f"configuration changes to version {soak.version}")
    timeout_ms = soak.random.choice((4000, 5000, 6000))
    value = make_platform_configuration(soak.version)
    for route in value["routes"]:
        route["timeout_ms"] = timeout_ms
    soak.fleet.store.put_json(OPERATOR_TABLE, "config", value)


@FAULTS.register("server_leaves")
async def server_leaves(soak: Soak) -> None:
    server = soak.random.choice(list(soak.fleet.servers.values()))
    soak.log_fault(f"{server.server_id} is draining")
    server_id = server.server_id
    soak.draining.add(server_id)
    soak.fleet.store.put_json(SERVER_TABLE, server_id, server.entry("draining"))
    await asyncio.sleep(soak.random.uniform(2, 4))
    soak.draining.discard(server_id)
    # A server that has restarted under another id is listed as ready already.
    if server.server_id == server_id:
        # A server that leaves ends; what serves under its id later has started anew.
        server.born_ms = int(time.time() * 1000)
        soak.fleet.store.put_json(SERVER_TABLE, server_id, server.entry())


FAULTS.register("release_engine")(release_engine)


@FAULTS.register("pause_node")
async def pause_node(soak: Soak) -> None:
    name = soak.random.choice(soak.running_nodes())
    process = soak.fleet.processes[name]
    soak.log_fault(f"{name} paused")
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(0.3, 2.5))
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


@FAULTS.register("restart_node")
async def restart_node(soak: Soak) -> None:
    names = soak.running_nodes()
    if len(names) < 2:
        return
    name = soak.random.choice(names)
    signal_number = soak.random.choice((signal.SIGTERM, signal.SIGKILL))
    soak.log_fault(f"{name} restarted after {signal_number.name}")
    soak.stopping.add(name)
    await soak.fleet.stop_node(name, signal_number)
    await asyncio.sleep(soak.random.uniform(0, 1))
    await soak.fleet.start_node(name)
    await soak.fleet.wait_until_ready(name)
    soak.stopping.discard(name)


async def send_requests(soak: Soak, end_s: float) -> None:
    """Send requests one after another until `end_s`."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        request_id = soak.next_request_id()
        path = soak.random.choice(PATHS)
        node = soak.random.choice(list(soak.fleet.ports))
        headers = dict(STAGED_HEADERS) if path in STREAMING_PATHS else {}
        try:
            answer = await soak.fleet.request(node, path, request_id, **headers)
        except OSError:
            # The node is not listening; the next request picks another one at random.
            continue
        record = AnsweredRequest(
            request_id, path, node, answer.code, answer.body or b""
        )
        soak.records.append(record)
        await asyncio.sleep(soak.random.uniform(0, 0.05))


async def inject_faults(soak: Soak, end_s: float) -> None:
    """Start overlapping random faults until `end_s`, and wait until all have ended."""
    loop = asyncio.get_running_loop()
    running: set[asyncio.Task] = set()
    while loop.time() < end_s:
        name = soak.random.choice(FAULTS.names())
        running.add(asyncio.create_task(FAULTS.get(name)(soak)))
        await asyncio.sleep(soak.random.uniform(0.2, 1.5))
    await asyncio.gather(*running)


def check(soak: Soak) -> list[str]:
    """Return the broken promises found in the records of callers and servers."""
    runs: Counter = Counter()
    for server in soak.fleet.servers.values():
        runs += server.run_counts
    breaches = []
    for record in soak.records:
        count = runs[record.request_id]
        where = f"{record.request_id} {record.path} at {record.node}"
        if record.path in NON_REPEATABLE_PATHS and count > 1:
            breaches.append(f"{where} ran {count} times")
        if (
            record.status in REFUSAL_STATUSES
            and record.path in NON_REPEATABLE_PATHS
            and count
        ):
            breaches.append(f"{where} was refused with {record.status} but ran")
        if record.status == 200 and record.body not in _expected_bodies(record):
            breaches.append(f"{where} got a wrong answer: {record.body[:80]!r}")
    for server in soak.fleet.servers.values():
        for request_id, headers in server.seen_headers.items():
            if "Authorization" in headers or headers.get("Tenant") != "cust":
                breaches.append(
                    f"{server.server_id} received wrong headers for {request_id}"
                )
    return breaches


def _expected_bodies(record: AnsweredRequest) -> list[bytes]:
    """Return the whole answer, as each software version of an engine writes it."""
    if record.path in STREAMING_PATHS:
        numbers = range(1, EVENT_COUNT + 1)
        return [
            "".join(event_text(n, record.request_id, version) for n in numbers).encode()
            for version in VERSIONS
        ]
    return [f"answer to {record.request_id} {record.path}".encode()]


async def recovery_breaches(soak: Soak) -> list[str]:
    """Return the paths that a node does not serve after the last fault has ended.

    Each path is requested from each node until it is served, for at most
    RECOVERY_LIMIT_S.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RECOVERY_LIMIT_S
    waiting = {(name, path) for name in soak.fleet.ports for path in PATHS}
    while waiting and loop.time() < end_s:
        for name, path in sorted(waiting):
            headers = dict(STAGED_HEADERS) if path in STREAMING_PATHS else {}
            request_id = soak.next_request_id()
            try:
                answer = await soak.fleet.request(name, path, request_id, **headers)
            except OSError:
                continue
            if answer.code == 200:
                waiting.discard((name, path))
    return [
        f"{name} does not serve {path} after the faults"
        for name, path in sorted(waiting)
    ]


async def run_seed(seed: int, seconds: float, nodes: int) -> bool:
    """Run one seed, print its results and return whether all promises held."""
    random_source = random.Random(seed)
    async with Fleet(nodes=nodes, engines=ENGINE_COUNT) as fleet:
        soak = Soak(seed, fleet, random_source)
        await soak.start_proxies()
        prepare_engines(soak)
        await asyncio.sleep(0.5)
        end_s = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            inject_faults(soak, end_s),
            *(send_requests(soak, end_s) for _ in range(CALLER_COUNT)),
            *(follow_streams(soak, end_s) for _ in range(STREAM_CALLER_COUNT)),
        )
        breaches = await recovery_breaches(soak) + check(soak)
        breaches += stream_breaches(soak.streams)
        breaches += [
            f"fault logged by a node: {line}" for line in fleet.fault_log_lines()
        ]
        statuses = Counter(r.status for r in soak.records)
        cut_off = statuses.pop(CONNECTION_CLOSED, 0)
        print(
            f"seed {seed}: {len(soak.records)} requests, statuses "
            f"{dict(sorted(statuses.items()))}, cut off {cut_off}, "
            f"breaches {len(breaches)}, {count_outcomes(soak.streams)}"
        )
        for breach in breaches:
            print(f"  {breach}")
        if breaches:
            print("  injected faults:", *soak.fault_log, sep="\n    ")
            _keep_logs(seed, fleet)
        return not breaches


def _keep_logs(seed: int, fleet: Fleet) -> None:
    folder = Path("build") / f"soak-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for path in fleet.folder.glob("*.log"):
        (folder / path.name).write_bytes(path.read_bytes())
    print(f"  logs in {folder}")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="range of seeds, such as 1-50")
    parser.add_argument(
        "--kept", action="store_true", help="run the seeds of earlier failures"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--nodes", type=int, default=4)
    options = parser.parse_args()
    seeds = [options.seed]
    if options.seeds:
        first, _, last = options.seeds.partition("-")
        seeds = list(range(int(first), int(last) + 1))
    if options.kept:
        seeds = [entry["seed"] for entry in json.loads(KEPT_SEEDS_FILE.read_text())]
    failed = [
        seed
        for seed in seeds
        if not asyncio.run(run_seed(seed, options.seconds, options.nodes))
    ]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
