"""Randomised soak: real node processes, faults from outside, promises checked.

    python -m bench.platform_soak --seed 1 --seconds 20
    python -m bench.platform_soak --seeds 1-50 --seconds 15

A run is reproduced by its seed as far as the machine's scheduling allows.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
from collections import Counter
from dataclasses import (
    dataclass,
    field,
)
from pathlib import Path

from egretshed.registry import Registry
from standins.users_platform.fleet import (
    CONNECTION_CLOSED,
    Fleet,
    make_platform_configuration,
)
from standins.users_platform.proxy import FaultInjectingProxy
from standins.users_platform.store import (
    OPERATOR_TABLE,
    SERVER_TABLE,
)

CALLERS = 8
PATHS = ("/book/", "/read/", "/ask/", "/digest/")
ONCE = ("/book/", "/ask/")
STREAMS = ("/ask/", "/digest/")
STAGED = {"Chunks": "2,3", "Chunk-Key": "k"}
REFUSALS = frozenset({408, 421, 429, 503})
HARMS = ("delay", "reset", "one_way", "silent")
SERVER_MODES = ("full", "error", "hang", "cut", "other")
STORE_MODES = ("busy", "silent", "lost")
RECOVERY_S = 12.0
LEAVE_BOUND_S = 2.0
KEPT_SEEDS_FILE = Path(__file__).parent / "soak_seeds.json"
FAULTS: Registry = Registry("fault")


@dataclass
class Record:
    """One request as its caller saw it."""

    request_id: str
    path: str
    node: str
    status: int
    body: bytes


@dataclass
class Soak:
    """One run: its fleet, its faults and what was seen."""

    seed: int
    fleet: Fleet
    source: random.Random
    proxies: dict[str, FaultInjectingProxy] = field(default_factory=dict)
    records: list[Record] = field(default_factory=list)
    troubles: list[str] = field(default_factory=list)
    version: int = 1
    number: int = 0
    stopping: set[str] = field(default_factory=set)
    breaches: list[str] = field(default_factory=list)

    def note(self, what: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.troubles.append(f"{now_s:.2f} {what}")

    async def put_proxies(self) -> None:
        """Let all nodes reach the servers through proxies."""
        for server in self.fleet.servers.values():
            port = int(server.address.rpartition(":")[2])
            proxy = FaultInjectingProxy(port, self.source)
            await proxy.start()
            self.proxies[server.server_id] = proxy
            server.address = f"127.0.0.1:{proxy.port}"
            self.fleet.store.put_json(SERVER_TABLE, server.server_id, server.entry())

    def running_nodes(self) -> list[str]:
        return [n for n in self.fleet.processes if n not in self.stopping]


@FAULTS.register("server_mode")
async def server_mode(soak: Soak) -> None:
    server = soak.source.choice(list(soak.fleet.servers.values()))
    server.mode = soak.source.choice(SERVER_MODES)
    soak.note(f"{server.server_id} {server.mode}")
    await asyncio.sleep(soak.source.uniform(0.5, 3))
    server.mode = "ok"


@FAULTS.register("harm_connections")
async def harm_connections(soak: Soak) -> None:
    server_id = soak.source.choice(list(soak.proxies))
    proxy = soak.proxies[server_id]
    harm = soak.source.choice(HARMS)
    soak.note(f"connections to {server_id} {harm}")
    proxy.set_fault(harm)
    await asyncio.sleep(soak.source.uniform(0.3, 2))
    proxy.set_fault("none")


@FAULTS.register("store_mode")
async def store_mode(soak: Soak) -> None:
    soak.fleet.store.mode = soak.source.choice(STORE_MODES)
    soak.note(f"store {soak.fleet.store.mode}")
    await asyncio.sleep(soak.source.uniform(0.5, 3))
    soak.fleet.store.mode = "ok"


@FAULTS.register("compact")
async def compact(soak: Soak) -> None:
    soak.note("store forgets its history")
    soak.fleet.store.compact()


@FAULTS.register("configuration")
async def change_configuration(soak: Soak) -> None:
    soak.version += soak.source.randint(1, 3)
    soak.note(f"configuration {soak.version}")
    timeout_ms = soak.source.choice((4000, 5000, 6000))
    value = make_platform_configuration(soak.version)
    for route in value["routes"]:
        route["timeout_ms"] = timeout_ms
    soak.fleet.store.put_json(OPERATOR_TABLE, "config", value)


@FAULTS.register("server_leaves")
async def server_leaves(soak: Soak) -> None:
    server = soak.source.choice(list(soak.fleet.servers.values()))
    soak.note(f"{server.server_id} leaves")
    server_id = server.server_id
    soak.fleet.store.put_json(SERVER_TABLE, server_id, server.entry("draining"))
    await asyncio.sleep(soak.source.uniform(2, 4))
    soak.fleet.store.put_json(SERVER_TABLE, server_id, server.entry())


@FAULTS.register("pause_node")
async def pause_node(soak: Soak) -> None:
    name = soak.source.choice(soak.running_nodes())
    process = soak.fleet.processes[name]
    soak.note(f"{name} paused")
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.source.uniform(0.3, 2.5))
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


@FAULTS.register("restart_node")
async def restart_node(soak: Soak) -> None:
    names = soak.running_nodes()
    if len(names) < 2:
        return
    name = soak.source.choice(names)
    number = soak.source.choice((signal.SIGTERM, signal.SIGKILL))
    soak.note(f"{name} {number.name}")
    soak.stopping.add(name)
    await soak.fleet.stop_node(name, number)
    await asyncio.sleep(soak.source.uniform(0, 1))
    await soak.fleet.start_node(name)
    await soak.fleet.wait_until_ready(name)
    soak.stopping.discard(name)


async def call_for(soak: Soak, end_s: float) -> None:
    """Send requests one after the other until `end_s`."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        soak.number += 1
        request_id = f"q{soak.number}"
        path = soak.source.choice(PATHS)
        node = soak.source.choice(list(soak.fleet.ports))
        headers = dict(STAGED) if path in STREAMS else {}
        try:
            answer = await soak.fleet.request(node, path, request_id, **headers)
        except OSError:
            # The node does not listen now; callers take another one.
            continue
        record = Record(request_id, path, node, answer.code, answer.body or b"")
        soak.records.append(record)
        await asyncio.sleep(soak.source.uniform(0, 0.05))


async def fault_for(soak: Soak, end_s: float) -> None:
    """Start faults in series that overlap until `end_s`."""
    loop = asyncio.get_running_loop()
    running: set[asyncio.Task] = set()
    while loop.time() < end_s:
        name = soak.source.choice(FAULTS.names())
        running.add(asyncio.create_task(FAULTS.get(name)(soak)))
        await asyncio.sleep(soak.source.uniform(0.2, 1.5))
    await asyncio.gather(*running)


def check(soak: Soak) -> list[str]:
    """Return the promises that were broken, by what callers and servers saw."""
    ran: Counter = Counter()
    for server in soak.fleet.servers.values():
        ran += server.run_counts
    found = []
    for record in soak.records:
        count = ran[record.request_id]
        where = f"{record.request_id} {record.path} at {record.node}"
        if record.path in ONCE and count > 1:
            found.append(f"{where} ran {count} times")
        if record.status in REFUSALS and record.path in ONCE and count:
            found.append(f"{where} was refused with {record.status} and ran")
        if record.status == 200 and record.body != _expected_body(record):
            found.append(f"{where} got another answer: {record.body[:80]!r}")
    for server in soak.fleet.servers.values():
        for request_id, headers in server.seen_headers.items():
            if "Authorization" in headers or headers.get("Tenant") != "cust":
                found.append(f"{server.server_id} saw wrong headers of {request_id}")
    return found


def _expected_body(record: Record) -> bytes:
    if record.path in STREAMS:
        events = (f"id: {n}\ndata: {record.request_id}\n\n" for n in range(1, 6))
        return "".join(events).encode()
    return f"answer to {record.request_id} {record.path}".encode()


async def recovered(soak: Soak) -> list[str]:
    """Return what is still not served after the last fault has ended."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RECOVERY_S
    waiting = {(name, path) for name in soak.fleet.ports for path in PATHS}
    while waiting and loop.time() < end_s:
        for name, path in sorted(waiting):
            soak.number += 1
            headers = dict(STAGED) if path in STREAMS else {}
            request_id = f"q{soak.number}"
            try:
                answer = await soak.fleet.request(name, path, request_id, **headers)
            except OSError:
                continue
            if answer.code == 200:
                waiting.discard((name, path))
    return [f"{name} does not serve {path} again" for name, path in sorted(waiting)]


async def run_seed(seed: int, seconds: float, nodes: int) -> bool:
    """Play one seed; print its figures and return whether all promises held."""
    source = random.Random(seed)
    async with Fleet(nodes=nodes) as fleet:
        soak = Soak(seed, fleet, source)
        await soak.put_proxies()
        await asyncio.sleep(0.5)
        end_s = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            fault_for(soak, end_s), *(call_for(soak, end_s) for _ in range(CALLERS))
        )
        breaches = await recovered(soak) + check(soak)
        breaches += [f"fault of a node: {line}" for line in fleet.fault_log_lines()]
        statuses = Counter(r.status for r in soak.records)
        cut = statuses.pop(CONNECTION_CLOSED, 0)
        print(
            f"seed {seed}: {len(soak.records)} requests, statuses "
            f"{dict(sorted(statuses.items()))}, cut {cut}, breaches {len(breaches)}"
        )
        for breach in breaches:
            print(f"  {breach}")
        if breaches:
            print("  faults:", *soak.troubles, sep="\n    ")
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
    parser.add_argument("--seeds", help="range such as 1-50")
    parser.add_argument("--kept", action="store_true", help="seeds that once failed")
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
