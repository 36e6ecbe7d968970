import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.membership.pause import PauseDetector
from standins.clock import ManualClock
from standins.environments import make_environment

REQUEST_PERIOD_S = 0.1
# For so long the check runs before it ends.
CHECKED_S = 2.0


@given("a pause detector whose periodic check {state}")
def make_detector(context, state):
    context.checked_s = CHECKED_S if state == "has ended" else 0.0


@when("{passed_s:g} s pass, in which requests ask for the last pause")
def ask_for_pauses(context, passed_s):
    async def ask():
        clock = ManualClock()
        detector = PauseDetector(make_environment(clock), lambda: 5.0, lambda: None)
        if context.checked_s:
            checking = asyncio.create_task(detector.run())
            await clock.advance(context.checked_s)
            checking.cancel()
        found = set()
        for _ in range(round(passed_s / REQUEST_PERIOD_S)):
            await clock.advance(REQUEST_PERIOD_S)
            found.add(detector.last_pause_s())
        return found - {None}

    context.pauses = asyncio.run(ask())


@then("no pause was found")
def none_found(context):
    assert not context.pauses, context.pauses
