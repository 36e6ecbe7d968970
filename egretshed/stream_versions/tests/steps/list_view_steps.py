import asyncio
import time
from types import SimpleNamespace

from behave import (
    given,
    then,
    when,
)

from egretshed.clock import SystemClock
from egretshed.errors import (
    HistoryLost,
    PlatformUnavailable,
)
from egretshed.feeds.follower import TableFollower
from egretshed.platform.interface import (
    StoredRow,
    TableChanges,
)
from egretshed.relay.stream_resumption import CONFIRM_LIMIT_S
from egretshed.stream_versions.list_view import ServerListView
from standins.environments import make_environment

CALL_S = 0.05
SILENT_S = 5.0
VERSION = 7
# Tolerance of a moment that is measured on the clock of the machine.
MOMENT_TOLERANCE_S = 0.3


class Store:
    """`ChangeFeed` whose calls take `CALL_S`, in one of the states of the table."""

    def __init__(self, state):
        self.state = state
        self.changes_calls = 0
        self.table_calls = 0

    async def changes(self, table, after, wait_s):
        self.changes_calls += 1
        sent_s = time.monotonic()
        await asyncio.sleep(SILENT_S if self.state == "is silent" else CALL_S)
        if self.state == "refuses":
            raise PlatformUnavailable("refused")
        if self.state == "has lost its history":
            raise HistoryLost("lost")
        rows = ()
        if self.state == "removed an unknown server":
            rows = (StoredRow("", "unknown", None, VERSION + 1),)
        return TableChanges(rows, VERSION + len(rows), sent_s=sent_s)

    async def read_table(self, table, part=""):
        self.table_calls += 1
        sent_s = time.monotonic()
        await asyncio.sleep(CALL_S)
        return TableChanges((), VERSION, sent_s=sent_s)


class Record:
    """`VersionRecord` that counts its reads."""

    def __init__(self):
        self.read_s = time.monotonic()
        self.reads = 0

    async def read(self):
        self.reads += 1
        self.read_s = time.monotonic()


@given("a node that follows the list of servers, and a store that {state}")
def node(context, state):
    env = make_environment(SystemClock())
    context.store, context.record = Store(state), Record()
    context.feed = SimpleNamespace()
    context.follower = TableFollower(
        env, lambda: context.feed, "servers", lambda rows, is_whole: None
    )
    context.view = ServerListView(env, context.follower, context.store, context.record)
    asyncio.run(_apply(context, TableChanges((), VERSION, sent_s=time.monotonic())))
    context.first_s = context.view.as_of_s()


async def _apply(context, changes):
    """Let the follower receive one answer."""
    arrived = asyncio.Event()

    async def answer(*call):
        if arrived.is_set():
            await asyncio.sleep(SILENT_S)
        arrived.set()
        return changes

    context.feed.read_table = context.feed.changes = answer
    task = asyncio.create_task(context.follower.run())
    await asyncio.sleep(CALL_S)
    task.cancel()


@when("{count:d} requests that arrive {apart_s:g} s apart need the list")
def need_list(context, count, apart_s):
    async def need(number):
        await asyncio.sleep(number * apart_s)
        arrived_s = time.monotonic()
        confirmed = await context.view.confirm(arrived_s, CONFIRM_LIMIT_S)
        return confirmed, time.monotonic() - arrived_s

    async def need_all():
        return await asyncio.gather(*(need(number) for number in range(count)))

    context.results = asyncio.run(need_all())


@then("all of them find it confirmed: {confirmed}")
def is_confirmed(context, confirmed):
    found = {result for result, _ in context.results}
    assert found == {confirmed == "yes"}, context.results


@then(
    "the store was asked for changes {changes:d}, tables {tables:d} and records"
    " {records:d} times"
)
def was_asked(context, changes, tables, records):
    found = (
        context.store.changes_calls,
        context.store.table_calls,
        context.record.reads,
    )
    assert found == (changes, tables, records), found


@then("none waited longer than {wait_s:g} s")
def none_waited(context, wait_s):
    assert max(took_s for _, took_s in context.results) <= wait_s, context.results


@when("an answer of {source} to a call of {sent_s:g} s before is applied")
def answer_applied(context, source, sent_s):
    context.arrived_s = time.monotonic()
    changes = TableChanges((), VERSION, sent_s=context.arrived_s - sent_s)
    if source == "a peer":
        changes = changes._replace(regained_age_s=9.0, sent_s=None)
    context.follower.as_of_s = context.first_s = context.arrived_s - 10.0
    asyncio.run(_apply(context, changes))


@then("the list misses no server until {as_of}")
def misses_none_until(context, as_of):
    expected_s = context.arrived_s
    if as_of.endswith(" s before"):
        expected_s -= float(as_of.partition(" ")[0])
    elif as_of == "an older call":
        expected_s = context.first_s
    found_s = context.view.as_of_s()
    assert abs(found_s - expected_s) < MOMENT_TOLERANCE_S, (found_s, expected_s)
