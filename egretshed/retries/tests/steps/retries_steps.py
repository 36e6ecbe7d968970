import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.errors import (
    BackendError,
    BackendRejected,
    BackendSilent,
    BackendUnreachable,
    InvalidRequest,
    NoReplicaAvailable,
)
from egretshed.retries.budgets import RetryBudgets
from egretshed.retries.decision import (
    FailedAttempt,
    Retry,
    decide_retry,
)
from egretshed.retries.shared_budget import SharedRetryBudget
from egretshed.retries.stage_times import (
    StageTimes,
    hedge_delay_s,
    split_deadline,
)
from standins.clock import ManualClock
from standins.environments import make_environment

ERRORS = {
    "refused": BackendUnreachable(may_have_run=False),
    "rejected": BackendRejected(),
    "silent": BackendSilent(),
    "reset": BackendError(),
    "no replica": NoReplicaAvailable(),
    "invalid": InvalidRequest(),
}


@given("an attempt that failed with {error}")
def given_failed_attempt(context, error):
    context.attempt = FailedAttempt(
        ERRORS[error], "c", "rerank", "r1", "a", True, 1, 0, 5.0, 0.5
    )


@given(
    "it is repeatable: {repeatable}, attempt {attempts:d}, {tokens:d} tokens delivered"
)
def given_progress(context, repeatable, attempts, tokens):
    context.attempt = context.attempt._replace(
        repeatable=repeatable == "yes", attempts=attempts, delivered_tokens=tokens
    )


@given("{remaining:g} s remain for calls that take 0.5 s, sent before: {sent}")
def given_remaining_time(context, remaining, sent):
    context.attempt = context.attempt._replace(
        remaining_s=remaining, sent_before=sent == "yes"
    )


@then('the decision is "{result}"')
def decision_is(context, result):
    budgets = RetryBudgets(make_environment(ManualClock()))
    decided = decide_retry(context.attempt, budgets, max_attempts=3)
    if isinstance(decided, Retry):
        excluded = sorted(decided.excluded_replicas) + sorted(decided.excluded_domains)
        got = f"retry without {','.join(excluded)}"
    else:
        got = f"{decided.failure.code} {decided.failure.fields.get('reason', '')}"
    assert got.strip() == result, got


@when("{customers:d} customers make {calls:d} calls each and request a retry for each")
def request_retries(context, customers, calls):
    budgets = RetryBudgets(make_environment(ManualClock()))
    context.retries = 0
    for _ in range(calls):
        for customer in range(customers):
            budgets.record_call(f"c{customer}", "rerank")
            context.retries += budgets.try_acquire(f"c{customer}", "rerank")


@then("between {least:d} and {most:d} retries were allowed")
def retries_allowed(context, least, most):
    assert least <= context.retries <= most, context.retries


@given('pool "fast" measured at {fast} s and pool "slow" at {slow} s')
def given_measurements(context, fast, slow):
    context.clock = ManualClock()
    context.times = StageTimes(make_environment(context.clock))
    for pool, value in (("fast", fast), ("slow", slow)):
        for _ in range(0 if value == "none" else 50):
            context.times.observe(pool, float(value), float(value))


@when("{remaining:g} s are split over fast, slow")
def split_over_pools(context, remaining):
    context.split_s = split_deadline(context.times, ["fast", "slow"], remaining)


@then("the slow stage gets {least:g} to {most:g} s and the sum is {total:g} s")
def split_is(context, least, most, total):
    assert least <= context.split_s[1] <= most, context.split_s
    assert abs(sum(context.split_s) - total) < 1e-9, context.split_s


@when('{later:g} s later pool "fast" is measured at {value:g} s {times:d} times')
def measured_later(context, later, value, times):
    asyncio.run(context.clock.advance(later))
    for _ in range(times):
        context.times.observe("fast", value, value)


@then('the estimate of "fast" is below {limit:g} s')
def estimate_is_below(context, limit):
    assert context.times.estimate_s("fast") < limit


@then('hedging pool "slow" with {enabled}, {repeatable}, {remaining:g} s is {planned}')
def hedging_is(context, enabled, repeatable, remaining, planned):
    delay_s = hedge_delay_s(
        context.times, "slow", remaining, repeatable == "yes", enabled == "yes"
    )
    assert (delay_s is not None) == (planned == "planned"), delay_s


@when(
    "{nodes:d} nodes with {requests:d} requests each in 10 s try to retry all of them"
)
def nodes_retry(context, nodes, requests):
    clock = ManualClock()
    context.retries = 0
    budgets = [
        SharedRetryBudget(make_environment(clock), lambda: nodes) for _ in range(nodes)
    ]
    for _ in range(requests):
        for budget in budgets:
            budget.record_request("svc")
            context.retries += budget.try_acquire("svc")
        asyncio.run(clock.advance(10 / requests))


@then("together they sent between {least:d} and {most:d} retries")
def retries_sent(context, least, most):
    assert least <= context.retries <= most, context.retries
