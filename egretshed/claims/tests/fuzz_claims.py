"""Fuzz test in which several nodes claim the same request ids amid failures.

Guards against a request id that runs twice, that runs although its outcome is
``not_run``, or whose stored outcome changes. Once all failures have ended, every
submission must have been answered, the outcomes of live nodes must be stored, and no
live node may keep a claim that it never used.
"""

import asyncio
import sys
from pathlib import Path

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

sys.path.insert(0, str(Path(__file__).parent))

from delayed_table import DelayedWriteTable  # noqa: E402

from egretshed.claims.service import ClaimService  # noqa: E402
from egretshed.errors import EgretshedError  # noqa: E402
from standins.clock import ManualClock  # noqa: E402
from standins.environments import make_environment  # noqa: E402
from standins.fuzz import fuzz_main  # noqa: E402
from standins.memory_platform import MemoryPlatform  # noqa: E402

NODES = ("n1", "n2", "n3")
EXAMPLES = 60
STEPS = 30
CUSTOMER = "c"

nodes = st.sampled_from(NODES)
ids = st.integers(0, 5)
write_counts = st.integers(0, 5)


class Node:
    """One process; `crash` cancels all of its tasks."""

    def __init__(self, world, node_id, incarnation):
        self.incarnation = incarnation
        env = make_environment(world.clock, node_id, incarnation)
        self.service = ClaimService(env, world.platform, world.is_alive)
        self.tasks = [world.loop.create_task(self.service.run())]
        world.issued += self.service.issue_ids(CUSTOMER, 1)

    def crash(self):
        for task in self.tasks:
            task.cancel()


class ClaimsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.memory = MemoryPlatform(self.clock)
        self.table = DelayedWriteTable(self.memory)
        self.platform = self.memory.platform._replace(table=self.table)
        self.suspected = set()
        self.issued = []
        self.runs = {}
        self.stored = {}
        self.granted = set()
        self.finished = []
        self.nodes = {name: Node(self, name, 1) for name in NODES}
        self.advance_clock(0)

    def is_alive(self, node_id, incarnation):
        current = self.nodes[node_id].incarnation
        return node_id not in self.suspected and current == incarnation

    def advance_clock(self, seconds):
        self.loop.run_until_complete(self.clock.advance(seconds))

    async def run_submission(self, node, request_id, pause_s):
        try:
            claim = await node.service.claim(CUSTOMER, request_id)
        except EgretshedError:
            return
        self.granted.add(claim.key)
        await self.clock.sleep(pause_s)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        await self.clock.sleep(pause_s / 2)
        await node.service.store_outcome(claim, {"by": claim.token})
        self.finished.append((node, claim.key))

    def submit_one(self, name, request_id, pause_s):
        node = self.nodes[name]
        work = self.run_submission(node, request_id, pause_s)
        node.tasks.append(self.loop.create_task(work))

    @rule(name=nodes, number=ids, pause_s=st.sampled_from([0, 0, 1, 20]))
    def submit(self, name, number, pause_s):
        self.submit_one(name, f"r{number}", pause_s)

    @rule(number=ids, pause_s=st.sampled_from([0, 1]))
    def submit_everywhere(self, number, pause_s):
        for name in NODES:
            self.submit_one(name, f"r{number}", pause_s)

    @rule(number=st.integers(0, 5), pause_s=st.sampled_from([0, 1]))
    def submit_issued(self, number, pause_s):
        for name in NODES:
            self.submit_one(name, self.issued[number % len(self.issued)], pause_s)

    @rule(name=nodes, number=ids)
    def caller_gives_up(self, name, number):
        tasks = self.nodes[name].tasks[1:]
        if tasks:
            tasks[number % len(tasks)].cancel()

    @rule(name=nodes)
    def restart(self, name):
        self.nodes[name].crash()
        self.advance_clock(0)
        self.nodes[name] = Node(self, name, self.nodes[name].incarnation + 1)

    @rule(name=nodes)
    def suspect(self, name):
        self.suspected ^= {name}

    @rule(down=st.booleans())
    def outage(self, down):
        self.memory.down = down

    @rule(
        lost=write_counts,
        dropped=write_counts,
        late=write_counts,
        late_s=st.sampled_from([0.01, 1, 15]),
    )
    def bad_writes(self, lost, dropped, late, late_s):
        self.memory.lose_next_replies = lost
        self.memory.drop_next_writes = dropped
        self.table.delayed_writes = late
        self.table.delay_s = late_s

    @rule()
    def outage_after_write(self):
        self.table.down_after_write = True

    @rule(slow_s=st.sampled_from([0, 0.01, 2]))
    def slow(self, slow_s):
        self.memory.slow_s = slow_s

    @rule(seconds=st.sampled_from([0.01, 0.03, 0.5, 3, 12]))
    def advance(self, seconds):
        self.advance_clock(seconds)

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def outcomes_are_final_and_match_runs(self):
        for key, row in self.memory.core.table.dump().items():
            if row["state"] != "done":
                continue
            assert self.stored.setdefault(key, row) == row, key
            request_id = key.removeprefix(f"claims/{CUSTOMER}/")
            expected = 0 if "error" in row["outcome"] else 1
            assert self.runs.get(request_id, 0) == expected, row

    def live_nodes_leave_no_open_claims(self):
        rows = self.memory.core.table.dump()
        for node, key in self.finished:
            if node in self.nodes.values():
                state = rows.get(key, {}).get("state")
                assert state == "done", f"{key}: the outcome was not stored"
        for key, row in rows.items():
            if row["state"] == "claimed" and key not in self.granted:
                current = self.nodes[row["node_id"]].incarnation
                assert row["incarnation"] != current, (
                    f"{key} is still claimed but was never run"
                )

    def teardown(self):
        self.memory.down = False
        self.memory.slow_s = 0.0
        self.memory.lose_next_replies = self.memory.drop_next_writes = 0
        self.table.delayed_writes = 0
        self.table.down_after_write = False
        self.advance_clock(120)
        self.runs_at_most_once()
        self.outcomes_are_final_and_match_runs()
        unanswered = [
            t for n in self.nodes.values() for t in n.tasks[1:] if not t.done()
        ]
        assert not unanswered, "a submission was not answered"
        self.live_nodes_leave_no_open_claims()
        tasks = [task for node in self.nodes.values() for task in node.tasks]
        failed = [t for t in tasks if t.done() and not t.cancelled() and t.exception()]
        assert not failed, failed[0].exception()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.advance_clock(0)
        self.loop.close()


if __name__ == "__main__":
    fuzz_main(ClaimsMachine, EXAMPLES, STEPS)
