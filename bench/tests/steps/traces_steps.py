import json
import tempfile
from pathlib import Path

from behave import (
    given,
    then,
    when,
)

from bench.disturbances import Disturbance
from bench.traces import (
    logged_faults,
    refusals_without_retry_after,
    requests_without_answer,
    unexplained_connection_losses,
)
from bench.watch import (
    StatusSample,
    find_version_regressions,
)


@given('"{name}" of "{target}" from {start:g} s to {end:g} s')
def disturbed(context, name, target, start, end):
    context.history = [Disturbance(name, target, start, end)]


def lost(node_id, sent_s, received_s, reason):
    return {
        "request_id": "r-1",
        "node_id": node_id,
        "sent_s": sent_s,
        "received_s": received_s,
        "outcome": "lost",
        "reason": reason,
    }


@when('a connection to "{node_id}" that began at {sent:g} s is lost at {end:g} s')
def is_lost(context, node_id, sent, end):
    callers = [{"answers": [lost(node_id, sent, end, "closed")]}]
    context.found = list(unexplained_connection_losses(callers, context.history))


@when('a connection to "{relay}" for a stream of "{node_id}" is lost as "{reason}"')
def relay_lost(context, relay, node_id, reason):
    first = {**lost(node_id, 1.0, 2.0, ""), "outcome": "not_run"}
    callers = [{"answers": [first, lost(relay, 10.0, 11.0, reason)]}]
    context.found = list(unexplained_connection_losses(callers, context.history))


@given("the log line {line}")
def log_line(context, line):
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "entry-1.log").write_text(line + "\n")
        context.found = list(logged_faults(Path(folder)))


@given("a node is seen at the versions {versions}")
def seen(context, versions):
    status_samples = [
        StatusSample(at_s, "entry-1", 1, int(version), (), 1, 1, True)
        for at_s, version in enumerate(versions.split())
    ]
    context.found = find_version_regressions(status_samples)


@given(
    "a request that ended as {outcome} after an answer {answer} with return {return_s}"
)
def ended(context, outcome, answer, return_s):
    answers = [
        {
            "request_id": "r-1",
            "outcome": answer,
            "reason": "",
            "retry_after_s": json.loads(return_s),
        }
    ]
    callers = [{"request_id": "r-1", "outcome": outcome, "answers": answers}]
    context.found = [
        *requests_without_answer(callers),
        *refusals_without_retry_after(callers),
    ]


@then('the promises "{promises}" are broken')
def are_broken(context, promises):
    assert {breach.promise for breach in context.found} == {promises}, context.found


@then('the promises "" are broken')
def none_broken(context):
    assert not context.found, context.found
