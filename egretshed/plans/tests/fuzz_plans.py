"""Fuzzes plans with executor crashes, pauses, table outages, lost replies and races.

The checked guarantees are:

- A server that checks fencing numbers applies orders by rising number only.
- At most one node has an unexpired lease, and no two nodes use one fencing number.
- At most one failure domain is out.
- A confirmed plan is listed as active until it ends.
- When a plan is done, the object bodies and model versions that it names are in force.
- Nothing changes while no plan is active, unless the reason of a plan says that a step
  may have taken effect.
"""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from egretshed.errors import (
    InvalidRequest,
    NotFound,
    PlanRefused,
    TableOutcomeUnknown,
    TableUnavailable,
)
from egretshed.plans.model import FINAL_STATES
from egretshed.plans.tests.fakes import (
    FAILURE_DOMAINS,
    Cluster,
)
from standins.fuzz import fuzz_main

EXAMPLES = 120
STEPS = 30
WAIT_LIMIT_S = 20.0
RECOVERY_ROUNDS = 15
RECOVERY_ROUND_S = 20.0
EXPECTED_ERRORS = {
    InvalidRequest,
    NotFound,
    PlanRefused,
    TableOutcomeUnknown,
    TableUnavailable,
}
NODES = st.sampled_from(["n1", "n2", "n3"])
SERVERS = st.sampled_from([f"m-{name}" for name in FAILURE_DOMAINS])
INTENTS = st.one_of(
    st.tuples(
        st.sampled_from(["domain_out", "domain_in"]),
        st.sampled_from(FAILURE_DOMAINS).map(lambda name: {"failure_domain": name}),
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


def domain_out_intent(name):
    return "domain_out", {"failure_domain": name}


class Plans(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.cluster = self.runner.run(self.make_cluster())
        self.proposed = []
        self.checked_plan_ids = set()
        self.holder_by_fencing_number = {}
        self.idle_state = None

    async def make_cluster(self):
        return Cluster(wait_limit_s=WAIT_LIMIT_S)

    def teardown(self):
        try:
            self.runner.run(self.recover())
            self.check_guarantees()
            rows = self.cluster.rows()
            active = rows.get("plans/active", {"plans": {}})["plans"]
            stuck = [id_ for id_ in active if rows[f"plans/{id_}"]["state"] != "paused"]
            assert not stuck, f"plans that have not ended: {stuck}"
        finally:
            self.cluster.stop()
            self.runner.close()

    async def recover(self):
        self.cluster.memory.down = False
        for server in self.cluster.servers.values():
            server.unreachable, server.delay_s, server.in_flight = False, 0.0, 0
        for node in self.cluster.nodes.values():
            node.resume()
            node.configuration.lagging = False
            if node.task.cancelled() or node.task.done():
                node.start()
        for _ in range(RECOVERY_ROUNDS):
            if not self.cluster.rows().get("plans/active", {}).get("plans"):
                break
            await self.cluster.clock.advance(RECOVERY_ROUND_S)

    @rule(
        proposals=st.one_of(
            st.lists(st.tuples(NODES, INTENTS), min_size=1, max_size=2),
            st.just([("n1", domain_out_intent("a")), ("n2", domain_out_intent("b"))]),
        )
    )
    def plan(self, proposals):
        """Propose plans at the drawn nodes, then confirm all of them concurrently."""
        self.proposed = []
        for node, intent in proposals:
            plan = self.run_calls(
                self.cluster.nodes[node].plans.propose(*intent, "ada")
            )
            self.proposed += [(node, plan)] if plan else []
        self.confirm()

    @rule()
    def confirm(self):
        # Checks the plans that are done before another one changes the same objects.
        self.check_guarantees()
        self.idle_state = None
        nodes = self.cluster.nodes
        self.run_calls(
            *(
                nodes[node].plans.confirm(plan.plan_id, plan.digest, node, True)
                for node, plan in self.proposed
            )
        )

    @rule(node=NODES, action=st.sampled_from(["pause", "resume", "abort"]))
    def control(self, node, action):
        for _, plan in self.proposed:
            plans = self.cluster.nodes[node].plans
            self.run_calls(plans.control(plan.plan_id, action, node))

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
            self.run_calls(self.start(node))
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

    def run_calls(self, *calls):
        """Run calls concurrently; return the first result, or None if that call failed.

        Raises an error that is not among the expected ones.
        """

        async def run():
            tasks = [asyncio.ensure_future(call) for call in calls]
            await self.cluster.clock.advance(5.0)
            for task in tasks:
                task.cancel()
            return await asyncio.gather(*tasks, return_exceptions=True)

        results = self.runner.run(run())
        for result in results:
            is_error = isinstance(result, Exception)
            if is_error and type(result) not in EXPECTED_ERRORS:
                raise result
        has_result = results and not isinstance(results[0], BaseException)
        return results[0] if has_result else None

    @invariant()
    def check_guarantees(self):
        cluster = self.cluster
        assert len(cluster.store.domains_out()) <= 1, "two failure domains are out"
        for name, server in cluster.servers.items():
            numbers = [number for number, _ in server.applied]
            if server.checks_fencing:
                assert numbers == sorted(numbers), f"{name} applied {server.applied}"
        leases = [node.plans.executor.lease for node in cluster.nodes.values()]
        assert sum(lease.remaining_s() > 0 for lease in leases) <= 1, (
            "two nodes hold the lease"
        )
        rows = cluster.rows()
        lease = rows.get("leases/executor", {"fencing_number": 0, "node_id": ""})
        holder = self.holder_by_fencing_number.setdefault(
            lease["fencing_number"], lease["node_id"]
        )
        assert holder == lease["node_id"], "two nodes used the same fencing number"
        plans = [row for key, row in rows.items() if key.startswith("plans/")]
        plans = [row for row in plans if "plan_id" in row]
        active = rows.get("plans/active", {"plans": {}})["plans"]
        confirmed = {
            p["plan_id"] for p in plans if p["state"] not in (*FINAL_STATES, "proposed")
        }
        assert confirmed == set(active), (
            "the active plans differ from the confirmed ones"
        )
        for plan in plans:
            if plan["state"] == "done" and plan["plan_id"] not in self.checked_plan_ids:
                self.checked_plan_ids.add(plan["plan_id"])
                self.check_done_plan(plan)
        self.check_idle(active, plans)

    def check_done_plan(self, plan):
        expected = {}
        for step in plan["steps"]:
            expected |= step["arguments"].get("changes", {})
        objects = self.cluster.store.objects
        assert all(objects.get(id_) == expected[id_] for id_ in expected), plan[
            "plan_id"
        ]
        if plan["intent"] == "load_model":
            for server in self.cluster.servers.values():
                assert server.models["m"] == plan["arguments"]["version"]

    def check_idle(self, active, plans):
        if active or any("may have taken effect" in plan["reason"] for plan in plans):
            self.idle_state = None
            return
        servers = {name: s.revision for name, s in self.cluster.servers.items()}
        state = (self.cluster.store.objects, servers)
        assert self.idle_state in (None, state), (
            "state changed while no plan was active"
        )
        self.idle_state = state


if __name__ == "__main__":
    fuzz_main(Plans, EXAMPLES, STEPS)
