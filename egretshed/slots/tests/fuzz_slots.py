"""No server is overloaded while nodes, messages and the server fail (P2).

Guards against two owners that lend the same slots, slots of crashed, paused or
restarted borrowers that are lent again too early, effects of lost, late or duplicate
messages, and a lowered limit that is not enforced.
"""

import asyncio
import itertools

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from standins.clock import ManualClock
from standins.fake_backends import FakeServer
from standins.fake_membership import make_configuration
from standins.fuzz import fuzz_main
from standins.peers import InMemoryNetwork
from standins.slot_nodes import SlotNode

IDS = ["n0", "n1", "n2", "n3"]
COLD_SLOTS = 2
WARM_SLOTS = 6
WARM_UP_CALLS = 4
MAX_CALL_S = 8.0
# Take-over wait less the loan duration. Membership views follow the network within it.
DETECTION_S = 3.5
# Time until the cold limit holds: report lag, poll period and refresh period until all
# owners know, the loan duration until all borrowers do, and then again lag, poll and
# refresh until each owner sees the calls that the others lent.
COLD_KNOWN_S = 2 * (0.2 + 0.5 + 0.25) + 2.0 + 0.1
# After this time without a change an owner may lend its share in full.
CALM_S = MAX_CALL_S + DETECTION_S + 2.0 + 0.5
DURATIONS_S = (0.3, 2.0, MAX_CALL_S - 0.1)
nodes = st.sampled_from(IDS)


class CheckedServer(FakeServer):
    """Server that asserts its warm limit, and its cold limit once that must hold."""

    completed = 0

    def start(self, attempt_id):
        super().start(attempt_id)
        assert len(self.calls) <= WARM_SLOTS, f"{len(self.calls)} calls at once"
        cold_s = self.clock.monotonic_s() - self.cold_since_s
        if not self.warm and cold_s >= COLD_KNOWN_S:
            assert len(self.calls) <= COLD_SLOTS, f"{len(self.calls)} calls while cold"

    def end(self, attempt_id):
        super().end(attempt_id)
        self.completed += 1
        if not self.warm and self.completed >= WARM_UP_CALLS:
            self.set_warm(True)

    def turn_cold(self):
        self.completed = 0
        self.set_warm(False)


class SlotsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self.start())

    async def start(self):
        self.clock = ManualClock()
        self.network = InMemoryNetwork(self.clock)
        self.server = CheckedServer(self.clock)
        configuration = make_configuration(
            cold_slots=COLD_SLOTS,
            warm_slots=WARM_SLOTS,
            warm_up_calls=WARM_UP_CALLS,
            deadline_s=MAX_CALL_S,
        )
        servers = {"p-0": self.server}
        self.nodes = {
            name: SlotNode(name, IDS, self.network, configuration, servers)
            for name in IDS
        }
        self.busy = set(IDS)
        self.timers = []
        self.groups_settled_s = 0.0
        self.paused_nodes = set()
        self.calls = [
            self.loop.create_task(self.keep_running_calls(node, number))
            for node in self.nodes.values()
            for number in range(len(DURATIONS_S))
        ]
        await self.clock.advance(8)

    def run(self, seconds):
        self.loop.run_until_complete(self.clock.advance(seconds))
        for task in [*self.calls, *(node.task for node in self.nodes.values())]:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()
        for node in self.nodes.values():
            name = "egretshed_invariant_violations_total"
            families = node.env.metrics.registry.collect()
            samples = [s for family in families for s in family.samples]
            assert not any(s.name == name and s.value for s in samples), node.node_id

    def schedule(self, delay_s, action):
        async def wait():
            await self.clock.sleep(delay_s)
            action()

        self.timers.append(self.loop.create_task(wait()))

    def is_settled(self):
        return (
            self.clock.monotonic_s() >= self.groups_settled_s and not self.paused_nodes
        )

    def set_groups(self, groups, delays):
        """Update the view of each node to its group, after the node's delay."""
        self.groups_settled_s = self.clock.monotonic_s() + DETECTION_S + 0.01
        for index, (name, node) in enumerate(self.nodes.items()):
            reachable = next(group for group in groups if name in group)
            self.schedule(
                delays[index],
                lambda node=node, reachable=reachable: setattr(
                    node.membership, "reachable_ids", set(reachable)
                ),
            )

    delays = st.lists(st.floats(0, DETECTION_S), min_size=4, max_size=4)

    async def keep_running_calls(self, node, number):
        """Run calls while the node is busy, of a duration that differs by worker."""
        duration_s = DURATIONS_S[number]
        for count in itertools.count():
            attempt_id = f"{node.node_id}/{number}/{count}"
            if node.node_id in self.busy:
                await node.call(attempt_id, duration_s, 2.0, MAX_CALL_S)
            await self.clock.sleep(0.1)

    @rule(busy=st.sets(nodes, min_size=1))
    def demand_moves(self, busy):
        self.busy = busy
        self.run(0.5)

    @rule(seconds=st.floats(0.1, 8.0))
    def time_passes(self, seconds):
        self.run(seconds)

    @precondition(is_settled)
    @rule(left=st.sets(nodes, min_size=1, max_size=3), delays=delays)
    def network_splits(self, left, delays):
        right = set(IDS) - left
        self.network.heal()
        self.network.partition(left, right)
        self.set_groups([left, right], delays)
        self.run(DETECTION_S + 1)

    @precondition(is_settled)
    @rule(delays=delays)
    def network_heals(self, delays):
        self.network.heal()
        self.set_groups([set(IDS)], delays)
        self.run(DETECTION_S + 1)

    @precondition(is_settled)
    @rule(
        name=nodes,
        pause_s=st.floats(0.1, 12.0),
        delays=delays,
        noticed_s=st.floats(0, 0.1),
        settled_s=st.floats(0.2, DETECTION_S),
    )
    def node_pauses(self, name, pause_s, delays, noticed_s, settled_s):
        """The others remove the node if the pause is long; it detects that later."""
        node = self.nodes[name]
        if node.membership.reachable_ids != set(IDS):
            return
        self.paused_nodes.add(name)
        node.pause()
        if pause_s > DETECTION_S:
            self.set_groups([set(IDS) - {name}, set(IDS)], delays)
            node.membership.reachable_ids = set(IDS)
        self.schedule(pause_s, lambda: self.resume(node, delays, noticed_s, settled_s))
        self.run(pause_s + 1)

    def resume(self, node, delays, noticed_s, settled_s):
        def unsettle():
            node.membership.settled = False

        def settle():
            node.membership.settled = True

        node.resume()
        self.schedule(noticed_s, unsettle)
        self.schedule(settled_s, settle)
        self.set_groups([set(IDS)], delays)
        self.paused_nodes.discard(node.node_id)

    @precondition(is_settled)
    @rule(name=nodes, settled_s=st.floats(0.1, DETECTION_S))
    def node_restarts(self, name, settled_s):
        node = self.nodes[name]
        node.membership.settled = False
        self.loop.run_until_complete(self.restart(node))
        self.schedule(settled_s, lambda: setattr(node.membership, "settled", True))
        self.run(1.0)

    async def restart(self, node):
        node.restart()

    @precondition(is_settled)
    @rule(
        calm_s=st.sampled_from([0.0, CALM_S, CALM_S]),
        delays=delays,
        run_s=st.floats(0.3, DETECTION_S),
    )
    def owner_leaves(self, calm_s, delays, run_s):
        """The owner leaves: in its own view at once, in the others after a delay.

        Only an owner that could lend its share in full hands its ledger over, so most
        owners leave after a calm period.
        """
        self.run(calm_s)
        name = self.nodes["n0"].service.owner_of("p-0")
        self.set_departing(name, delays, leaving=True)
        self.run(run_s)

    @precondition(is_settled)
    @rule(delays=delays, settled_s=st.floats(0.1, DETECTION_S))
    def leaving_node_joins(self, delays, settled_s):
        """The node restarts and may be an owner again, first in its own view."""
        departing = sorted(
            set.union(*(n.membership.leaving_nodes for n in self.nodes.values()))
        )
        for name in departing:
            self.node_restarts(name, settled_s)
            self.set_departing(name, delays)
        self.run(1.0)

    def set_departing(self, name, delays, leaving=False):
        self.groups_settled_s = self.clock.monotonic_s() + DETECTION_S + 0.01
        for delay_s, node in zip(delays, self.nodes.values()):
            departing = node.membership.leaving_nodes
            action = departing.add if leaving else departing.discard
            is_own_view = node.node_id == name
            self.schedule(
                0.0 if is_own_view else delay_s, lambda action=action: action(name)
            )

    @rule(source=nodes, receiver=nodes, for_s=st.floats(0.1, 3.0))
    def messages_are_lost(self, source, receiver, for_s):
        pair = (source, receiver)
        if pair not in self.network.blocked_links:
            self.network.blocked_links.add(pair)
            self.schedule(for_s, lambda: self.network.blocked_links.discard(pair))

    @rule(source=nodes, receiver=nodes, delay_s=st.floats(0, 0.9))
    def messages_are_slow(self, source, receiver, delay_s):
        self.network.delay_s[source, receiver] = delay_s

    @rule(source=nodes, receiver=nodes)
    def messages_are_doubled(self, source, receiver):
        self.network.duplicate ^= {(source, receiver)}

    @precondition(lambda self: self.server.warm)
    @rule()
    def server_turns_cold(self):
        self.server.turn_cold()
        self.run(1.0)

    @rule(reachable=st.booleans())
    def server_load_is_readable(self, reachable):
        # Reports are the only cold signs here, so a cold server must stay reachable.
        self.server.reachable = reachable or not self.server.warm

    def teardown(self):
        tasks = [*self.calls, *self.timers, *(n.task for n in self.nodes.values())]
        for task in asyncio.all_tasks(self.loop) | set(tasks):
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        self.loop.run_until_complete(gathered)
        self.loop.close()


if __name__ == "__main__":
    fuzz_main(SlotsMachine, examples=14, steps=25)
