import asyncio
import itertools
import random
import time
from collections import Counter
from typing import NamedTuple

from behave import (
    then,
    when,
)

from standins.behave_loop import run
from standins.sender import (
    NO_ANSWER,
    read_answer,
)
from standins.users_platform.fleet import (
    HOST,
    make_platform_configuration,
)
from standins.users_platform.store import OPERATOR_TABLE

SEED = 1
CHANGE_PERIOD_S = 0.1
# Changes between the narrow and the wide limits: longer than nodes allow earlier ones.
LIMITS_PERIOD = 30
# A caller counts on limits once they are this old; nodes have them by then.
SETTLED_S = 0.8
REUSED_SHARE = 0.8
PATHS = ("/book/x", "/read/x", "/ask/x", "/digest/x")
# The last ones are longer than the narrow idle limit.
PAUSES_S = (0.01, 0.01, 0.05, 0.1, 0.3, 1.9, 2.9)
DEADLINE_MS = 4000
REFUSED = {"400", "401", "403", "404", "408", "413", "431"}


class Limits(NamedTuple):
    """Limits of a configuration, in the order of their names there."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


WIDE = Limits(8000, 20000, 4000, 4000)
NARROW = Limits(1000, 1000, 1500, 1500)


def _change_limits(configuration, number):
    limits = (NARROW, WIDE)[number // LIMITS_PERIOD % 2]
    configuration["limits"] = limits._asdict()


def _change_weights(configuration, number):
    split = [{"service": "plain", "weight": 1 + number % 5}]
    split.append({"service": "spare", "weight": 0})
    configuration["services"].append({"name": "spare", "max_conns": 100})
    for route in configuration["routes"]:
        if route["service"] == "plain":
            del route["service"]
            route["split"] = split


def _change_timeouts(configuration, number):
    for route in configuration["routes"]:
        route["timeout_ms"] = 5000 + 500 * (number % 3)


def _change_routes(configuration, number):
    if number % 2:
        extra = {**configuration["routes"][1], "name": "extra", "path_prefix": "/more/"}
        configuration["routes"].insert(0, extra)


def _change_customers(configuration, number):
    if number % 2:
        key = f"key-of-{number}"
        configuration["tenants"].append({"name": "late", "api_keys": [key]})


CHANGES = {
    "limits": _change_limits,
    "weights": _change_weights,
    "timeouts": _change_timeouts,
    "routes": _change_routes,
    "customers": _change_customers,
}


class Operator:
    """Puts configurations; knows which limits callers may count on."""

    def __init__(self, store, changed: list[str]):
        self.store = store
        self.changed = changed
        self.put: list[tuple[float, Limits]] = [(0.0, NARROW)]

    async def run(self) -> None:
        for number in itertools.count():
            configuration = make_platform_configuration(2 + number)
            configuration["limits"] = NARROW._asdict()
            for name in self.changed:
                CHANGES[name](configuration, number)
            limits = Limits(**configuration["limits"])
            self.store.put_json(OPERATOR_TABLE, "config", configuration)
            self.put.append((time.monotonic(), limits))
            await asyncio.sleep(CHANGE_PERIOD_S)

    def least_limits(self) -> Limits:
        """Return the smallest limits that may be in force now."""
        now_s = time.monotonic()
        settled = [limits for at_s, limits in self.put if at_s < now_s - SETTLED_S]
        recent = [limits for at_s, limits in self.put if at_s >= now_s - SETTLED_S]
        return Limits(*map(min, zip(*settled[-1:], *recent, strict=True)))


class Caller:
    """Sends requests of all sizes that are allowed, and pauses between them."""

    def __init__(self, number: int, port: int, operator: Operator):
        self.name = f"c{number}"
        self.port = port
        self.operator = operator
        self.path = PATHS[number % len(PATHS)]
        self.random = random.Random(SEED * 1000 + number)
        self.outcomes: Counter[str] = Counter()
        self.closed_early: list[float] = []

    async def run(self, until_s: float) -> None:
        connection = None
        for count in itertools.count():
            if time.monotonic() >= until_s:
                break
            connection = connection or await asyncio.open_connection(HOST, self.port)
            outcome, stays_open = await self._send(connection, f"{self.name}-{count}")
            self.outcomes[outcome] += 1
            if not stays_open or not await self._pause(connection):
                connection[1].close()
                connection = None
        if connection is not None:
            connection[1].close()

    async def _pause(self, connection) -> bool:
        """Pause; return whether the connection can be reused after it.

        It was closed early if its caller could have reused it at that moment.
        """
        began_s = time.monotonic()
        try:
            async with asyncio.timeout(self.random.choice(PAUSES_S)):
                await connection[0].read(1)
        except TimeoutError:
            return self._is_reusable(time.monotonic() - began_s)
        idle_s = time.monotonic() - began_s
        if self._is_reusable(idle_s):
            self.closed_early.append(idle_s)
        return False

    def _is_reusable(self, idle_s: float) -> bool:
        limit_s = self.operator.least_limits().idle_timeout_ms / 1000
        return idle_s <= REUSED_SHARE * limit_s

    def _encode(self, request_id: str) -> bytes:
        limits = self.operator.least_limits()
        method = "GET" if self.path.startswith("/read/") else "POST"
        head = (
            f"{method} {self.path} HTTP/1.1\r\nHost: h.example\r\n"
            f"Request-Id: {request_id}\r\nAuthorization: Token key-1\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\n"
        )
        length = 0
        if method == "POST":
            length = self.random.choice((4, limits.max_body_bytes))
        head += f"Content-Length: {length}\r\n"
        if self.random.random() < 0.5:
            head += (
                "X-Fill: " + "f" * (limits.max_header_bytes - len(head) - 20) + "\r\n"
            )
        return (head + "\r\n").encode() + b"b" * length

    async def _send(self, connection, request_id: str) -> tuple[str, bool]:
        reader, writer = connection
        try:
            writer.write(self._encode(request_id))
            return await read_answer(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            return NO_ANSWER, False


@when(
    "{count:d} callers send requests for {for_s:g} s while {changed} change each 0.1 s"
)
def send_beside_changes(context, count, for_s, changed):
    async def send():
        operator = Operator(context.fleet.store, changed.split(", "))
        ports = [ports[0] for ports in context.fleet.ports.values()]
        context.callers = [
            Caller(number, ports[number // len(PATHS) % len(ports)], operator)
            for number in range(count)
        ]
        changing = asyncio.create_task(operator.run())
        await asyncio.sleep(SETTLED_S)
        until_s = time.monotonic() + for_s
        await asyncio.gather(*(caller.run(until_s) for caller in context.callers))
        changing.cancel()
        context.outcomes = sum((c.outcomes for c in context.callers), Counter())
        print(dict(context.outcomes), "closed early:", _closed_early(context))

    run(context, send())


def _closed_early(context) -> int:
    return sum(len(caller.closed_early) for caller in context.callers)


@then("every request got an answer")
def all_answered(context):
    assert not context.outcomes[NO_ANSWER], context.outcomes


@then("none was answered as if it broke a limit or no route or key existed")
def none_refused(context):
    assert not REFUSED & context.outcomes.keys(), context.outcomes


@then("no connection was closed while its caller could reuse it")
def none_closed_early(context):
    closed = {c.name: c.closed_early for c in context.callers if c.closed_early}
    assert not closed, closed


@then("at least {least:d} requests were answered whole")
def answered_whole(context, least):
    assert context.outcomes["200"] >= least, context.outcomes
