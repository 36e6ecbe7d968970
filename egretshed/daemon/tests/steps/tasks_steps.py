import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.daemon.tasks import NodeTasks
from standins.clock import ManualClock
from standins.environments import make_environment


@given("a background task that fails {failures:d} times and then succeeds")
def failing_task(context, failures):
    context.failures = failures


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    async def run_task():
        clock = ManualClock()
        env = make_environment(clock)
        attempt_times_s = []

        async def fail_then_succeed():
            attempt_times_s.append(clock.monotonic_s())
            if len(attempt_times_s) <= context.failures:
                raise KeyError("fault")
            await clock.sleep(1000)

        tasks = NodeTasks(env)
        tasks.spawn("example", fail_then_succeed)
        await clock.advance(seconds)
        await tasks.cancel()
        return len(attempt_times_s), env.logger.handlers[0].stream.getvalue()

    context.attempt_count, context.log = asyncio.run(run_task())


@then("the task is running: yes, and {failures:d} failures are logged")
def task_is_running(context, failures):
    assert context.attempt_count == failures + 1, context.attempt_count
    assert context.log.count("task_failed") == failures, context.log
