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

READY_LIMIT_S = 20.0
EXITS_ON_SECOND_SIGTERM = """
import signal, sys, time, pathlib
received = []
def on_signal(number, frame):
    received.append(number)
    if len(received) > 1:
        sys.exit(8)
signal.signal(signal.SIGTERM, on_signal)
pathlib.Path(sys.argv[1]).touch()
while not received:
    time.sleep(0.01)
time.sleep(0.3)
"""
IGNORES_SIGTERM = """
import signal, sys, time, pathlib
signal.signal(signal.SIGTERM, signal.SIG_IGN)
pathlib.Path(sys.argv[1]).touch()
time.sleep(600)
"""


def start_processes(context, count, script):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = Path(temporary.name)
    context.processes = {}
    for number in range(count):
        ready = folder / f"ready-{number}"
        context.processes[ready.name] = asyncio.run(start_process(ready, script))


async def start_process(ready, script):
    command = [sys.executable, "-c", script, str(ready)]
    log = ready.with_suffix(".log")
    process = ManagedProcess(SystemClock(), ready.name, command, log)

    async def is_ready():
        return ready.exists()

    await process.wait_until(is_ready, READY_LIMIT_S)
    return process


@given("{count:d} processes that exit with 8 on a second SIGTERM")
def processes_exiting_on_second_signal(context, count):
    start_processes(context, count, EXITS_ON_SECOND_SIGTERM)


@given("{count:d} processes that ignore SIGTERM")
def processes_ignoring_sigterm(context, count):
    start_processes(context, count, IGNORES_SIGTERM)


@when("they are stopped with a limit of {limit_s:g} s")
def stopped(context, limit_s):
    context.exits = asyncio.run(stop_all(context.processes, limit_s))


@then("every process exits with {status:d}")
def exits_with(context, status):
    assert context.exits, "no process was stopped"
    assert set(context.exits.values()) == {status}, context.exits
