import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.errors import (
    HistoryLost,
    PlatformUnavailable,
)
from egretshed.feeds.follower import (
    LONG_POLL_S,
    TableFollower,
    TableState,
)
from egretshed.feeds.peer_sync import store_retry_period_s
from egretshed.platform.interface import (
    StoredRow,
    TableChanges,
)
from egretshed.platform.store import FEED_TIMEOUT_MARGIN_S
from standins.clock import ManualClock
from standins.environments import make_environment

# Interval at which a waiting feed call checks for changes.
POLL_S = 0.05


class FakeFeed:
    """`ChangeFeed` of one in-memory table with history and injected faults."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 0
        self.history = []
        self.rows = {}
        self.oldest_version = 0
        self.down_until_s = 0.0
        self.is_silent = False
        self.silent_until_s = 0.0
        self.always_loses_history = False
        self.reads = 0

    def write(self, key, value):
        self.version += 1
        row = StoredRow("", key, value, self.version)
        self.history.append(row)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row

    def lose_history(self):
        self.oldest_version = self.version

    def _check(self):
        if self.clock.monotonic_s() < self.down_until_s:
            raise PlatformUnavailable("store is down")

    async def read_table(self, table, part=""):
        self._check()
        self.reads += 1
        return TableChanges(tuple(self.rows.values()), self.version)

    async def changes(self, table, after, wait_s):
        self._check()
        if after < self.oldest_version or self.always_loses_history:
            raise HistoryLost("lost")
        end_s = self.clock.monotonic_s() + wait_s
        if self.clock.monotonic_s() < self.silent_until_s:
            await self.clock.sleep(wait_s + FEED_TIMEOUT_MARGIN_S)
            raise PlatformUnavailable("no reply in time")
        if self.is_silent:
            # Like a dead connection: only the client's timeout ends the wait.
            self.is_silent = False
            await self.clock.sleep(wait_s)
            raise PlatformUnavailable("no reply in time")
        while True:
            self._check()
            if after < self.oldest_version:
                raise HistoryLost("lost")
            found = tuple(row for row in self.history if row.version > after)
            if found or self.clock.monotonic_s() >= end_s:
                return TableChanges(found, self.version)
            await self.clock.sleep(POLL_S)


@given("a store table with rows a=1 b=2 that is followed")
def followed(context):
    context.clock = ManualClock()
    context.feed = FakeFeed(context.clock)
    context.feed.write("a", b"1")
    context.feed.write("b", b"2")
    context.events = []


@when("nothing happens")
def nothing(context):
    pass


@when("{key}={value} is written")
def written(context, key, value):
    parts = key.split(" and ")
    for part in parts[:-1]:
        context.events.append(part)
    context.events.append(("write", parts[-1], value.encode()))


@when("{key} is removed")
def removed(context, key):
    parts = key.split(" and ")
    context.events += parts[:-1]
    context.events.append(("write", parts[-1], None))


@then('within {limit:g} s the follower has rows "{rows}"')
def has_rows(context, limit, rows):
    async def run_scenario():
        feed = context.feed
        env = make_environment(context.clock)
        follower = TableFollower(env, lambda: feed, "t", lambda rows, is_whole: None)
        task = asyncio.create_task(follower.run())
        await context.clock.advance(1.0)
        for event in context.events:
            if event == "history is lost":
                feed.lose_history()
            elif event == "the store is away for 3 s":
                feed.down_until_s = context.clock.monotonic_s() + 3
            elif event == "the store is silent for 8 s":
                feed.silent_until_s = context.clock.monotonic_s() + 8
                # The write ends the pending call; later calls get no reply.
                feed.write("b", b"2")
                await context.clock.advance(0.02)
            elif event == "the feed is silent":
                feed.is_silent = True
                # The pending call still gets its reply; the next one gets none.
                await context.clock.advance(LONG_POLL_S)
            else:
                feed.write(*event[1:])
        await context.clock.advance(limit)
        task.cancel()
        return {key: row.value for (_, key), row in follower.rows.items()}

    found = asyncio.run(run_scenario())
    expected = dict(pair.split("=") for pair in rows.split())
    assert found == {k: v.encode() for k, v in expected.items()}, found


@given("a follower at version {ours:d}")
def follower_at(context, ours):
    env = make_environment(ManualClock())
    context.follower = TableFollower(
        env, lambda: None, "t", lambda rows, is_whole: None
    )
    context.follower.adopt(TableState(ours, ()))


@when("a peer offers the table at version {theirs:d}")
def offered(context, theirs):
    rows = (StoredRow("", "k", b"v", theirs),)
    context.applied = context.follower.adopt(TableState(theirs, rows))


@then("the peer's state is applied: {applied}")
def is_applied(context, applied):
    assert context.applied == (applied == "yes")
    assert bool(context.follower.rows) == (applied == "yes")


@when("the store keeps losing its history for {seconds:g} s")
def keeps_losing_history(context, seconds):
    async def run_scenario():
        feed = context.feed
        feed.always_loses_history = True
        env = make_environment(context.clock)
        follower = TableFollower(env, lambda: feed, "t", lambda rows, is_whole: None)
        task = asyncio.create_task(follower.run())
        await context.clock.advance(seconds)
        task.cancel()

    asyncio.run(run_scenario())


@then("the full table was read at most {most:d} times")
def reads_at_most(context, most):
    assert context.feed.reads <= most, context.feed.reads


def _follower(clock):
    return TableFollower(
        make_environment(clock), lambda: None, "t", lambda rows, is_whole: None
    )


@given("a follower that kept the changes of {first:d} and then {then:d} rows")
def follower_with_history(context, first, then):
    context.follower = _follower(ManualClock())
    context.follower.adopt(TableState(0, ()))
    version = 0
    for count in (first, then):
        rows = tuple(
            StoredRow("", f"k{number}", b"v", number + 1)
            for number in range(version, version + count)
        )
        version += count
        context.follower.adopt(TableState(version, rows, is_whole=False))


@when("a peer that has every version up to {theirs:d} asks for the changes")
def peer_asks(context, theirs):
    peer = _follower(ManualClock())
    known = tuple(r for r in context.follower.rows.values() if r.version <= theirs)
    peer.adopt(TableState(theirs, known))
    peer.adopt(context.follower.changes_after(theirs))
    context.peer = peer


@then("the peer has all rows afterwards")
def peer_has_all(context):
    missing = set(context.follower.rows) - set(context.peer.rows)
    assert not missing, sorted(missing)[:5]
    assert context.peer.version == context.follower.version


@given("a follower that has {known}")
def follower_that_has(context, known):
    context.clock = ManualClock()
    context.follower = _follower(context.clock)
    if known == "an older state":
        context.follower.adopt(TableState(5, ()))
        asyncio.run(context.clock.advance(9.0))


@when("a peer offers {what} that it had confirmed {age:g} s ago")
def offers_old_state(context, what, age):
    rows = (StoredRow("", "k", b"v", 6),)
    state = TableState(6, rows, is_whole=what == "all rows", age_s=age)
    context.applied = context.follower.adopt(state)


@then("the age of the follower's state is {age:g} s")
def age_is(context, age):
    assert context.follower.age_s() == age, context.follower.age_s()


@given("a fleet of {nodes:d} nodes without a reader")
def fleet_without_reader(context, nodes):
    context.nodes = nodes


@then(
    "they retry the store at most {most:d} times/s together, each within {period:g} s"
)
def retry_rate(context, most, period):
    period_s = store_retry_period_s(context.nodes)
    assert context.nodes / period_s <= most, period_s
    assert period_s <= period, period_s
