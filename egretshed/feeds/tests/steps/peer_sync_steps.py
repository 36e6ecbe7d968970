import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.errors import PlatformUnavailable
from egretshed.feeds.follower import TableFollower
from egretshed.feeds.peer_sync import PeerTableSync
from egretshed.feeds.table_source import TableSource
from egretshed.feeds.tests.steps.follower_steps import FakeFeed
from egretshed.gen.messages.ttypes import TableRows
from standins.clock import ManualClock
from standins.environments import (
    make_environment,
    make_settings,
)
from standins.peers import InMemoryNetwork

TABLE = "t"
NAMES = ("node-1", "node-2", "node-3")
VALUES = {"large": b"a route of the usual kind, " * 10_000}


class RecordingNetwork(InMemoryNetwork):
    """Records the row values that nodes send each other."""

    def __init__(self, clock):
        super().__init__(clock)
        self.sent_values = []

    async def deliver(self, sender, target, body):
        reply = await super().deliver(sender, target, body)
        if isinstance(reply, TableRows):
            self.sent_values += [row.value for row in reply.rows]
        return reply


class FakeOwners:
    """All nodes are reachable; `reader`, or by default the node itself, ranks first."""

    def __init__(self, own_id, reader=""):
        self.own_id = own_id
        self.reader = reader or own_id

    def ranked(self, duty):
        return [self.reader]

    def nodes_with_fast_link(self, min_link_mbps):
        return ["node-1"] if self.own_id != "node-1" else []

    def others(self):
        return [name for name in NAMES if name != self.own_id]


class NodeStore:
    """The store as one node sees it; it can refuse that node."""

    def __init__(self, feed, is_refusing):
        self.feed = feed
        self.is_refusing = is_refusing
        self.full_reads = 0
        self.calls = 0

    def _check(self):
        if self.is_refusing:
            raise PlatformUnavailable("refused by the store")

    async def read_table(self, table, part=""):
        self._check()
        self.calls += 1
        self.full_reads += 1
        return await self.feed.read_table(table, part)

    async def changes(self, table, after, wait_s):
        self._check()
        self.calls += 1
        found = await self.feed.changes(table, after, min(wait_s, 0.2))
        self._check()
        return found


class FollowingNode:
    """One node that follows the table, with its background tasks."""

    def __init__(self, name, network, feed, link_mbps=1000.0, reader=""):
        clock = network.clock
        node = {"node_id": name, "failure_domain": "a", "region": "r"}
        settings = make_settings(name, node={**node, "link_mbps": link_mbps})
        self.env = make_environment(clock, name, settings=settings)
        self.peers = network.attach(self.env)
        self.store = NodeStore(feed, False)
        self.table_source = TableSource(self.store)
        self.follower = TableFollower(
            self.env,
            lambda: self.table_source.select(self.follower),
            TABLE,
            lambda rows, is_whole: None,
        )
        self.owners = FakeOwners(name, reader)
        self.tasks = []

    def follow_store(self):
        self.tasks.append(asyncio.create_task(self.follower.run()))

    def join_peers(self):
        peer_sync = PeerTableSync(
            self.env, self.peers, self.owners, {TABLE: self.follower}
        )
        self.table_source.connect(peer_sync.source)
        self.tasks.append(asyncio.create_task(peer_sync.run()))

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def values(self):
        return {key: row.value for (_, key), row in self.follower.rows.items()}


def start_node(name, network, feed, link_mbps=1000.0, reader=""):
    node = FollowingNode(name, network, feed, link_mbps, reader)
    node.join_peers()
    node.follow_store()
    return node


@given("3 nodes that follow a store table with rows a=1 b=2")
def three_nodes(context):
    context.clock = ManualClock()
    context.feed = FakeFeed(context.clock)
    context.feed.write("a", b"1")
    context.feed.write("b", b"2")


@when('after "{change}" the store serves only "node-1"')
def store_refuses_others(context, change):
    context.change = change


@then('within {limit:g} s every node has rows "{rows}"')
def every_node_has(context, limit, rows):
    async def run_scenario():
        network = RecordingNetwork(context.clock)
        nodes = {name: start_node(name, network, context.feed) for name in NAMES}
        await context.clock.advance(1.0)
        for name in NAMES[1:]:
            nodes[name].store.is_refusing = True
        await context.clock.advance(0.5)
        change, _, restart = context.change.partition(" and ")
        if change == "a is removed":
            context.feed.write("a", None)
        else:
            context.feed.write("a", VALUES.get(change[2:7], change[2:3].encode()))
        if restart:
            nodes["node-1"].stop()
            nodes["node-1"] = start_node("node-1", network, context.feed)
        await context.clock.advance(limit)
        ended = [task for node in nodes.values() for task in node.tasks if task.done()]
        found = {name: node.values() for name, node in nodes.items()}
        for node in nodes.values():
            node.stop()
        context.sent_values = network.sent_values
        return found, [task.exception() for task in ended if not task.cancelled()]

    found, failures = asyncio.run(run_scenario())
    pairs = (pair.split("=") for pair in rows.split())
    expected = {key: VALUES.get(value, value.encode()) for key, value in pairs}
    assert not failures, failures
    assert all(values == expected for values in found.values()), found


@then("no peer was sent a row that it already had, or 2 kB for one row")
def no_unneeded_rows(context):
    assert all(len(value or b"") < 2000 for value in context.sent_values)
    assert all(value != b"2" for value in context.sent_values), context.sent_values


@when("all nodes restart with links of {links} Mbit/s while node-1 is {state}")
def all_restart(context, links, state):
    async def run_scenario():
        network = RecordingNetwork(context.clock)
        nodes = {
            name: start_node(name, network, context.feed, float(link), "node-2")
            for name, link in zip(NAMES, links.split(), strict=True)
        }
        if state == "gone":
            network.paused.add("node-1")
            nodes["node-1"].stop()
        await context.clock.advance(2.0)
        for node in nodes.values():
            node.stop()
        return {
            name: (node.store.full_reads, node.values())
            for name, node in nodes.items()
            if not (state == "gone" and name == "node-1")
        }

    context.started = asyncio.run(run_scenario())


@then('all running nodes have rows "{rows}" and "{names}" read the store')
def read_by(context, rows, names):
    expected = {k: v.encode() for k, v in (pair.split("=") for pair in rows.split())}
    read = {name for name, (reads, _) in context.started.items() if reads}
    assert read == set(names.split()), read
    assert all(values == expected for _, values in context.started.values())


@when("peers are known {wait:g} s after the start, with {period:g} s between changes")
def start_before_peers(context, wait, period):
    async def run_scenario():
        network = RecordingNetwork(context.clock)
        nodes = [
            FollowingNode(name, network, context.feed, reader="node-1")
            for name in NAMES
        ]
        for node in nodes:
            node.follow_store()
        change_count = round(wait / period)
        for number in range(change_count):
            await context.clock.advance(period)
            context.feed.write("a", str(number).encode())
        for node in nodes:
            node.join_peers()
        await context.clock.advance(1.0)
        found = [(node.store.calls, node.values()) for node in nodes]
        for node in nodes:
            node.stop()
        return found

    context.started = asyncio.run(run_scenario())


@then("nodes that do not read for others called the store at most {most:d} times each")
def called_store(context, most):
    calls = [calls for calls, _ in context.started[1:]]
    assert max(calls) <= most, calls


@then("every node has the last change within 1 s")
def has_last_change(context):
    expected = {key: row.value for key, row in context.feed.rows.items()}
    assert all(values == expected for _, values in context.started), context.started


@given('a node that follows the readers "{readers}"')
def follows_readers(context, readers):
    context.readers = readers.split()


@when("it asks for changes {count:d} times")
def asks(context, count):
    async def run_scenario():
        network = InMemoryNetwork(ManualClock())
        env = make_environment(network.clock, "n1")
        owners = FakeOwners("n1")
        owners.ranked = lambda duty: context.readers
        follower = TableFollower(env, lambda: None, TABLE, lambda rows, is_whole: None)
        peer_sync = PeerTableSync(env, network.attach(env), owners, {TABLE: follower})
        store = NodeStore(None, False)
        assert peer_sync.source(follower, store) is store, (
            "first read not from the store"
        )
        follower.is_connected = True
        follower.confirmed_s = network.clock.monotonic_s()
        asked = [peer_sync.source(follower, store) for _ in range(count)]
        return [feed.node_id for feed in asked]

    context.asked = asyncio.run(run_scenario())


@then("no reader was asked again before all others were asked")
def in_round_robin_order(context):
    size = len(context.readers)
    rounds = [
        context.asked[start : start + size]
        for start in range(0, len(context.asked), size)
    ]
    assert all(sorted(asked) == context.readers for asked in rounds), context.asked
