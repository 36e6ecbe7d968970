import asyncio
import json

from behave import (
    then,
    when,
)

from egretshed.plans.tests.executor_failures import (
    FailureCase,
    failure_cases,
    propose,
    run_case,
)
from egretshed.plans.tests.fakes import Cluster


def make_cluster(intent):
    """Return a cluster in a state in which `intent` has something to change."""
    cluster = Cluster()
    objects = cluster.store.versions[1]
    if intent == "domain_in":
        objects["failure_domains/b"]["out"] = True
    if intent == "undrain_replica":
        objects["pools/main"]["replicas"][1]["draining"] = True
    return cluster


def without_revision(order):
    return order._replace(expected_revision=None)


def without_effect(order):
    return order._replace(action="nothing")


# For each fault, the change to orders and whether servers check fencing numbers.
ORDER_FAULTS = {
    "none": (lambda order: order, True),
    "orders name no revision": (without_revision, True),
    "no fencing and no revision": (without_revision, False),
    "orders without effect": (without_effect, True),
}


async def proposed_steps(intent, arguments):
    cluster = make_cluster(intent)
    plan = await propose(cluster, intent, json.loads(arguments))
    cluster.stop()
    return plan.steps


async def run_cases(intent, arguments):
    results = []
    for case in failure_cases(await proposed_steps(intent, arguments)):
        cluster = make_cluster(intent)
        result = await run_case(cluster, intent, arguments, case)
        cluster.stop()
        summary = "; ".join(result.violations) or "as confirmed"
        print(f"{intent} | {' | '.join(case)} | {result.state} | {summary}")
        results.append(result)
    return results


@when('the executor fails at each failure point of "{intent}" with {arguments}')
def fail_at_each_point(context, intent, arguments):
    context.results = asyncio.run(run_cases(intent, arguments))


@then("each plan ends as confirmed and nothing changes afterwards")
def all_as_confirmed(context):
    assert context.results
    failed = [result for result in context.results if result.violations]
    assert not failed, "\n".join(f"{r.case}: {r.violations}" for r in failed)


@when('step {step_id} of a plan orders an adapter load with the fault "{fault}"')
def choose_fault(context, step_id, fault):
    context.step_id = step_id
    context.transform_order, context.servers_check_fencing = ORDER_FAULTS[fault]


@when("its executor pauses before the order until another node is done")
def run_with_order_fault(context):
    case = FailureCase(
        context.step_id,
        "order",
        "before the effect",
        "pauses until another node is done",
    )
    arguments = json.dumps({"adapter": "x", "pool": "main"})

    async def run():
        cluster = Cluster()
        cluster.transform_order = context.transform_order
        for server in cluster.servers.values():
            server.checks_fencing = (
                server.checks_fencing and context.servers_check_fencing
            )
        result = await run_case(cluster, "load_adapter", arguments, case)
        cluster.stop()
        return result

    context.result = asyncio.run(run())


@then('the check finds "{result}"')
def check_finds(context, result):
    violations = context.result.violations
    if result == "nothing":
        assert not violations, violations
    else:
        assert any(result in violation for violation in violations), violations
