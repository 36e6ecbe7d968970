import asyncio
import json

from behave import (
    given,
    then,
    when,
)

from egretshed.errors import PlanRefused
from egretshed.plans.tests.fakes import Cluster


@given("a cluster of nodes")
def make_cluster(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def make():
        return Cluster()

    context.cluster = context.runner.run(make())
    context.add_cleanup(context.cluster.stop)
    context.before = context.cluster.store.objects
    context.digest = None
    context.refused = None


def run(context, *calls):
    """Run the calls concurrently; return results and `PlanRefused` errors."""

    async def gather():
        tasks = [asyncio.ensure_future(call) for call in calls]
        await context.cluster.clock.advance(0.5)
        return await asyncio.gather(*tasks, return_exceptions=True)

    results = context.runner.run(gather())
    for result in results:
        if isinstance(result, Exception) and not isinstance(result, PlanRefused):
            raise result
    return results


def plans(context, node_id):
    return context.cluster.nodes[node_id].plans


def propose(context, intent, arguments, node_id):
    call = plans(context, node_id).propose(intent, json.loads(arguments), "ada")
    (plan,) = run(context, call)
    return plan


@given('a plan "{intent}" with {arguments} is proposed at {node_id}')
@when('a plan "{intent}" with {arguments} is proposed at {node_id}')
def proposed(context, intent, arguments, node_id):
    context.plan = propose(context, intent, arguments, node_id)
    context.before = context.cluster.store.objects


@given('a plan "{intent}" with {arguments} is active')
def active(context, intent, arguments):
    plan = propose(context, intent, arguments, "n1")
    call = plans(context, "n1").confirm(plan.plan_id, plan.digest, "ada", False)
    (confirmed,) = run(context, call)
    assert confirmed.state == "confirmed", confirmed
    context.first = plan
    if not hasattr(context, "plan"):
        context.plan = plan


@given("a wrong digest is given")
def wrong_digest(context):
    context.digest = "0" * 32


@given('someone changes "{object_id}" to {body} in {seconds:g} s')
def change_later(context, object_id, body, seconds):
    context.runner.run(context.cluster.clock.advance(seconds))
    change(context, object_id, body)


@given('someone changes "{object_id}" to {body}')
def change(context, object_id, body):
    store = context.cluster.store
    store.versions.append({**store.objects, object_id: json.loads(body)})
    context.before = store.objects


@given("the servers run {calls:d} calls each")
@when("the servers run {calls:d} calls each")
def set_load(context, calls):
    for server in context.cluster.servers.values():
        server.in_flight = calls


@given('servers "{one}" and "{two}" run {calls:d} calls each')
def set_loads(context, one, two, calls):
    for name in (one, two):
        context.cluster.servers[name].in_flight = calls


@given('server "{name}" is unreachable')
def unreachable(context, name):
    context.cluster.servers[name].unreachable = True


@when("the plan is confirmed at {node_id}")
def confirm(context, node_id):
    plan = context.plan
    digest = context.digest or plan.digest
    call = plans(context, node_id).confirm(plan.plan_id, digest, "bob", False)
    (result,) = run(context, call)
    context.refused = result if isinstance(result, PlanRefused) else None


@when('plans that take out "{one}" and "{two}" are confirmed concurrently at two nodes')
def confirm_concurrently(context, one, two):
    proposed_plans = [
        propose(context, "domain_out", json.dumps({"failure_domain": name}), "n1")
        for name in (one, two)
    ]
    calls = [
        plans(context, node_id).confirm(plan.plan_id, plan.digest, node_id, True)
        for node_id, plan in zip(("n1", "n2"), proposed_plans)
    ]
    context.results = run(context, *calls)


@when("{seconds:d} s pass")
def time_passes(context, seconds):
    context.runner.run(context.cluster.clock.advance(seconds))


@when('the operator requests "{action}"')
def control(context, action):
    run(context, plans(context, "n3").control(context.plan.plan_id, action, "ada"))


def executor(context):
    nodes = context.cluster.nodes.values()
    (node,) = [node for node in nodes if node.plans.executor.lease.is_held]
    return node


@when("the executor's configuration is stale for {seconds:d} s")
def stale_configuration(context, seconds):
    configuration = executor(context).configuration
    configuration.lagging = True
    context.runner.run(context.cluster.clock.advance(seconds))
    configuration.lagging = False


@when("the executor {event}")
def executor_fails(context, event):
    node = executor(context)
    if event == "dies":
        node.kill()
    else:
        node.pause_after_calls = 3


@then("the configuration in force is unchanged")
def unchanged(context):
    assert context.cluster.store.objects == context.before


@then("the plan is {state}")
def plan_state(context, state):
    row = context.cluster.rows()[f"plans/{context.plan.plan_id}"]
    assert row["state"] == state, row
    context.row = row


@then('the reason of the plan contains "{text}"')
def reason(context, text):
    assert text in context.row["reason"], context.row["reason"]


@then('the confirmation is refused with reason "{reason}" and names "{named}"')
def refused(context, reason, named):
    assert context.refused is not None, "the confirmation was accepted"
    assert context.refused.reason == reason, context.refused
    assert named in str(context.refused), context.refused


@then("exactly one confirmation is refused and names the other plan")
def one_refused(context):
    (refused,) = [r for r in context.results if isinstance(r, PlanRefused)]
    (accepted,) = [r for r in context.results if not isinstance(r, PlanRefused)]
    assert refused.conflicting_plan == accepted.plan_id, refused


@then('failure domain "{name}" is out')
def domain_out(context, name):
    assert context.cluster.store.domains_out() == {name}


@then('all servers have model version "{version}"')
def models(context, version):
    for server in context.cluster.servers.values():
        assert server.models["m"] == version, server.models


@then("each server applied one order")
def one_order(context):
    for server in context.cluster.servers.values():
        assert len(server.applied) == 1, server.applied


@then('model "{name}" has adapter "{adapter}"')
def adapter(context, name, adapter):
    body = context.cluster.store.objects[f"models/{name}"]
    assert body["adapters"] == [adapter], body
    assert all(adapter in s.adapters for s in context.cluster.servers.values())


@then('"{replica_id}" is in pool "{pool}"')
def in_pool(context, replica_id, pool):
    objects = context.cluster.store.objects
    holders = [
        id_
        for id_, body in objects.items()
        for replica in body.get("replicas", ())
        if replica["replica_id"] == replica_id
    ]
    assert holders == [f"pools/{pool}"], holders


@then('"{replica_id}" is draining')
def draining(context, replica_id):
    replicas = context.cluster.store.objects["pools/main"]["replicas"]
    assert [r["replica_id"] for r in replicas if r.get("draining")] == [replica_id]


@then('node "{node_id}" has left')
def node_left(context, node_id):
    assert context.cluster.left_node_ids == {node_id}


@then('the declared version of "{name}" is "{version}"')
def declared(context, name, version):
    assert context.cluster.store.objects[f"models/{name}"]["version"] == version
