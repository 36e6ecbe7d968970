import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.daemon.tasks import NodeTasks
from standins.clock import ManualClock
from standins.environments import make_environment


@given("a background task that fails {failures:d} times and then works")
def failing_task(context, failures):
    context.failures = failures


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    async def play():
        clock = ManualClock()
        env = make_environment(clock)
        attempts = []

        async def work():
            attempts.append(clock.monotonic_s())
            if len(attempts) <= context.failures:
                raise KeyError("fault")
            await clock.sleep(1000)

        tasks = NodeTasks(env)
        tasks.spawn("example", work)
        await clock.advance(seconds)
        await tasks.cancel()
        return len(attempts), env.logger.handlers[0].stream.getvalue()

    context.attempts, context.log = asyncio.run(play())


@then("it has worked: yes, and {failures:d} faults were logged")
def has_worked(context, failures):
    assert context.attempts == failures + 1, context.attempts
    assert context.log.count("task_failed") == failures, context.log
