import math

from behave import (
    then,
    when,
)

from egretshed.quarantine.crash_evidence import (
    CrashEvidence,
    SuspectRun,
)

KIND_PREFIXES = {"!": "request:", "?": "prompt:"}


def _input_id(text):
    return KIND_PREFIXES.get(text[0], "") + text.lstrip("!?")


def _parse_request(text):
    """Return the input ids and the time at which the request was sent."""
    names, _, began = text.partition("@")
    input_ids = tuple(_input_id(name) for name in names.split("/"))
    return input_ids, float(began or -math.inf)


@when("the servers of a service report {events}")
def report(context, events):
    evidence, context.blamed = CrashEvidence(), []
    for text in events.split():
        at_s, server_id, requests = text.split(":")
        requests = [_parse_request(request) for request in requests.split(",")]
        _report_one(context, evidence, float(at_s), server_id, requests)


def _report_one(context, evidence, now_s, server_id, requests):
    if server_id == "ok":
        for input_ids, _ in requests:
            evidence.clear(input_ids)
        return
    for input_ids, began_s in requests:
        run = SuspectRun(began_s, now_s)
        evidence.record_crash(input_ids, server_id, run, frozenset(context.blamed))
    unblamed = [ids for ids, _ in requests if not {*ids} & {*context.blamed}]
    blamed = evidence.culprits(unblamed, now_s)
    evidence.explain(blamed)
    context.blamed.extend(blamed)


@then('the blamed inputs are "{blamed}"')
def blamed_are(context, blamed):
    expected = [] if blamed == "none" else [_input_id(i) for i in blamed.split()]
    assert context.blamed == expected, context.blamed


@when("{count:d} crashes with other parts are reported")
def report_many(context, count):
    context.evidence = CrashEvidence()
    for number in range(count):
        parts = (f"outer-{number}", f"inner-{number}")
        run = SuspectRun(-math.inf, number * 0.2)
        context.evidence.record_crash(parts, f"e{number}", run)


@then("at most {most:d} parts are remembered")
def remembered(context, most):
    assert len(context.evidence._suspects) <= most


@when(
    '{count:d} crashes with {new:d} new requests each are reported, "{text}" being in'
    " the 1st, {second:d}th and {third:d}th"
)
def report_new(context, count, new, text, second, third):
    context.evidence, context.blamed = CrashEvidence(), []
    for number in range(1, count + 1):
        now_s = number * 0.1
        requests = [(f"request:{number}/{index}",) for index in range(new)]
        if number in (1, second, third):
            requests.append((_input_id(text),))
        for input_ids in requests:
            run = SuspectRun(now_s - 0.05, now_s)
            context.evidence.record_crash(input_ids, f"e{number}", run)
        context.blamed.extend(context.evidence.culprits(requests, now_s))


@then("at most {most:d} parts and {crashes:d} crashes are remembered")
def remembered_crashes(context, most, crashes):
    assert len(context.evidence._suspects) <= most
    assert len(context.evidence._last_crash_of) <= crashes


@when('{count:d} crashes at "{text}" are reported that nobody judges')
def report_unjudged(context, count, text):
    context.evidence = CrashEvidence()
    input_ids, _ = _parse_request(text)
    for number in range(count):
        run = SuspectRun(number - 0.1, number * 1.0)
        context.evidence.record_crash(input_ids, f"e{number}", run)


@then('at most {most:d} crashes of "{text}" are remembered')
def remembered_of(context, most, text):
    assert len(context.evidence._suspects[_input_id(text)]) <= most
