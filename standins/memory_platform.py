"""In-memory platform for unit tests and fuzz tests.

Example::

    memory = MemoryPlatform(clock)
    memory.vms = [ListedVm("entry-1", "entry", "127.0.0.1", 1, 2, "a", "r")]
    memory.lose_next_replies = 1
    service = ClaimService(env, memory.platform)
"""

from egretshed.clock import Clock
from egretshed.errors import (
    EgretshedError,
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
    TableUnavailable,
)
from egretshed.platform.interface import (
    Condition,
    ListedVm,
    Platform,
    Row,
    WeightVersion,
    Write,
)
from standins.platform_core import PlatformCore


class MemoryPlatform:
    """State and fault settings of the platform; `platform` is its interface.

    - `down`: every call fails and writes nothing.
    - `lose_next_replies`: this many of the next transactions take effect and raise
      `TableOutcomeUnknown`.
    - `drop_next_writes`: this many of the next transactions raise
      `TableOutcomeUnknown` without taking effect.
    - `slow_s`: delay before each call takes effect.
    - `vm_list_lag_s`: delay before a change of `vms` is visible.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.core = PlatformCore(clock)
        self.down = False
        self.lose_next_replies = 0
        self.drop_next_writes = 0
        self.slow_s = 0.0
        self.platform = Platform(
            table=MemoryTable(self),
            objects=MemoryObjects(self),
            weights=MemoryWeights(self),
            vms=MemoryVmList(self),
        )

    @property
    def vms(self) -> list[ListedVm]:
        return self.core.vm_registry.vms

    @vms.setter
    def vms(self, vms: list[ListedVm]) -> None:
        self.core.vm_registry.vms = vms

    @property
    def vm_list_lag_s(self) -> float:
        return self.core.vm_registry.lag_s

    @vm_list_lag_s.setter
    def vm_list_lag_s(self, lag_s: float) -> None:
        self.core.vm_registry.lag_s = lag_s

    @property
    def counts(self) -> dict[str, int]:
        """Numbers of table reads, writes and conflicts."""
        return self.core.table.counts

    async def apply_faults(self, error: type[EgretshedError]) -> None:
        """Sleep for `slow_s`, then raise `error` if the platform is down."""
        if self.slow_s > 0:
            await self.clock.sleep(self.slow_s)
        if self.down:
            raise error("the platform is down")


class MemoryTable:
    def __init__(self, memory: MemoryPlatform):
        self.memory = memory
        self.core = memory.core

    async def read(self, keys: list[str]) -> dict[str, Row]:
        await self.memory.apply_faults(TableUnavailable)
        return {row.key: row for row in self.core.table.read(keys)}

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        await self.memory.apply_faults(TableUnavailable)
        return self.core.table.scan(prefix, after, limit)

    async def transact(self, conditions: list[Condition], writes: list[Write]) -> None:
        memory = self.memory
        await memory.apply_faults(TableUnavailable)
        if not self.core.write_limit.allow(len(writes)):
            raise TableUnavailable("table write rate limit exceeded")
        if memory.drop_next_writes > 0:
            memory.drop_next_writes -= 1
            raise TableOutcomeUnknown("the transaction request was lost")
        conflicts = self.core.table.transact(conditions, writes)
        if memory.lose_next_replies > 0:
            memory.lose_next_replies -= 1
            raise TableOutcomeUnknown("the reply was lost")
        if conflicts:
            raise TableConflict("condition did not hold", keys=conflicts)


class MemoryObjects:
    def __init__(self, memory: MemoryPlatform):
        self.memory = memory

    async def put(self, key: str, body: bytes) -> None:
        await self.memory.apply_faults(PlatformUnavailable)
        self.memory.core.objects[key] = bytes(body)

    async def get(self, key: str) -> bytes | None:
        await self.memory.apply_faults(PlatformUnavailable)
        return self.memory.core.objects.get(key)


class MemoryWeights:
    def __init__(self, memory: MemoryPlatform):
        self.memory = memory

    async def versions(self, model: str) -> list[WeightVersion]:
        await self.memory.apply_faults(PlatformUnavailable)
        return [w for w in self.memory.core.weights if w.model == model]

    async def rate_bytes_per_s(self) -> float:
        await self.memory.apply_faults(PlatformUnavailable)
        return self.memory.core.weight_rate_bytes_per_s


class MemoryVmList:
    def __init__(self, memory: MemoryPlatform):
        self.memory = memory

    async def read(self) -> list[ListedVm]:
        await self.memory.apply_faults(PlatformUnavailable)
        return self.memory.core.vm_registry.published()
