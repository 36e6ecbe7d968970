import asyncio
import logging

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
from egretshed.errors import BackendSilent
from standins.backend_spec import (
    BackendSpec,
    Timing,
)
from standins.backends import BackendServer
from standins.environments import make_environment


class RecordingHandler(logging.Handler):
    """Stores the log records of warnings and errors."""

    def __init__(self):
        super().__init__(logging.WARNING)
        self.records = []

    def emit(self, record):
        self.records.append(record)


@given("an engine that makes a token every {token_s:g} s")
def start_engine(context, token_s):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    spec = BackendSpec("b-1", "engine", 1, 4, timing=Timing(token_s=token_s))
    context.server = BackendServer(spec)
    context.runner.run(context.server.start())
    context.add_cleanup(lambda: context.runner.run(context.server.stop()))
    context.log_handler = RecordingHandler()
    logging.getLogger("tornado").addHandler(context.log_handler)
    context.add_cleanup(
        lambda: logging.getLogger("tornado").removeHandler(context.log_handler)
    )


@when("a call exceeds its progress limit of {limit_s:g} s")
def exceed_progress_limit(context, limit_s):
    async def call():
        replica = Replica("b-1", context.server.url, "a")
        pool = Pool("engine", (replica,), 1, 4, adapter="openai_completions")
        backend = connect_backend(make_environment(SystemClock()), pool, replica)
        payload = {"prompt": "p", "max_tokens": 4}
        request = BackendCall("a-1", "r-1", "c", "generate", payload, 1, 9.0, limit_s)
        try:
            await backend.call(request, lambda event: None)
        except BackendSilent:
            pass
        else:
            raise AssertionError("the call was not abandoned")
        record = context.server.state.record.calls[0]
        while record.outcome == "running":
            await asyncio.sleep(0.01)

    context.runner.run(call())


@then("the engine's call ends as {outcome}")
def check_outcome(context, outcome):
    record = context.server.state.record.calls[0]
    assert record.outcome == outcome, record.to_body()


@then("no error was logged")
def check_no_error(context):
    assert not context.log_handler.records, [
        r.getMessage() for r in context.log_handler.records
    ]
