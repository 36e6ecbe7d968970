"""Measures the CPU time and bytes of one read of the platform's VM list by fleet size.

Example::

    PYTHONPATH=. python -m bench.vm_list_cost
"""

import asyncio
import statistics
import time

import msgspec

from egretshed.membership.vm_list import ListedVms
from egretshed.platform.interface import ListedVm
from standins.clock import ManualClock
from standins.environments import make_environment

FLEET_SIZES = ((9, 30), (28, 60), (100, 200), (360, 720))
REPETITIONS = 20


class EncodedList:
    """A `VmList` that decodes the same encoded list on each read."""

    def __init__(self, nodes: int, backends: int):
        vms = [_vm("entry", number) for number in range(nodes)]
        vms += [_vm("backend", number) for number in range(backends)]
        self.encoded = msgspec.json.encode([vm._asdict() for vm in vms])

    async def read(self) -> list[ListedVm]:
        return [ListedVm(**fields) for fields in msgspec.json.decode(self.encoded)]


def _vm(role: str, number: int) -> ListedVm:
    name = f"{role}-{number}"
    return ListedVm(name, role, "10.0.0.1", 21901, 21900, "r1-d3", "r1", False)


async def measure(nodes: int, backends: int) -> None:
    env = make_environment(ManualClock())
    source = EncodedList(nodes, backends)
    listed = ListedVms(env, source)
    times_ms = []
    for _ in range(REPETITIONS):
        started_s = time.process_time()
        await listed.read()
        times_ms.append(1000 * (time.process_time() - started_s))
    period_s = env.settings.membership.vm_list_period_s
    print(
        f"{nodes:5d}  {backends:8d}  {len(source.encoded):10d}  "
        f"{statistics.median(times_ms):.2f} ({min(times_ms):.2f} to "
        f"{max(times_ms):.2f})  {len(source.encoded) / period_s:10.0f}"
    )


def main() -> None:
    print("nodes  backends  bytes/read  ms of CPU/read  bytes/s at the default period")
    for nodes, backends in FLEET_SIZES:
        asyncio.run(measure(nodes, backends))


if __name__ == "__main__":
    main()
