import asyncio
import sys
import tempfile
from pathlib import Path

from behave import (
    given,
    then,
    when,
)

from bench.processes import (
    ManagedProcess,
    stop_all,
)
from egretshed.clock import SystemClock

LIMIT_S = 20.0
SECOND_SIGNAL = """
import signal, sys, time, pathlib
asked = []
def on_signal(number, frame):
    asked.append(number)
    if len(asked) > 1:
        sys.exit(8)
signal.signal(signal.SIGTERM, on_signal)
pathlib.Path(sys.argv[1]).touch()
while not asked:
    time.sleep(0.01)
time.sleep(0.3)
"""
IGNORES = """
import signal, sys, time, pathlib
signal.signal(signal.SIGTERM, signal.SIG_IGN)
pathlib.Path(sys.argv[1]).touch()
time.sleep(600)
"""


def start(context, count, script):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = Path(temporary.name)
    context.processes = {}
    for number in range(count):
        ready = folder / f"ready-{number}"
        context.processes[ready.name] = asyncio.run(start_one(ready, script))


async def start_one(ready, script):
    command = [sys.executable, "-c", script, str(ready)]
    log = ready.with_suffix(".log")
    process = ManagedProcess(SystemClock(), ready.name, command, log)

    async def is_ready():
        return ready.exists()

    await process.wait_until(is_ready, LIMIT_S)
    return process


@given("{count:d} processes that exit with 8 on a second SIGTERM")
def processes(context, count):
    start(context, count, SECOND_SIGNAL)


@given("{count:d} processes that ignore SIGTERM")
def ignoring_processes(context, count):
    start(context, count, IGNORES)


@when("they are stopped with a limit of {limit_s:g} s")
def stopped(context, limit_s):
    context.exits = asyncio.run(stop_all(context.processes, limit_s))


@then("every one exits with {status:d}")
def exits_with(context, status):
    assert context.exits, "none was stopped"
    assert set(context.exits.values()) == {status}, context.exits
