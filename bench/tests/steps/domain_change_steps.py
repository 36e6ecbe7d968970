from behave import (
    given,
    then,
)

from bench.domain_change import (
    Change,
    calls_in_domain,
    limit_breaches,
    windows_of,
)
from bench.records import RequestRecord


@given("a domain that is out from {out_s:g} s to {in_s:g} s")
def domain_out(context, out_s, in_s):
    context.change = Change("a", 2, 0.0, out_s, in_s, 200.0)


@given("a call in that domain from {start:g} s to {end:g} s that ended {outcome}")
def call(context, start, end, outcome):
    call = {"start_s": start, "end_s": end, "outcome": outcome}
    elsewhere = {"start_s": 110.0, "end_s": 111.0, "outcome": "failed"}
    servers = [
        {"failure_domain": "a", "calls": [call]},
        {"failure_domain": "b", "calls": [elsewhere]},
    ]
    change = context.change
    context.calls = calls_in_domain(servers, change, change.ordered_s)


@given("{before:d} of 100 requests attained before and {out:d} of 100 while it was out")
def attained_requests(context, before, out):
    context.records = [
        make_record(at_s, index < count)
        for at_s, count in ((50.0, before), (110.0, out))
        for index in range(100)
    ]


def make_record(at_s, attained):
    record = RequestRecord("c", "k", at_s, at_s + 1)
    record.outcome = "complete" if attained else "failed"
    record.answered_s = at_s + 0.5
    return record


@then('the limits "{names}" are violated')
def limits_violated(context, names):
    breaches = limit_breaches(
        windows_of(context.change), context.records, context.calls
    )
    assert [breach.promise for breach in breaches] == [names], breaches


@then('the limits "" are violated')
def no_limit_violated(context):
    breaches = limit_breaches(
        windows_of(context.change), context.records, context.calls
    )
    assert not breaches, breaches
