"""Runs an in-process system under load with one event; `bench.check` checks it."""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
)
from pathlib import Path
from typing import NamedTuple

from prometheus_client import generate_latest

from bench.check import (
    Breach,
    Observed,
    find_breaches,
)
from bench.driver import LoadDriver
from bench.http_stream import Address
from bench.records import (
    Answer,
    RequestRecord,
)
from bench.schedule import (
    PlannedRequest,
    read_deployment,
)
from egretshed.clock import SystemClock
from egretshed.errors import ExitStatus
from standins.backend_spec import BackendFault
from standins.backends import BackendServer
from standins.system import System

DEPLOYMENT = Path(__file__).resolve().parents[2] / "examples" / "laurentien"
CUSTOMERS = ("val-david", "sainte-agathe", "saint-sauveur")
DOMAIN = "qc-east-1"
BOOKING = "shift_assignment"
# Longer than the 2 s limit of P2, P3 and P7, so that later call starts are recorded.
LOAD_PAST_LIMIT_S = 2.6
RECORD_WAIT_S = 0.3


class Trial(NamedTuple):
    """An in-process system, its load driver, and the records of the run."""

    system: System
    driver: LoadDriver
    records: list[RequestRecord]
    exits: dict[str, int]

    async def load(self, kind: str, count: int, seconds: float) -> None:
        """Send `count` requests of a kind over `seconds`; wait for their answers."""
        plan = [
            PlannedRequest(
                at_s=seconds * number / count,
                request_id=f"{kind}-{number}",
                customer_id=CUSTOMERS[number % len(CUSTOMERS)],
                kind=kind,
                body={"prompt": "x", "session": f"s{number}"},
            )
            for number in range(count)
        ]
        self.records.extend(await self.driver.run(plan))

    def servers(self, pool: str = "", domain: str = "") -> list[BackendServer]:
        return [
            server
            for server in self.system.host.backends
            if pool in ("", server.spec.pool)
            and domain in ("", server.spec.failure_domain)
        ]

    def fail(self, pool: str, share: float) -> None:
        for server in self.servers(pool):
            server.state.fault = BackendFault(fail_share=share)


async def domain_out(trial: Trial) -> None:
    configuration = trial.system.nodes[0].configuration
    name = f"failure_domains/{DOMAIN}"
    body = {**configuration.objects()[name], "out": True}
    await configuration.change(configuration.current.version, {name: body}, "o", "out")
    for server in trial.servers(domain=DOMAIN):
        server.state.set_out(True)
    await trial.load("route_question", 40, LOAD_PAST_LIMIT_S)


async def servers_leave(trial: Trial) -> None:
    for server in trial.servers(domain=DOMAIN):
        server.state.set_leaving(True)
    await trial.load("route_question", 40, LOAD_PAST_LIMIT_S)


async def engines_turn_cold(trial: Trial) -> None:
    for server in trial.servers("rota-llm"):
        server.state.go_cold(unwarned=True)
    await asyncio.sleep(LOAD_PAST_LIMIT_S)
    await trial.load("route_question", 30, 0.3)


async def engines_fail(trial: Trial) -> None:
    trial.fail("rota-llm", 1.0)
    await trial.load("route_question", 4, 0.2)


async def half_of_the_calls_fail(trial: Trial) -> None:
    trial.fail("rota-llm", 0.5)
    await trial.load("route_question", 12, 0.5)


async def bookings_fail(trial: Trial) -> None:
    trial.fail("dispatch-api", 1.0)
    await trial.load(BOOKING, 4, 0.2)


async def connections_break(trial: Trial) -> None:
    load = asyncio.create_task(trial.load("hours_summary", 8, 0.2))
    while not any(stream.has_tokens for stream in _streams(trial.system)):
        await asyncio.sleep(0.01)
    for node in trial.system.nodes:
        await node._server.close_all_connections()
    await load


async def node_stops(trial: Trial) -> None:
    node = trial.system.nodes[1]
    load = asyncio.create_task(trial.load("hours_summary", 12, 0.2))
    while not node.runner.running_count():
        await asyncio.sleep(0.01)
    cut = await node.stop()
    status = ExitStatus.FAILED if cut else ExitStatus.SUCCESS
    trial.exits[node.env.identity.node_id] = int(status)
    await load


async def booking_comes_twice(trial: Trial) -> None:
    """Submit the same booking to both nodes; one record stands for both callers."""
    system = trial.system
    clock = SystemClock()
    body = b'{"request_id": "twice", "kind": "%s", "body": {}}' % BOOKING.encode()
    key = system.customer_keys[CUSTOMERS[0]]
    sent_s = clock.monotonic_s()
    await asyncio.gather(
        *(system.fetch("POST", "/v1/requests", body, key, node) for node in (0, 1))
    )
    record = RequestRecord(CUSTOMERS[0], BOOKING, sent_s, sent_s)
    received_s = clock.monotonic_s()
    answer = Answer("twice", "", sent_s, received_s, "complete", "", None)
    record.answers.append(answer)
    record.outcome = "complete"
    record.request_id = "twice"
    trial.records.append(record)


def _streams(system: System) -> list:
    return [run.stream for node in system.nodes for run in node.runner._runs.values()]


EVENTS: dict[str, Callable[[Trial], Awaitable[None]]] = {
    "a domain goes out": domain_out,
    "servers leave": servers_leave,
    "engines turn cold": engines_turn_cold,
    "all engine calls fail": engines_fail,
    "half of the engine calls fail": half_of_the_calls_fail,
    "bookings fail midway": bookings_fail,
    "a booking comes twice": booking_comes_twice,
    "connections break": connections_break,
    "a node stops": node_stops,
}


async def run_event(event: str) -> list[Breach]:
    """Run a system under load with one event and return the breaches found."""
    async with System(DEPLOYMENT, nodes=2) as system:
        identities = [node.env.identity for node in system.nodes]
        entries = [Address(i.host, i.http_port) for i in identities]
        driver = LoadDriver(SystemClock(), read_deployment(DEPLOYMENT), entries)
        trial = Trial(system, driver, [], {})
        await EVENTS[event](trial)
        await asyncio.sleep(RECORD_WAIT_S)
        return find_breaches(_observed(trial))


def _observed(trial: Trial) -> Observed:
    nodes = trial.system.nodes
    return Observed(
        callers=[record.to_body() for record in trial.records],
        servers=[server.state.to_record() for server in trial.servers()],
        metrics={
            node.env.identity.node_id: generate_latest(
                node.env.metrics.registry
            ).decode()
            for node in nodes
        },
        exits=trial.exits,
        non_repeatable_kinds=frozenset({BOOKING}),
    )
