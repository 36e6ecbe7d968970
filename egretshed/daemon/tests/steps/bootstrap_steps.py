import asyncio
import json

from behave import (
    given,
    then,
    when,
)

from egretshed.configuration.keys import digest_key
from standins.behave_loop import (
    run,
    start_system,
)


def call(context, method, path, key, body=None):
    content = None if body is None else json.dumps(body).encode()
    response = run(
        context, context.system.fetch(method, "/v1/operator" + path, content, key)
    )
    return response.code, json.loads(response.body)


def propose(context, key):
    objects = context.system.objects
    proposal = {"intent": "configuration", "arguments": {"changes": objects}}
    return call(context, "POST", "/plans", key, proposal)


@given('a node with an empty table and the bootstrap key "{key}"')
def start_empty_node(context, key):
    context.key = key
    digests = {"bootstrap_key_digests": [digest_key(key)]}
    start_system(context, nodes=1, configured=False, configuration=digests)


@when("the example configuration is proposed and confirmed with the bootstrap key")
def confirm_first_configuration(context):
    status, plan = propose(context, context.key)
    assert status == 201, plan
    path = f"/plans/{plan['plan_id']}/confirm"
    status, plan = call(context, "POST", path, context.key, {"digest": plan["digest"]})
    assert status == 200, plan

    async def until_active():
        while not context.system.nodes[0].configuration.current.version:
            await asyncio.sleep(0.05)

    run(context, until_active())


@when('the example configuration is proposed with the key "{key}"')
def propose_with_key(context, key):
    context.status, _ = propose(context, key)


@then("the proposal is rejected with status {status:d}")
def proposal_rejected(context, status):
    assert context.status == status


@then("the active configuration has version {version:d}")
def active_version(context, version):
    assert context.system.nodes[0].configuration.current.version == version


@then("the bootstrap key is rejected with status {status:d}")
def bootstrap_key_rejected(context, status):
    assert call(context, "GET", "/status", context.key)[0] == status


@then("the key of a configured operator is accepted")
def operator_key_accepted(context):
    key = next(iter(context.system.operator_keys.values()))
    assert call(context, "GET", "/status", key)[0] == 200


@then("a caller's request completes")
def request_completes(context):
    body = {"request_id": "first-1", "kind": "shift_assignment", "body": {}}
    key = next(iter(context.system.customer_keys.values()))

    async def submit():
        await context.system.wait_until_lendable()
        return await context.system.fetch(
            "POST", "/v1/requests", json.dumps(body).encode(), key
        )

    outcome = json.loads(run(context, submit()).body)
    assert outcome["outcome"] == "complete", outcome
