import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.clock import SystemClock
from egretshed.errors import EgretshedError
from egretshed.platform.adapters import connect_platform
from egretshed.platform.interface import (
    Condition,
    Write,
)
from standins.environments import (
    make_environment,
    make_settings,
)
from standins.memory_platform import MemoryPlatform
from standins.platform import PlatformServer

HTTP_FAULTS = {
    "down": {"down": True},
    "lost reply": {"drop_replies": 1},
    "lost request": {"silent": True},
}


@given('a platform of type {kind} with the row "{key}"')
def platform_with_row(context, kind, key):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    run = context.run_async = context.runner.run
    if kind == "memory":
        context.server = MemoryPlatform(SystemClock())
        context.platform = context.server.platform
    else:
        context.server = PlatformServer()
        run(context.server.start())
        context.add_cleanup(lambda: run(context.server.stop()))
        context.platform = run(connect(context.server.url))
    run(context.platform.table.transact([], [Write(key, "old")]))


async def connect(url):
    settings = make_settings(platform={"url": url, "call_timeout_s": 0.3})
    return connect_platform(make_environment(SystemClock(), settings=settings))


@when('the platform has the fault "{fault}"')
def platform_has_fault(context, fault):
    server = context.server
    if fault == "rate limit":
        server.core.write_limit.set(0.0)
    elif isinstance(server, PlatformServer):
        server.set_faults({"transact": HTTP_FAULTS.get(fault, {})})
    else:
        server.down = fault == "down"
        server.lose_next_replies = int(fault == "lost reply")
        server.drop_next_writes = int(fault == "lost request")


@when('the row "{key}" is written on condition of version {version:d}')
def row_is_written(context, key, version):
    conditions = [Condition(key, version)]
    write = context.platform.table.transact(conditions, [Write(key, "new")])
    context.error = "nothing"
    try:
        context.run_async(write)
    except EgretshedError as error:
        context.error = type(error).__name__


@then('the write ends with the error "{error}"')
def write_ends_with(context, error):
    assert context.error == error, context.error


@then('the value of the row "{key}" is {value}')
def row_has_value(context, key, value):
    if isinstance(context.server, MemoryPlatform):
        context.server.down = False
    rows = context.run_async(context.platform.table.read([key]))
    assert rows[key].value == value, rows


@when('the row "{key}" is deleted and written again')
def row_is_rewritten(context, key):
    for value in (None, "new"):
        context.run_async(context.platform.table.transact([], [Write(key, value)]))


@then('the row "{key}" has version {version:d}')
def row_has_version(context, key, version):
    rows = context.run_async(context.platform.table.read([key]))
    assert rows[key].version == version, rows
