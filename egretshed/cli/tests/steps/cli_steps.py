import asyncio
import json
import tempfile
from pathlib import Path

from behave import (
    given,
    then,
    when,
)
from tornado.web import RequestHandler

from egretshed.cli.tests.tool import (
    plan_names,
    run_tool,
)
from egretshed.operators.tests.app import OperatorApp
from egretshed.plans.tests.fakes import declared_objects

TOKENS = ("tokens", {"tokens": ["one", " two"]})
REFUSAL = {"error": "invalid_request", "message": "unknown kind"}


class SubmitHandler(RequestHandler):
    """Answers by kind; a broken stream is finished when it is taken up."""

    async def post(self):
        body = json.loads(self.request.body)
        kind = body["kind"]
        if kind == "refused":
            self.set_status(400)
            await self.finish(REFUSAL)
            return
        self.set_header("X-Stream-Id", "s1")
        taken_up = body.get("resume") == {"stream_id": "s1", "after_sequence": 1}
        events = [] if taken_up else [TOKENS]
        if kind == "reset":
            events += [("reset", {}), TOKENS]
        for number, (event, data) in enumerate(events, 1):
            self.write(f"id: {number}\nevent: {event}\ndata: {json.dumps(data)}\n\n")
        if kind == "broken" and not taken_up:
            await self.flush()
            # Lets the client read the events before it sees the closed connection.
            await asyncio.sleep(0.1)
            self.request.connection.stream.close()
            return
        named = kind in ("not_run", "failed", "unknown")
        final = {"outcome": kind if named else "complete", "retry_after_s": 1.0}
        self.write(f"id: 9\nevent: final\ndata: {json.dumps(final)}\n\n")


@given("a node and declaration files")
def make_node(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def make():
        return OperatorApp([("/v1/requests", SubmitHandler)])

    context.app = context.runner.run(make())
    context.add_cleanup(context.app.stop)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.names = write_files(Path(folder.name))
    context.names["URL"] = context.app.url


def write_files(folder):
    objects = declared_objects()
    changed = {**objects, "models/m": {"version": "2"}}
    for name, declared in (("FOLDER", changed), ("SAME", objects)):
        for object_id, body in declared.items():
            kind, _, key = object_id.partition("/")
            file = folder / name / f"{kind}.json"
            file.parent.mkdir(exist_ok=True)
            bodies = json.loads(file.read_text()) if file.exists() else {}
            file.write_text(json.dumps({**bodies, key: body}))
    texts = {
        "BAD": json.dumps({"models/m": {"version": 2}}),
        "CHANGES": json.dumps({"models/m": {"version": "2"}}),
        "NOT_JSON": "{",
        "WRONG_KEY": "wrong",
    }
    for name, text in texts.items():
        (folder / name).write_text(text)
    return {name: str(folder / name) for name in (*texts, "FOLDER", "SAME", "MISSING")}


@when('"egretshed {command}" is run')
def run_command(context, command):
    argv = [context.names.get(word, word) for word in command.split()]
    variables = {"EGRETSHED_NODES": context.app.url, "EGRETSHED_KEY": "boss"}

    now = context.app.cluster.clock.monotonic_s
    context.result = context.runner.run(run_tool(argv, variables, now))
    context.names |= plan_names(context.result)


@when("{seconds:d} s pass")
def time_passes(context, seconds):
    context.runner.run(context.app.cluster.clock.advance(seconds))


@then('it exits with {status:d} and prints "{text}" on {stream}')
def exits(context, status, text, stream):
    assert context.result.status == status, context.result
    assert text in getattr(context.result, stream), context.result
