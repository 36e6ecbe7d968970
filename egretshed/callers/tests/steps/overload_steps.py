import asyncio
import json

from behave import (
    given,
    then,
    when,
)

ROUND_INTERVAL_S = 0.1
CUSTOMERS = ("val-david", "saint-sauveur")


@given("every engine is {factor:g} times slower")
def slow_engines(context, factor):
    for backend in context.system.host.backends:
        if backend.spec.role == "engine":
            backend.state.set_fault({"slow_factor": factor})


@when(
    "{rounds:d} rounds of {count:d} route questions with a deadline of "
    "{deadline_s:g} s are given up"
)
def submit_rounds(context, rounds, count, deadline_s):
    async def submit(number):
        customer = CUSTOMERS[number % len(CUSTOMERS)]
        body = {
            "request_id": f"late-{number}",
            "kind": "route_question",
            "body": {"prompt": "x" * 800, "session": str(number % 5)},
            "deadline_s": deadline_s,
        }
        system = context.system
        key = system.customer_keys[customer]
        sent = json.dumps(body).encode()
        return await system.fetch("POST", "/v1/requests", sent, key)

    async def submit_all():
        tasks = []
        for number in range(rounds * count):
            if number % count == 0:
                await asyncio.sleep(ROUND_INTERVAL_S)
            tasks.append(asyncio.create_task(submit(number)))
        return [response.code for response in await asyncio.gather(*tasks)]

    context.codes = context.loop.run_until_complete(submit_all())


async def records_when_idle(system):
    """Return the backend servers' records once none of them runs a call."""
    states = [backend.state for backend in system.host.backends]
    while any(state.running for state in states):
        await asyncio.sleep(ROUND_INTERVAL_S)
    return [state.to_record() for state in states]


@then("no backend server had more calls in flight than its limit")
def within_limits(context):
    records = context.loop.run_until_complete(records_when_idle(context.system))
    given_up = sum(c["outcome"] == "cancelled" for r in records for c in r["calls"])
    assert given_up > 0, "no call was given up"
    overloaded = {r["replica_id"]: r["overloaded_calls"] for r in records}
    assert not any(overloaded.values()), overloaded
