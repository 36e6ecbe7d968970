"""Simulation of two operators that change the configuration concurrently under faults.

Oracle: the active version of a node never decreases. Once there has been no fault for
2 s, each node has every version that is at least 2 s old. Values of accepted changes
are in the history exactly once, values of refused changes are not.
"""

import asyncio
import random
from typing import NamedTuple

from egretshed.configuration.service import ConfigurationService
from egretshed.configuration.tests.fleet import ConfigurationFleet
from egretshed.errors import (
    EgretshedError,
    TableOutcomeUnknown,
)

DOMAINS = ["r1:a", "r1:b", "r1:c", "r2:d", "r2:e"]
OPERATORS = ("anna", "beat")
PROPAGATION_LIMIT_S = 2.0
TICK_S = 0.1
MAX_FAULT_S = 3.0
FAULT_PAUSES_S = (1.0, 5.0)
# Few values, so that both operators often submit at the same instant.
CHANGE_DELAYS_S = (0.2, 0.4, 0.8)
TABLE_CALL_S = 0.02
VERSIONS = "configuration/versions/"
VALUE_OBJECT = "models/m"


class Change(NamedTuple):
    value: str
    task: asyncio.Task


class Race:
    """One run of the simulation; `violations` describes each failed check."""

    def __init__(
        self,
        seed: int,
        faults: tuple[str, ...],
        service_class: type[ConfigurationService] = ConfigurationService,
    ):
        self.fleet = ConfigurationFleet(DOMAINS, seed)
        self.fleet.service_class = service_class
        self.random = random.Random(seed)
        self.faults = faults
        self.changes: list[Change] = []
        self.violations: list[str] = []
        self.written: list[tuple[float, int]] = []
        self.fault_free_since_s: float | None = None

    async def run(self, count: int) -> None:
        self.fleet.memory.slow_s = TABLE_CALL_S
        await self.fleet.start_all()
        await self.fleet.clock.advance(3.0)
        tasks = [
            asyncio.create_task(self._submit_changes(name, count // len(OPERATORS)))
            for name in OPERATORS
        ]
        faults = asyncio.create_task(self._inject_faults())
        while not all(task.done() for task in tasks):
            await self._tick()
        faults.cancel()
        await self._finish()
        for task in tasks:
            task.result()

    async def _finish(self) -> None:
        self._end_faults()
        for _ in range(int(2 * PROPAGATION_LIMIT_S / TICK_S)):
            await self._tick()
        self._check_outcomes()
        await self.fleet.stop()

    async def _submit_changes(self, operator: str, count: int) -> None:
        for _ in range(count):
            await self.fleet.clock.sleep(self.random.choice(CHANGE_DELAYS_S))
            service = self.random.choice(list(self.fleet.services.values()))
            value = f"{operator}-{len(self.changes)}"
            call = service.change(
                service.current.version, self._model_bodies(value), operator, value
            )
            task = asyncio.create_task(call)
            self.changes.append(Change(value, task))
            await asyncio.wait({task})

    def _model_bodies(self, value: str) -> dict:
        return {VALUE_OBJECT: {"version": value}}

    async def _sleep(self, bounds_s: tuple[float, float]) -> None:
        await self.fleet.clock.sleep(self.random.uniform(*bounds_s))

    # Faults.

    async def _inject_faults(self) -> None:
        self.fault_free_since_s = self.fleet.clock.monotonic_s()
        while self.faults:
            await self._sleep(FAULT_PAUSES_S)
            self.fault_free_since_s = None
            await getattr(self, f"_{self.random.choice(self.faults)}")()
            self._end_faults()

    async def _outage(self) -> None:
        self.fleet.memory.down = True
        await self._sleep((0.2, MAX_FAULT_S))

    async def _restart(self) -> None:
        node_id = self.random.choice(list(self.fleet.services))
        await self.fleet.crash(node_id)
        await self._sleep((0.0, 1.0))
        await self.fleet.start_node(node_id)

    async def _partition(self) -> None:
        node_ids = list(self.fleet.places)
        self.random.shuffle(node_ids)
        size = self.random.randint(1, len(node_ids) - 1)
        self.fleet.network.partition(set(node_ids[:size]), set(node_ids[size:]))
        await self._sleep((0.2, MAX_FAULT_S))

    async def _lost_replies(self) -> None:
        self.fleet.memory.lose_next_replies = self.random.randint(0, 2)
        self.fleet.memory.drop_next_writes = self.random.randint(0, 2)
        await self._sleep((0.0, 1.0))

    async def _all(self) -> None:
        """A table outage with a partition, followed by a node restart during both."""
        self.fleet.memory.down = True
        await self._partition()
        await self._restart()

    def _end_faults(self) -> None:
        memory = self.fleet.memory
        memory.down = False
        memory.lose_next_replies = memory.drop_next_writes = 0
        self.fleet.network.heal()
        self.fault_free_since_s = self.fleet.clock.monotonic_s()

    # Checks.

    async def _tick(self) -> None:
        await self.fleet.clock.advance(TICK_S)
        now_s = self.fleet.clock.monotonic_s()
        self.written.append((now_s, len(self._history())))
        if (
            self.fault_free_since_s is None
            or now_s - self.fault_free_since_s < PROPAGATION_LIMIT_S
        ):
            return
        due = max(
            (v for at_s, v in self.written if at_s <= now_s - PROPAGATION_LIMIT_S),
            default=0,
        )
        for node_id, service in self.fleet.services.items():
            if service.current.version < due:
                self.violations.append(
                    f"{node_id} lacks version {due} after the time limit"
                )

    def _history(self) -> list[str]:
        rows = self.fleet.memory.core.table.dump()
        keys = sorted(key for key in rows if key.startswith(VERSIONS))
        return [rows[key]["changes"][VALUE_OBJECT]["version"] for key in keys]

    def _check_outcomes(self) -> None:
        history = self._history()
        processes = self.fleet.versions_seen
        for process, seen in processes.items():
            if seen != sorted(set(seen)):
                self.violations.append(f"versions of {process} do not rise: {seen}")
        for node_id in self.fleet.places:
            seen = [v for (n, _), vs in processes.items() if n == node_id for v in vs]
            if seen != sorted(seen):
                self.violations.append(f"versions of {node_id} fall: {seen}")
        for change in self.changes:
            error = change.task.exception()
            if error is None and history.count(change.value) != 1:
                self.violations.append(f"accepted {change.value} is not in force")
            refused = isinstance(error, EgretshedError)
            unknown = isinstance(error, TableOutcomeUnknown)
            if refused and not unknown and change.value in history:
                self.violations.append(f"refused {change.value} is in force")
        for node_id, service in self.fleet.services.items():
            if service.objects().get(VALUE_OBJECT) != {"version": history[-1]}:
                self.violations.append(
                    f"{node_id} does not have the last accepted value at the end"
                )

    def count(self, accepted: bool) -> int:
        errors = [change.task.exception() for change in self.changes]
        return sum((error is None) == accepted for error in errors)
