import asyncio

from behave import (
    given,
    then,
    when,
)

from bench.tests.faults import inject_fault
from bench.tests.trial import run_event

RUN_TIMEOUT_S = 60.0


@given('the fault "{fault}"')
def set_fault(context, fault):
    context.fault = fault


@when('a system under load is run while "{event}"')
def run_system(context, event):
    with inject_fault(context.fault):
        context.breaches = asyncio.run(
            asyncio.wait_for(run_event(event), RUN_TIMEOUT_S)
        )


@then('the run has a breach of "{promise}"')
def has_breach(context, promise):
    found = {breach.promise for breach in context.breaches}
    assert promise in found, context.breaches[:5]


@then("the run has no breach")
def has_no_breach(context):
    assert not context.breaches, context.breaches[:5]
