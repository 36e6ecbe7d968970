"""Plans under executor deaths, pauses, table outages, lost replies and races.

Oracle: a checking server applies rising fencing numbers only; at most one failure
domain is out; a plan that says done left what it names in force; nothing changes while
no plan is active, unless a plan said that a step may still take effect.
"""

import argparse
import asyncio
import sys
import time

from hypothesis import (
    seed,
    settings,
    strategies as st,
)
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from egretshed.errors import EgretshedError
from egretshed.plans.tests.fakes import (
    DOMAINS,
    Cluster,
)

EXAMPLES = 50
STEPS = 30
HEAL_S = 300.0
NODES = st.sampled_from(["n1", "n2", "n3"])
SERVERS = st.sampled_from([f"m-{name}" for name in DOMAINS])
INTENTS = st.one_of(
    st.tuples(
        st.sampled_from(["domain_out", "domain_in"]),
        st.sampled_from(DOMAINS).map(lambda name: {"failure_domain": name}),
    ),
    st.tuples(
        st.just("load_model"),
        st.sampled_from("123").map(
            lambda version: {"model": "m", "version": version, "pool": "main"}
        ),
    ),
    st.tuples(
        st.sampled_from(["drain_replica", "undrain_replica"]),
        SERVERS.map(lambda name: {"replica_id": name}),
    ),
)


class Plans(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.cluster = self.runner.run(self.make_cluster())
        self.proposed = []
        self.seen_done = set()
        self.quiet_state = None

    async def make_cluster(self):
        return Cluster()

    def teardown(self):
        try:
            self.runner.run(self.heal())
            self.check()
            rows = self.cluster.rows()
            active = rows.get("plans/active", {"plans": {}})["plans"]
            stuck = [id_ for id_ in active if rows[f"plans/{id_}"]["state"] != "paused"]
            assert not stuck, f"plans do not end: {[rows[f'plans/{s}'] for s in stuck]}"
        finally:
            self.cluster.stop()
            self.runner.close()

    async def heal(self):
        self.cluster.memory.down = False
        for server in self.cluster.servers.values():
            server.unreachable, server.delay_s, server.in_flight = False, 0.0, 0
        for node in self.cluster.nodes.values():
            node.resume()
            node.configuration.lagging = False
            if node.task.cancelled() or node.task.done():
                node.start()
        await self.cluster.clock.advance(HEAL_S)

    @rule(proposals=st.lists(st.tuples(NODES, INTENTS), min_size=1, max_size=2))
    def plan(self, proposals):
        """Propose, then confirm all at the same moment at the nodes drawn."""
        self.proposed = []
        for node, intent in proposals:
            plan = self.call(self.cluster.nodes[node].plans.propose(*intent, "ada"))
            self.proposed += [(node, plan)] if plan else []
        self.confirm()

    @rule()
    def confirm(self):
        self.quiet_state = None
        nodes = self.cluster.nodes
        self.call(
            *(
                nodes[node].plans.confirm(plan.plan_id, plan.digest, node, True)
                for node, plan in self.proposed
            )
        )

    @rule(node=NODES, action=st.sampled_from(["pause", "resume", "abort"]))
    def control(self, node, action):
        for _, plan in self.proposed:
            plans = self.cluster.nodes[node].plans
            self.call(plans.control(plan.plan_id, action, node))

    @rule(seconds=st.sampled_from([1.0, 3.0, 9.0, 30.0]))
    def time_passes(self, seconds):
        self.runner.run(self.cluster.clock.advance(seconds))

    @rule(node=NODES, calls=st.integers(1, 12))
    def pause_node(self, node, calls):
        self.cluster.nodes[node].pause_after_calls = calls

    @rule(node=NODES, restart=st.booleans(), lagging=st.booleans())
    def recover_node(self, node, restart, lagging):
        if restart:
            self.cluster.nodes[node].kill()
            self.call(self.start(node))
        self.cluster.nodes[node].resume()
        self.cluster.nodes[node].configuration.lagging = lagging

    async def start(self, node):
        self.cluster.nodes[node].start()

    @rule(lost=st.integers(0, 2), dropped=st.integers(0, 2))
    def replies_are_lost(self, lost, dropped):
        memory = self.cluster.memory
        memory.lose_next_replies, memory.drop_next_writes = lost, dropped
        self.cluster.store.lose_next_replies = lost

    @rule(seconds=st.sampled_from([1.0, 20.0]))
    def table_is_down(self, seconds):
        self.cluster.memory.down = True
        self.runner.run(self.cluster.clock.advance(seconds))
        self.cluster.memory.down = False

    @rule(
        name=SERVERS,
        unreachable=st.sampled_from([False, False, True]),
        lost=st.integers(0, 2),
        delay_s=st.sampled_from([0.0, 0.0, 1.0, 12.0]),
        calls=st.sampled_from([0, 0, 3]),
    )
    def server_fails(self, name, unreachable, lost, delay_s, calls):
        server = self.cluster.servers[name]
        server.unreachable, server.lose_next_replies = unreachable, lost
        server.delay_s, server.in_flight = delay_s, calls

    def call(self, *calls):
        """Return the first result; refused and failed calls give None."""

        async def run():
            tasks = [asyncio.ensure_future(call) for call in calls]
            await self.cluster.clock.advance(5.0)
            for task in tasks:
                task.cancel()
            return await asyncio.gather(*tasks, return_exceptions=True)

        results = self.runner.run(run())
        for result in results:
            failure = isinstance(result, Exception)
            if failure and not isinstance(result, EgretshedError):
                raise result
        is_plan = results and not isinstance(results[0], BaseException)
        return results[0] if is_plan else None

    @invariant()
    def check(self):
        cluster = self.cluster
        assert len(cluster.store.domains_out()) <= 1, "two failure domains are out"
        for name, server in cluster.servers.items():
            numbers = [number for number, _ in server.applied]
            if server.checks_fencing:
                assert numbers == sorted(numbers), f"{name} applied {server.applied}"
        rows = cluster.rows()
        plans = [row for key, row in rows.items() if key.startswith("plans/")]
        plans = [row for row in plans if "plan_id" in row]
        for plan in plans:
            if plan["state"] == "done" and plan["plan_id"] not in self.seen_done:
                self.seen_done.add(plan["plan_id"])
                self.check_done(plan)
        self.check_quiet(rows, plans)

    def check_done(self, plan):
        objects, arguments = self.cluster.store.objects, plan["arguments"]
        if plan["intent"].startswith("domain_"):
            body = objects[f"failure_domains/{arguments['failure_domain']}"]
            assert body.get("out", False) == (plan["intent"] == "domain_out"), plan
        if plan["intent"] == "load_model":
            assert objects["models/m"]["version"] == arguments["version"]
            for server in self.cluster.servers.values():
                assert server.models["m"] == arguments["version"], plan
        if plan["intent"].endswith("drain_replica"):
            replicas = objects["pools/main"]["replicas"]
            (found,) = [
                r for r in replicas if r["replica_id"] == arguments["replica_id"]
            ]
            assert found["draining"] == (plan["intent"] == "drain_replica"), plan

    def check_quiet(self, rows, plans):
        active = rows.get("plans/active", {"plans": {}})["plans"]
        if active or any("may have taken effect" in plan["reason"] for plan in plans):
            self.quiet_state = None
            return
        servers = {name: s.revision for name, s in self.cluster.servers.items()}
        state = (self.cluster.store.objects, servers)
        assert self.quiet_state in (None, state), "changed while no plan was active"
        self.quiet_state = state


def run(number=None, examples=EXAMPLES):
    options = settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=number is None,
        database=None,
        deadline=None,
    )
    machine = Plans if number is None else seed(number)(Plans)
    run_state_machine_as_test(machine, settings=options)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.seconds is None:
        run()
        return
    end_s, number = time.monotonic() + options.seconds, options.seed
    while time.monotonic() < end_s:
        print(f"seed {number}", flush=True)
        run(number)
        number += 1


if __name__ == "__main__":
    sys.exit(main())
