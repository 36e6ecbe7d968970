import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.requests.early_reservation import (
    EarlyChoice,
    SlotWaits,
)
from standins.clock import ManualClock


@given("calls of a pool that usually wait {wait_s:g} s for a slot")
def usual_wait(context, wait_s):
    context.waits = SlotWaits()
    for _ in range(100):
        context.waits.observe("p", wait_s)


@when("a slot is needed after {before_s:g} s of earlier stages")
def slot_needed(context, before_s):
    context.start_s = context.waits.start_after_s("p", before_s)


@then("the wait for it starts {start}")
def wait_starts(context, start):
    if start == "not early":
        assert context.start_s is None, context.start_s
    else:
        expected_s = float(start.split()[1])
        assert abs(context.start_s - expected_s) < 0.001, context.start_s


@given("an early choice that starts after {after_s:g} s and takes {takes_s:g} s")
def early_choice(context, after_s, takes_s):
    context.clock = ManualClock()
    context.after_s, context.takes_s = after_s, takes_s


@when("after {seconds:g} s it is {step}")
def step_taken(context, seconds, step):
    asyncio.run(take_step(context, seconds, step))


async def take_step(context, seconds, step):
    context.slots = []

    async def choose():
        await context.clock.sleep(context.takes_s)
        context.slots.append("used")
        return "decision"

    def give_back(decision):
        assert decision == "decision"
        context.slots[-1] = "given back"

    early = EarlyChoice(context.clock, choose, context.after_s, give_back)
    await context.clock.advance(seconds)
    if step == "asked":
        asking = asyncio.ensure_future(early.decision())
        await context.clock.advance(1.0)
        assert asking.result() == ("decision" if context.slots else None)
    early.give_up()
    await context.clock.advance(1.0)


@then("the slot is {state}")
def slot_is(context, state):
    assert context.slots == ([] if state == "not taken" else [state]), context.slots
