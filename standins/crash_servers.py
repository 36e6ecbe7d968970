"""Simulated backend servers, and the inputs that callers send to them."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import (
    dataclass,
    field,
)
from random import Random
from typing import (
    Any,
    NamedTuple,
)

SERVICE = "engine"


class InputSpec(NamedTuple):
    """An input that callers send again and again.

    With `part`, its requests are prompts that differ but for this shared part. With
    `is_new` each of its requests has another body.
    `crash_after_s` is 0 for an input that crashes no server.
    """

    name: str
    period_s: float
    duration_s: float
    sends: int = 1
    part: str = ""
    crash_after_s: float = 0.0
    is_new: bool = False

    @property
    def key_id(self) -> str:
        """Return the id of the input that all of its requests have."""
        return self.part or f"request:{self.name}"

    @property
    def shared_ids(self) -> tuple[str, ...]:
        return ("system", self.part) if self.part else ()

    def input_ids(self, number: int) -> tuple[str, ...]:
        if self.is_new:
            return (f"request:{self.name}.{number}",)
        if not self.part:
            return (self.key_id,)
        own = f"{self.name}.{number}"
        return (f"request:{own}", *self.shared_ids, f"prompt:{own}")


@dataclass(eq=False)
class Run:
    """One run of a request at a server; `ended` gives whether it ran to its end.

    `placer` is the node that placed the prompt, empty for other requests.
    """

    spec: InputSpec
    input_ids: tuple[str, ...]
    server_id: str
    sent_s: float
    ended: asyncio.Future
    placer: str = ""
    has_first_event: bool = False

    def end(self, is_whole: bool) -> None:
        """Answer or break off the request; the node may have died meanwhile."""
        if not self.ended.done():
            self.ended.set_result(is_whole)


class Crash(NamedTuple):
    """A crash of a server; `culprit` is empty for one that no input caused."""

    server_id: str
    at_s: float
    culprit: str
    sent_s: float


@dataclass(eq=False)
class SimulatedServer:
    """A server at one address, whose process may crash and start again."""

    address: str
    domain: str
    server_id: str
    is_up: bool = True
    is_host_lost: bool = False
    runs: dict[Run, asyncio.Task] = field(default_factory=dict)


class ServerFleet:
    """Servers of one service.

    `on_crash` is called with each crash, `on_first_event` with the run of a prompt.
    """

    def __init__(self, random: Random, count: int, domains: tuple[str, ...]):
        self.random = random
        self.servers = [
            SimulatedServer(f"a{index}", domains[index % len(domains)], f"s{index}")
            for index in range(count)
        ]
        self.by_address = {server.address: server for server in self.servers}
        self.crashes: list[Crash] = []
        self.crashes_of: dict[str, Crash] = {}
        self.on_first_event: list[Callable[[Run], Any]] = []
        self.counts: Counter[str] = Counter()
        self._incarnations = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    def up(self) -> list[SimulatedServer]:
        return [server for server in self.servers if server.is_up]

    def begin(self, server: SimulatedServer, spec: InputSpec, input_ids) -> Run:
        loop = asyncio.get_running_loop()
        run = Run(spec, input_ids, server.server_id, loop.time(), loop.create_future())
        server.runs[run] = self.spawn(self._run(server, run))
        self.counts["runs"] += 1
        return run

    async def _run(self, server: SimulatedServer, run: Run) -> None:
        spec = run.spec
        if spec.crash_after_s:
            await asyncio.sleep(spec.crash_after_s * self.random.uniform(0.5, 1.5))
            self.crash(server, spec.name, run.sent_s)
            return
        duration_s = spec.duration_s * self.random.uniform(0.5, 1.5)
        await asyncio.sleep(duration_s / 2)
        run.has_first_event = True
        if spec.part:
            for listener in self.on_first_event:
                listener(run)
        await asyncio.sleep(duration_s / 2)
        del server.runs[run]
        run.end(True)

    def crash(
        self,
        server: SimulatedServer,
        culprit: str = "",
        sent_s: float = 0.0,
        is_host_lost: bool = False,
    ) -> None:
        """End a server's process; it starts again some seconds later."""
        if not server.is_up:
            return
        now_s = asyncio.get_running_loop().time()
        crash = Crash(server.server_id, now_s, culprit, sent_s)
        self.crashes.append(crash)
        self.crashes_of[server.server_id] = crash
        self.counts["crashes by inputs" if culprit else "ordinary crashes"] += 1
        server.is_up, server.is_host_lost = False, is_host_lost
        runs, server.runs = server.runs, {}
        for run, task in runs.items():
            task.cancel()
            run.end(False)
        self.spawn(self._restart(server))

    async def _restart(self, server: SimulatedServer) -> None:
        await asyncio.sleep(self.random.uniform(0.8, 3.0))
        server.server_id = f"{server.address}.{next(self._incarnations)}"
        server.is_up, server.is_host_lost = True, False

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
