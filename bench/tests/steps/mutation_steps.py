import asyncio

from behave import (
    given,
    then,
    when,
)

from bench.tests.faults import with_fault
from bench.tests.trial import breaches_of

LIMIT_S = 60.0


@given('the fault "{fault}"')
def set_fault(context, fault):
    context.fault = fault


@when('a system under load is run while "{event}"')
def run_system(context, event):
    with with_fault(context.fault):
        context.breaches = asyncio.run(asyncio.wait_for(breaches_of(event), LIMIT_S))


@then('the promise "{promise}" is reported broken')
def is_broken(context, promise):
    found = {breach.promise for breach in context.breaches}
    assert promise in found, context.breaches[:5]


@then("no promise is reported broken")
def none_broken(context):
    assert not context.breaches, context.breaches[:5]
