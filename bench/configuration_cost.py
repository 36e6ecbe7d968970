"""Measures what the configuration costs: building a snapshot, and spreading a change.

The snapshot has the customers, replicas and pipelines of the target size. Spread runs
over the in-memory network and a manual clock, with one fixed delay for each message;
bytes count message bodies without framing.

Example::

    PYTHONPATH=. python -m bench.configuration_cost --sizes 7 28 100 360
"""

import argparse
import asyncio
import statistics
import time
import tracemalloc
from collections import Counter
from typing import Any

import msgspec

from bench.detection import (
    SETTLE_S,
    STEP_S,
    make_fleet,
    until,
)
from egretshed.configuration.keys import digest_key
from egretshed.configuration.store import ConfigurationStore
from egretshed.configuration.tests.fleet import ConfigurationFleet
from egretshed.configuration.validation import (
    BuiltConfiguration,
    build_configuration,
)
from egretshed.configuration.versions import (
    HEAD_KEY,
    object_key,
    with_changes,
)
from egretshed.gen.messages.ttypes import (
    ConfigurationDeltas,
    ConfigurationFetch,
    ConfigurationOffer,
)
from egretshed.platform.interface import Write
from standins.clock import ManualClock
from standins.environments import make_environment
from standins.memory_platform import MemoryPlatform

CUSTOMERS = 4100
POOLS = 40
REPLICAS_PER_POOL = 18
PIPELINES = 8
STAGES = 5
MODELS = 5
DOMAINS = 8
REPEATS = 20
CONFIGURATION_MESSAGES = (ConfigurationOffer, ConfigurationFetch, ConfigurationDeltas)


def target_objects(customers: int = CUSTOMERS) -> dict[str, Any]:
    """Return declared objects of the target size."""
    objects: dict[str, Any] = {
        f"failure_domains/d{n}": {"region": f"r{n % 2 + 1}"} for n in range(DOMAINS)
    }
    objects |= {f"models/m{n}": {"version": "1"} for n in range(MODELS)}
    objects |= {f"pools/p{n}": _pool(n) for n in range(POOLS)}
    for number in range(PIPELINES):
        stages = [
            {"name": f"s{s}", "pool": f"p{number * STAGES + s}"} for s in range(STAGES)
        ]
        objects[f"pipelines/l{number}"] = {"stages": stages}
        objects[f"kinds/k{number}"] = {"deadline_s": 6, "pipeline": f"l{number}"}
    objects |= {f"customers/c{n}": _customer(n) for n in range(customers)}
    return objects


def _pool(number: int) -> dict[str, Any]:
    return {
        "role": "engine",
        "cold_slots": 2,
        "warm_slots": 16,
        "model": f"m{number % MODELS}",
        "replicas": [
            {
                "replica_id": f"p{number}-{n}",
                "url": f"http://10.0.{number}.{n}:8000",
                "failure_domain": f"d{n % DOMAINS}",
            }
            for n in range(REPLICAS_PER_POOL)
        ],
    }


def _customer(number: int) -> dict[str, Any]:
    return {"key_digests": [digest_key(f"key-{number}")], "share": 1.0}


def report_snapshot(customers: int) -> None:
    objects = target_objects(customers)
    encoded = msgspec.json.encode(objects)
    whole_ms = _times_ms(lambda: build_configuration(1, objects))
    earlier = BuiltConfiguration(build_configuration(1, objects).ok, objects)
    changed = with_changes(objects, {"customers/c1": _customer(-1)})
    step_ms = _times_ms(lambda: build_configuration(2, changed, earlier))
    print(f"{len(objects)} objects with {customers} customers:")
    print(f"  encoded: {len(encoded)} bytes")
    print(f"  memory of bodies and records: {_memory_bytes(encoded)} bytes")
    print(f"  build whole: {_spread(whole_ms)} ms of CPU")
    print(f"  build after one change: {_spread(step_ms)} ms of CPU")


def _times_ms(work) -> list[float]:
    times = []
    for _ in range(REPEATS):
        began_s = time.process_time()
        work()
        times.append(1000 * (time.process_time() - began_s))
    return times


def _spread(times: list[float]) -> str:
    return f"{statistics.median(times):.1f} ({min(times):.1f} to {max(times):.1f})"


def _memory_bytes(encoded: bytes) -> int:
    tracemalloc.start()
    objects = msgspec.json.decode(encoded)
    built = build_configuration(1, objects).ok
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert built.version == 1
    return used


async def report_start(customers: int) -> None:
    """Print what a starting node reads from the table."""
    clock = ManualClock()
    memory = MemoryPlatform(clock)
    table = memory.platform.table
    objects = target_objects(customers)
    writes = [Write(object_key(name), body) for name, body in objects.items()]
    await table.transact([], [*writes, Write(HEAD_KEY, {"version": 1})])
    store = ConfigurationStore(make_environment(clock), table)
    began_s = time.process_time()
    _, loaded = await store.load()
    cpu_ms = 1000 * (time.process_time() - began_s)
    assert loaded == objects
    print(f"  start: {memory.counts}, {cpu_ms:.0f} ms of CPU without decoding")


class CountedFleet(ConfigurationFleet):
    """Counts bytes of configuration messages by type."""

    def __init__(self, domains: list[str], seed: int):
        super().__init__(domains, seed)
        self.sent_bytes: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        deliver = self.network.deliver

        async def counted(sender, target, body):
            reply = await deliver(sender, target, body)
            self.count(*body)
            if isinstance(reply, ConfigurationDeltas):
                self.count(ConfigurationDeltas, reply)
            return reply

        self.network.deliver = counted

    def count(self, kind: type, body) -> None:
        if kind in CONFIGURATION_MESSAGES:
            self.sent[kind.__name__] += 1
            self.sent_bytes[kind.__name__] += (
                len(body) if isinstance(body, bytes) else _size(body)
            )


def _size(reply: ConfigurationDeltas) -> int:
    return sum(len(delta.body) for delta in reply.deltas) + len(reply.snapshot or b"")


async def spread(nodes: int, options: argparse.Namespace) -> None:
    fleet = make_fleet(nodes, options.seed, CountedFleet)
    objects = target_objects(options.customers)
    await fleet.start_all()
    await fleet.clock.advance(SETTLE_S)
    names = list(fleet.nodes)
    fleet.network.delay_s = {(a, b): options.delay_s for a in names for b in names}
    await change(fleet, objects)
    await until(fleet, lambda: in_force(fleet, 1))
    await fleet.clock.advance(1.0)
    reads = fleet.memory.counts.copy()
    fleet.sent.clear()
    fleet.sent_bytes.clear()
    began_s = fleet.clock.monotonic_s()
    await change(fleet, {"customers/c1": _customer(-1)})
    reached_s = await until(fleet, lambda: in_force(fleet, 2))
    elapsed_s = fleet.clock.monotonic_s() - began_s
    await fleet.clock.advance(2.0)
    grown = {k: v - reads[k] for k, v in fleet.memory.counts.items()}
    print(
        f"{nodes} nodes, {options.customers} customers, {options.delay_s} s a message:"
    )
    print(
        f"  in force everywhere after {elapsed_s:.1f} s ({reached_s:.1f} after reply)"
    )
    print(f"  messages per node: {_each(fleet.sent, nodes)}")
    print(f"  bytes per node: {_each(fleet.sent_bytes, nodes)}")
    print(f"  table calls of the fleet until 2 s later: {grown}", flush=True)
    await fleet.stop()


async def change(fleet: ConfigurationFleet, changes: dict[str, Any]) -> None:
    service = fleet.services["entry-1"]
    version = service.current.version
    task = asyncio.create_task(service.change(version, changes, "bench", "bench"))
    while not task.done():
        await fleet.clock.advance(STEP_S / 10)
    task.result()


def in_force(fleet: ConfigurationFleet, version: int) -> bool:
    return all(s.current.version >= version for s in fleet.services.values())


def _each(counts: Counter, nodes: int) -> dict[str, float]:
    return {name: round(value / nodes, 2) for name, value in counts.items()}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="*", default=[7, 28, 100, 360])
    parser.add_argument(
        "--customers", type=int, default=100, help="in the fleets that spread"
    )
    parser.add_argument("--delay-s", type=float, default=0.1, help="of each message")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    report_snapshot(CUSTOMERS)
    asyncio.run(report_start(CUSTOMERS))
    for nodes in options.sizes:
        asyncio.run(spread(nodes, options))


if __name__ == "__main__":
    main()
