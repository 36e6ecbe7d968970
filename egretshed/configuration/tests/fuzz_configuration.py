"""Concurrent changes under outages, lost replies, restarts, partitions and slow links.

Oracle: the active version of a process only increases. `RECOVERY_LIMIT_S` after all
faults have ended, each node has the newest version, the history has every accepted
value exactly once, and it has no refused value.
"""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from egretshed.configuration.tests.fleet import ConfigurationFleet
from egretshed.configuration.validation import build_configuration
from egretshed.errors import TableOutcomeUnknown
from standins.fuzz import fuzz_main

NODES = [f"entry-{number}" for number in range(1, 6)]
RECOVERY_LIMIT_S = 12.0
node_ids = st.sampled_from(NODES)


class ConfigurationMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 99))
    def start(self, seed):
        self.loop = asyncio.new_event_loop()
        self.fleet = ConfigurationFleet(["r1:a", "r1:b", "r1:c", "r2:d", "r2:e"], seed)
        self.changes = []  # (value, task)
        self.run(self.fleet.start_all())
        self.run(self.fleet.clock.advance(3))

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(operators=st.lists(node_ids, min_size=1, max_size=3))
    def change(self, operators):
        """Start concurrent changes, each of which sets one model to a unique value."""
        for node_id in operators:
            service = self.fleet.services.get(node_id)
            if service is not None:
                value = f"value-{len(self.changes)}"
                changes = {"models/m": {"version": value}}
                coroutine = service.change(
                    service.current.version, changes, node_id, value
                )
                self.changes.append((value, self.loop.create_task(coroutine)))
        self.run(self.fleet.clock.run_ready_tasks())

    @rule(seconds=st.sampled_from([0.05, 0.4, 1.5, 4.0]))
    def wait(self, seconds):
        self.run(self.fleet.clock.advance(seconds))

    @rule(node_id=node_ids)
    def crash(self, node_id):
        if node_id in self.fleet.nodes:
            self.run(self.fleet.crash(node_id))

    @rule(node_id=node_ids)
    def restart(self, node_id):
        self.crash(node_id)
        self.run(self.fleet.start_node(node_id))

    @rule(down=st.booleans(), slow_s=st.sampled_from([0.0, 0.1, 0.6]))
    def table(self, down, slow_s):
        self.fleet.memory.down = down
        self.fleet.memory.slow_s = slow_s

    @rule(lost=st.integers(0, 2), dropped=st.integers(0, 2))
    def lose_replies(self, lost, dropped):
        self.fleet.memory.lose_next_replies = lost
        self.fleet.memory.drop_next_writes = dropped

    @rule(size=st.integers(1, 4))
    def partition(self, size):
        self.fleet.network.partition(set(NODES[:size]), set(NODES[size:]))

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @rule(source=node_ids, receiver=node_ids, delay_s=st.sampled_from([0.1, 0.7, 3.0]))
    def slow_link(self, source, receiver, delay_s):
        self.fleet.network.delay_s[(source, receiver)] = delay_s
        self.fleet.network.duplicate.add((source, receiver))

    @rule()
    def check_after_heal(self):
        network, memory = self.fleet.network, self.fleet.memory
        network.heal()
        network.delay_s.clear()
        network.duplicate.clear()
        memory.down = False
        memory.slow_s = memory.lose_next_replies = memory.drop_next_writes = 0
        self.run(self.fleet.clock.advance(RECOVERY_LIMIT_S))
        stored = memory.core.table.dump()
        versions = sorted(k for k in stored if k.startswith("configuration/versions/"))
        stored_values = [
            stored[key]["changes"]["models/m"]["version"] for key in versions
        ]
        self.check_outcomes(stored_values)
        for node_id, service in self.fleet.services.items():
            assert service.is_ready and service.is_fresh(), node_id
            assert service.current.version == len(stored_values), node_id
            value = {n: m.version for n, m in service.current.models.items()}
            assert value == ({"m": stored_values[-1]} if stored_values else {}), node_id
            full_build = build_configuration(len(stored_values), service.objects())
            assert service.current == full_build.ok, node_id
        for process, seen in self.fleet.versions_seen.items():
            assert seen == sorted(set(seen)), (process, seen)

    def check_outcomes(self, stored_values):
        for value, task in self.changes:
            assert task.done(), f"change {value} has no outcome"
            error = task.exception()
            if error is None:
                assert stored_values.count(value) == 1, f"accepted {value} is lost"
                assert stored_values[task.result() - 1] == value
            elif not isinstance(error, TableOutcomeUnknown):
                assert value not in stored_values, (
                    f"refused {value} took effect: {error!r}"
                )

    def teardown(self):
        if hasattr(self, "fleet"):
            self.check_after_heal()
            self.run(self.fleet.stop())
            self.loop.close()


if __name__ == "__main__":
    fuzz_main(ConfigurationMachine, examples=25, steps=15)
