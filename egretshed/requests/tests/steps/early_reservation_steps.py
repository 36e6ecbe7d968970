import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.requests.early_reservation import (
    EarlyReservation,
    SlotWaitTimes,
)
from standins.clock import ManualClock


@given("a pool whose calls wait {wait_s:g} s for a slot on average")
def average_wait(context, wait_s):
    context.wait_times = SlotWaitTimes()
    for _ in range(100):
        context.wait_times.observe("p", wait_s)


@when("the earlier stages are expected to take {earlier_stages_s:g} s")
def earlier_stages(context, earlier_stages_s):
    context.delay_s = context.wait_times.start_delay_s("p", earlier_stages_s)


@then("the reservation starts {start}")
def reservation_starts(context, start):
    if start == "not early":
        assert context.delay_s is None, context.delay_s
    else:
        expected_s = float(start.split()[1])
        assert abs(context.delay_s - expected_s) < 0.001, context.delay_s


@given("an early reservation that starts after {after_s:g} s and takes {takes_s:g} s")
def early_reservation(context, after_s, takes_s):
    context.clock = ManualClock()
    context.after_s, context.takes_s = after_s, takes_s


@when("after {seconds:g} s the reservation is {step}")
def act_on_reservation(context, seconds, step):
    asyncio.run(act_after(context, seconds, step))


async def act_after(context, seconds, step):
    context.slots = []

    async def reserve():
        await context.clock.sleep(context.takes_s)
        context.slots.append("used")
        return "decision"

    def release_slot(decision):
        assert decision == "decision"
        context.slots[-1] = "given back"

    reservation = EarlyReservation(
        context.clock, reserve, context.after_s, release_slot
    )
    await context.clock.advance(seconds)
    if step == "asked":
        asking = asyncio.ensure_future(reservation.decision())
        await context.clock.advance(1.0)
        assert asking.result() == ("decision" if context.slots else None)
    reservation.cancel()
    await context.clock.advance(1.0)


@then("the slot is {state}")
def slot_is(context, state):
    assert context.slots == ([] if state == "not taken" else [state]), context.slots
