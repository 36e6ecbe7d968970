"""Random store faults, network cuts, restarts and changes on nodes following a table.

A restarted node follows the store alone until it knows its peers.

Oracle: no node reverts to an older version of a row; no background task ends; once all
faults have ended and `RECOVERY_BOUND_S` has passed, every node has exactly the rows of
the store.
"""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from egretshed.feeds.tests.steps.follower_steps import FakeFeed
from egretshed.feeds.tests.steps.peer_sync_steps import (
    NAMES,
    FollowingNode,
)
from standins.clock import ManualClock
from standins.fuzz import fuzz_main
from standins.peers import InMemoryNetwork

# Longest feed call, the delay before it and a full read.
RECOVERY_BOUND_S = 6.0
names = st.sampled_from(NAMES)
keys = st.sampled_from("abc")


class FeedMachine(RuleBasedStateMachine):
    @initialize(links=st.lists(st.sampled_from([10.0, 200.0]), min_size=3, max_size=3))
    def start(self, links):
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.feed = FakeFeed(self.clock)
        self.network = InMemoryNetwork(self.clock)
        self.links = dict(zip(NAMES, links, strict=True))
        self.nodes = {}
        self.seen = {}
        self.unjoined = set()
        self.run(self.start_nodes(*NAMES))
        self.run(self.join_all())
        self.wait(1.0)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def start_nodes(self, *started):
        for name in started:
            link = self.links[name]
            # The first node is the only reader; the others follow it.
            node = FollowingNode(name, self.network, self.feed, link, NAMES[0])
            node.follow_store()
            self.nodes[name] = node
            self.seen[name] = {}
            self.unjoined.add(name)

    async def join_all(self):
        for name in self.unjoined:
            self.nodes[name].join_peers()
        self.unjoined.clear()

    @rule(seconds=st.sampled_from([0.05, 0.4, 1.5, 4.0]))
    def wait(self, seconds):
        self.run(self.clock.advance(seconds))
        self.check_versions()

    @rule(key=keys, size=st.sampled_from([1, 9_000]))
    def write(self, key, size):
        self.feed.write(key, f"{self.feed.version} ".encode() * size)

    @rule(key=keys)
    def remove(self, key):
        if key in self.feed.rows:
            self.feed.write(key, None)

    @rule()
    def lose_history(self):
        self.feed.lose_history()

    @rule(seconds=st.sampled_from([0.5, 3.0, 8.0]))
    def store_away(self, seconds):
        self.feed.down_until_s = self.clock.monotonic_s() + seconds

    @rule(seconds=st.sampled_from([0.5, 3.0, 8.0]))
    def store_silent(self, seconds):
        self.feed.silent_until_s = self.clock.monotonic_s() + seconds

    @rule(name=names, is_turned_away=st.booleans())
    def turn_away(self, name, is_turned_away):
        self.nodes[name].store.is_refusing = is_turned_away

    @rule(source=names, receiver=names)
    def cut_one_way(self, source, receiver):
        self.network.blocked_links.add((source, receiver))

    @rule()
    def heal_network(self):
        self.network.heal()

    @rule(name=names)
    def restart(self, name):
        self.nodes[name].stop()
        self.run(self.start_nodes(name))

    @rule()
    def join(self):
        """Let the restarted nodes know their peers."""
        self.run(self.join_all())

    def check_versions(self):
        for name, node in self.nodes.items():
            for key, row in node.follower.rows.items():
                earlier = self.seen[name].get(key, 0)
                assert row.version >= earlier, (
                    f"{name} reverted {key} to an older version"
                )
                self.seen[name][key] = row.version
            failed = [t.exception() for t in node.tasks if t.done()]
            assert not failed, f"background task of {name} ended: {failed}"

    def teardown(self):
        if not hasattr(self, "nodes"):
            return
        self.network.heal()
        self.run(self.join_all())
        self.feed.down_until_s = self.feed.silent_until_s = 0.0
        for node in self.nodes.values():
            node.store.is_refusing = False
        try:
            self.wait(RECOVERY_BOUND_S)
            expected = {key: row.value for key, row in self.feed.rows.items()}
            for name, node in self.nodes.items():
                assert node.values() == expected, (
                    f"{name} does not have the rows of the store"
                )
        finally:
            self.run(self.end_tasks())
            self.loop.close()

    async def end_tasks(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    fuzz_main(FeedMachine, examples=40, steps=20)
