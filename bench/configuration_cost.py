"""Measures the cost of building a configuration and of propagating a change.

The configuration has the target number of customers, replicas and pipelines.
Propagation runs over an in-memory network and a manual clock, with a fixed delay for
each message; byte counts are those of message bodies without framing.

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
    time_until_s,
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

CUSTOMER_COUNT = 4100
POOL_COUNT = 40
REPLICAS_PER_POOL = 18
PIPELINE_COUNT = 8
STAGES_PER_PIPELINE = 5
MODEL_COUNT = 5
DOMAIN_COUNT = 8
REPETITIONS = 20
CONFIGURATION_MESSAGES = (ConfigurationOffer, ConfigurationFetch, ConfigurationDeltas)


def target_objects(customers: int = CUSTOMER_COUNT) -> dict[str, Any]:
    """Return the declared objects of a configuration of the target size."""
    objects: dict[str, Any] = {
        f"failure_domains/d{n}": {"region": f"r{n % 2 + 1}"}
        for n in range(DOMAIN_COUNT)
    }
    objects |= {f"models/m{n}": {"version": "1"} for n in range(MODEL_COUNT)}
    objects |= {f"pools/p{n}": _pool(n) for n in range(POOL_COUNT)}
    for number in range(PIPELINE_COUNT):
        stages = [
            {"name": f"s{s}", "pool": f"p{number * STAGES_PER_PIPELINE + s}"}
            for s in range(STAGES_PER_PIPELINE)
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
        "model": f"m{number % MODEL_COUNT}",
        "replicas": [
            {
                "replica_id": f"p{number}-{n}",
                "url": f"http://10.0.{number}.{n}:8000",
                "failure_domain": f"d{n % DOMAIN_COUNT}",
            }
            for n in range(REPLICAS_PER_POOL)
        ],
    }


def _customer(number: int) -> dict[str, Any]:
    return {"key_digests": [digest_key(f"key-{number}")], "share": 1.0}


def report_build(customers: int) -> None:
    """Print the size of a configuration and the CPU time to build it."""
    objects = target_objects(customers)
    encoded = msgspec.json.encode(objects)
    full_ms = _cpu_times_ms(lambda: build_configuration(1, objects))
    previous = BuiltConfiguration(build_configuration(1, objects).ok, objects)
    changed = with_changes(objects, {"customers/c1": _customer(-1)})
    incremental_ms = _cpu_times_ms(lambda: build_configuration(2, changed, previous))
    print(f"{len(objects)} objects with {customers} customers:")
    print(f"  encoded: {len(encoded)} bytes")
    print(f"  memory of objects and configuration: {_memory_bytes(encoded)} bytes")
    print(f"  full build: {_format_times(full_ms)} ms of CPU")
    print(
        f"  incremental build after one change: {_format_times(incremental_ms)} "
        "ms of CPU"
    )


def _cpu_times_ms(function) -> list[float]:
    times = []
    for _ in range(REPETITIONS):
        started_s = time.process_time()
        function()
        times.append(1000 * (time.process_time() - started_s))
    return times


def _format_times(times: list[float]) -> str:
    return f"{statistics.median(times):.1f} ({min(times):.1f} to {max(times):.1f})"


def _memory_bytes(encoded: bytes) -> int:
    """Return the memory of the decoded objects and of the built configuration."""
    tracemalloc.start()
    objects = msgspec.json.decode(encoded)
    built = build_configuration(1, objects).ok
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert built.version == 1
    return used_bytes


async def report_start(customers: int) -> None:
    """Print the table reads of a starting node and their CPU time."""
    clock = ManualClock()
    memory = MemoryPlatform(clock)
    table = memory.platform.table
    objects = target_objects(customers)
    writes = [Write(object_key(name), body) for name, body in objects.items()]
    await table.transact([], [*writes, Write(HEAD_KEY, {"version": 1})])
    store = ConfigurationStore(make_environment(clock), table)
    started_s = time.process_time()
    _, loaded = await store.load()
    cpu_ms = 1000 * (time.process_time() - started_s)
    assert loaded == objects
    print(f"  start: {memory.counts}, {cpu_ms:.0f} ms of CPU, not counting decoding")


class MessageCountingFleet(ConfigurationFleet):
    """Counts configuration messages and their bytes by message type."""

    def __init__(self, domains: list[str], seed: int):
        super().__init__(domains, seed)
        self.sent_bytes: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        deliver = self.network.deliver

        async def deliver_and_count(sender, target, body):
            reply = await deliver(sender, target, body)
            self.count(*body)
            if isinstance(reply, ConfigurationDeltas):
                self.count(ConfigurationDeltas, reply)
            return reply

        self.network.deliver = deliver_and_count

    def count(self, kind: type, body) -> None:
        if kind in CONFIGURATION_MESSAGES:
            self.sent[kind.__name__] += 1
            self.sent_bytes[kind.__name__] += (
                len(body) if isinstance(body, bytes) else _body_bytes(body)
            )


def _body_bytes(reply: ConfigurationDeltas) -> int:
    return sum(len(delta.body) for delta in reply.deltas) + len(reply.snapshot or b"")


async def report_propagation(nodes: int, options: argparse.Namespace) -> None:
    """Print the time, messages and table calls that one change takes to reach a fleet.

    The change is made after every node has the first version in force.
    """
    fleet = make_fleet(nodes, options.seed, MessageCountingFleet)
    objects = target_objects(options.customers)
    await fleet.start_all()
    await fleet.clock.advance(SETTLE_S)
    names = list(fleet.nodes)
    fleet.network.delay_s = {(a, b): options.delay_s for a in names for b in names}
    await apply_changes(fleet, objects)
    await time_until_s(fleet, lambda: in_force(fleet, 1))
    await fleet.clock.advance(1.0)
    calls_before = fleet.memory.counts.copy()
    fleet.sent.clear()
    fleet.sent_bytes.clear()
    started_s = fleet.clock.monotonic_s()
    await apply_changes(fleet, {"customers/c1": _customer(-1)})
    propagation_s = await time_until_s(fleet, lambda: in_force(fleet, 2))
    elapsed_s = fleet.clock.monotonic_s() - started_s
    await fleet.clock.advance(2.0)
    table_calls = {k: v - calls_before[k] for k, v in fleet.memory.counts.items()}
    print(
        f"{nodes} nodes, {options.customers} customers, "
        f"message delay {options.delay_s} s:"
    )
    print(
        f"  in force on all nodes after {elapsed_s:.1f} s "
        f"({propagation_s:.1f} s after the reply to the change)"
    )
    print(f"  messages per node: {_per_node(fleet.sent, nodes)}")
    print(f"  bytes per node: {_per_node(fleet.sent_bytes, nodes)}")
    print(f"  table calls of all nodes until 2 s later: {table_calls}", flush=True)
    await fleet.stop()


async def apply_changes(fleet: ConfigurationFleet, changes: dict[str, Any]) -> None:
    service = fleet.services["entry-1"]
    version = service.current.version
    task = asyncio.create_task(service.change(version, changes, "bench", "bench"))
    while not task.done():
        await fleet.clock.advance(STEP_S / 10)
    task.result()


def in_force(fleet: ConfigurationFleet, version: int) -> bool:
    """Return whether all nodes have at least `version` in force."""
    return all(s.current.version >= version for s in fleet.services.values())


def _per_node(counts: Counter, nodes: int) -> dict[str, float]:
    return {name: round(value / nodes, 2) for name, value in counts.items()}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="*", default=[7, 28, 100, 360])
    parser.add_argument(
        "--customers", type=int, default=100, help="customers for the propagation runs"
    )
    parser.add_argument(
        "--delay-s", type=float, default=0.1, help="delay of each message"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    report_build(CUSTOMER_COUNT)
    asyncio.run(report_start(CUSTOMER_COUNT))
    for nodes in options.sizes:
        asyncio.run(report_propagation(nodes, options))


if __name__ == "__main__":
    main()
