"""Plans under executor deaths, pauses, table outages, lost replies and races.

Oracle: a checking server applies rising fencing numbers only; at most one node has
time left on its lease, and none repeats another's fencing number; at most one failure
domain is out; a confirmed plan is listed as
active until it ends; a plan that says done left the bodies and versions that it names
in force; nothing changes while no plan is active, unless a plan said that a step may
still take effect.
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
    DOMAINS,
    Cluster,
)
from standins.fuzz import fuzz_main

EXAMPLES = 120
STEPS = 30
WAIT_LIMIT_S = 20.0
HEAL_ROUNDS = 15
HEAL_ROUND_S = 20.0
REFUSALS = {
    InvalidRequest,
    NotFound,
    PlanRefused,
    TableOutcomeUnknown,
    TableUnavailable,
}
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


def out(name):
    return "domain_out", {"failure_domain": name}


class Plans(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.cluster = self.runner.run(self.make_cluster())
        self.proposed = []
        self.seen_done = set()
        self.holders = {}
        self.quiet_state = None

    async def make_cluster(self):
        return Cluster(wait_limit_s=WAIT_LIMIT_S)

    def teardown(self):
        try:
            self.runner.run(self.heal())
            self.check()
            rows = self.cluster.rows()
            active = rows.get("plans/active", {"plans": {}})["plans"]
            stuck = [id_ for id_ in active if rows[f"plans/{id_}"]["state"] != "paused"]
            assert not stuck, f"plans do not end: {stuck}"
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
        for _ in range(HEAL_ROUNDS):
            if not self.cluster.rows().get("plans/active", {}).get("plans"):
                break
            await self.cluster.clock.advance(HEAL_ROUND_S)

    @rule(
        proposals=st.one_of(
            st.lists(st.tuples(NODES, INTENTS), min_size=1, max_size=2),
            st.just([("n1", out("a")), ("n2", out("b"))]),
        )
    )
    def plan(self, proposals):
        """Propose, then confirm all at the same moment at the nodes drawn."""
        self.proposed = []
        for node, intent in proposals:
            plan = self.call(self.cluster.nodes[node].plans.propose(*intent, "ada"))
            self.proposed += [(node, plan)] if plan else []
        self.confirm()

    @rule()
    def confirm(self):
        # Plans that are done are checked before another one changes the same objects.
        self.check()
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
            if failure and type(result) not in REFUSALS:
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
        leases = [node.plans.executor.lease for node in cluster.nodes.values()]
        assert sum(lease.remaining_s() > 0 for lease in leases) <= 1, (
            "two lease holders"
        )
        rows = cluster.rows()
        lease = rows.get("leases/executor", {"fencing_number": 0, "node_id": ""})
        holder = self.holders.setdefault(lease["fencing_number"], lease["node_id"])
        assert holder == lease["node_id"], "two holders of one fencing number"
        plans = [row for key, row in rows.items() if key.startswith("plans/")]
        plans = [row for row in plans if "plan_id" in row]
        active = rows.get("plans/active", {"plans": {}})["plans"]
        live = {
            p["plan_id"] for p in plans if p["state"] not in (*FINAL_STATES, "proposed")
        }
        assert live == set(active), "active plans are not those confirmed"
        for plan in plans:
            if plan["state"] == "done" and plan["plan_id"] not in self.seen_done:
                self.seen_done.add(plan["plan_id"])
                self.check_done(plan)
        self.check_quiet(active, plans)

    def check_done(self, plan):
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

    def check_quiet(self, active, plans):
        if active or any("may have taken effect" in plan["reason"] for plan in plans):
            self.quiet_state = None
            return
        servers = {name: s.revision for name, s in self.cluster.servers.items()}
        state = (self.cluster.store.objects, servers)
        assert self.quiet_state in (None, state), "changed while no plan was active"
        self.quiet_state = state


if __name__ == "__main__":
    fuzz_main(Plans, EXAMPLES, STEPS)
