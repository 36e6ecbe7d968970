import asyncio
import json

from behave import (
    then,
    when,
)

from egretshed.plans.tests.executor_failures import (
    FailureRow,
    propose,
    rows_of,
    run_row,
)
from egretshed.plans.tests.fakes import Cluster


def make_cluster(intent):
    """Return a cluster where intents that undo something have it to undo."""
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


# Fault by name: how orders are altered, and whether servers check fencing numbers.
ORDER_FAULTS = {
    "none": (lambda order: order, True),
    "orders name no revision": (without_revision, True),
    "no fencing and no revision": (without_revision, False),
    "orders without effect": (without_effect, True),
}


async def steps_of(intent, arguments):
    cluster = make_cluster(intent)
    plan = await propose(cluster, intent, json.loads(arguments))
    cluster.stop()
    return plan.steps


async def run_rows(intent, arguments):
    results = []
    for row in rows_of(await steps_of(intent, arguments)):
        cluster = make_cluster(intent)
        result = await run_row(cluster, intent, arguments, row)
        cluster.stop()
        verdict = "; ".join(result.faults) or "as confirmed"
        print(f"{intent} | {' | '.join(row)} | {result.state} | {verdict}")
        results.append(result)
    return results


@when('the executor fails at each step and moment of "{intent}" with {arguments}')
def fail_everywhere(context, intent, arguments):
    context.results = asyncio.run(run_rows(intent, arguments))


@then("each plan ended as confirmed and nothing changed after that")
def all_as_confirmed(context):
    assert context.results
    wrong = [result for result in context.results if result.faults]
    assert not wrong, "\n".join(f"{r.row}: {r.faults}" for r in wrong)


@when('step {step_id} of a plan loads an adapter with the fault "{fault}"')
def choose_fault(context, step_id, fault):
    context.step_id = step_id
    context.alter, context.fencing = ORDER_FAULTS[fault]


@when("its executor pauses before the order until another is done")
def run_faulty(context):
    row = FailureRow(
        context.step_id, "order", "before the effect", "pauses until another is done"
    )
    arguments = json.dumps({"adapter": "x", "pool": "main"})

    async def run():
        cluster = Cluster()
        cluster.alter_order = context.alter
        for server in cluster.servers.values():
            server.checks_fencing = server.checks_fencing and context.fencing
        result = await run_row(cluster, "load_adapter", arguments, row)
        cluster.stop()
        return result

    context.result = asyncio.run(run())


@then('the check finds "{result}"')
def check_finds(context, result):
    faults = context.result.faults
    if result == "nothing":
        assert not faults, faults
    else:
        assert any(result in fault for fault in faults), faults
