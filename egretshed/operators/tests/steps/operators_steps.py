import asyncio
import json

from behave import (
    given,
    then,
    when,
)
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from egretshed.configuration.keys import digest_key
from egretshed.operators.tests.app import OperatorApp


@given("a server with the operator API")
def make_app(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def make():
        return OperatorApp()

    context.app = context.runner.run(make())
    context.add_cleanup(context.app.stop)


@given("the platform is down")
def platform_down(context):
    context.app.cluster.memory.down = True


@when('"{key}" sends {method} "{path}" with {body}')
def send(context, key, method, path, body):
    async def fetch():
        client = SimpleAsyncHTTPClient(force_instance=True)
        return await client.fetch(
            f"{context.app.url}/v1/operator/{path}",
            method=method,
            body=None if body == "none" else body,
            headers={"Authorization": f"Bearer {key}"},
            raise_error=False,
        )

    context.response = context.runner.run(fetch())


@when('the key of "{name}" is replaced by "{key}"')
def replace_key(context, name, key):
    store = context.app.cluster.store
    object_id = f"operators/{name}"
    body = {**store.objects[object_id], "key_digests": [digest_key(key)]}
    store.versions.append({**store.objects, object_id: body})


@then('the status is {status:d} and the body contains "{text}"')
def answered(context, status, text):
    response = context.response
    assert response.code == status, (response.code, response.body)
    json.loads(response.body)
    assert text in response.body.decode(), response.body


@then("the log contains no key")
def no_key_logged(context):
    lines = context.app.log()
    assert lines, "nothing was logged"
    assert "secret-new" not in json.dumps(lines)
