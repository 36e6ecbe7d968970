import asyncio
import json

from behave import (
    given,
    then,
    when,
)

from egretshed.backends.adapters import connect_backend
from egretshed.backends.interface import BackendCall
from egretshed.clock import SystemClock
from egretshed.configuration.schema import (
    Pool,
    Replica,
)
from egretshed.errors import EgretshedError
from standins.backend_spec import (
    BackendSpec,
    CallRecord,
    Timing,
)
from standins.backends import BackendServer
from standins.environments import make_environment

ADAPTERS = {"engine": "openai_completions", "service": "plain_json"}
PROGRESS_LIMIT_S = 0.3


def start_server(context, role, slots, overload_fails):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    run = context.run_async = context.runner.run
    timing = Timing(overload_fails=overload_fails)
    spec = BackendSpec("b-1", role, 1, slots, warm_up_calls=2, timing=timing)
    context.server = BackendServer(spec)
    run(context.server.start())
    context.add_cleanup(lambda: run(context.server.stop()))
    context.backend = run(connect(role, context.server.url))
    context.calls = 0


async def connect(role, url):
    replica = Replica("b-1", url, "a")
    pool = Pool(role, (replica,), 1, 4, adapter=ADAPTERS[role])
    return connect_backend(make_environment(SystemClock()), pool, replica)


@given('a backend server of role "{role}"')
def backend_server(context, role):
    start_server(context, role, slots=4, overload_fails=False)


@given(
    'a backend server of role "{role}" that rejects calls above a limit of {slots:d}'
)
def rejecting_server(context, role, slots):
    start_server(context, role, slots, overload_fails=True)


@when("the server has the fault {fault}")
def server_has_fault(context, fault):
    context.server.state.set_fault(json.loads(fault))


@when("the server is called")
def server_is_called(context):
    context.calls += 1
    attempt_id = f"a{context.calls}"
    payload = {"prompt": "p", "max_tokens": 3}
    call = BackendCall(attempt_id, "r", "c", "stage", payload, 1, 2.0, PROGRESS_LIMIT_S)
    tokens = []
    context.error = "nothing"
    try:
        context.run_async(context.backend.call(call, lambda e: tokens.extend(e.tokens)))
        is_engine = context.server.spec.role == "engine"
        assert tokens == (["r:0 ", "r:1 ", "r:2 "] if is_engine else []), tokens
    except EgretshedError as error:
        context.error = type(error).__name__


@when("the server is called while another call is in flight")
def server_is_called_while_busy(context):
    busy = CallRecord("busy", "r0", "c", 0.0)
    context.server.state.begin_call(busy)
    server_is_called(context)


@then('the call ends with the error "{error}"')
def call_ends_with(context, error):
    assert context.error == error, context.error


@then('the server\'s record shows the call as "{recorded}"')
def call_is_recorded_as(context, recorded):
    calls = context.server.state.to_record()["calls"]
    found = [c["outcome"] for c in calls if c["attempt_id"] == "a1"]
    assert (found or ["absent"]) == [recorded], calls


@then("the server's record has 1 cold period, which has ended")
def cold_period_has_ended(context):
    (period,) = context.server.state.to_record()["cold_periods"]
    assert period["unwarned"] and period["end_s"] is not None, period
