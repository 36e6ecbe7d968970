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


@given('the disturbance "{name}" of "{target}" from {start:g} s to {end:g} s')
def set_disturbance(context, name, target, start, end):
    context.history = [Disturbance(name, target, start, end)]


def lost_answer(node_id, sent_s, received_s, reason):
    return {
        "request_id": "r-1",
        "node_id": node_id,
        "sent_s": sent_s,
        "received_s": received_s,
        "outcome": "lost",
        "reason": reason,
    }


@when('a connection to "{node_id}" that began at {sent:g} s is lost at {end:g} s')
def connection_lost(context, node_id, sent, end):
    callers = [{"answers": [lost_answer(node_id, sent, end, "closed")]}]
    context.found = list(unexplained_connection_losses(callers, context.history))


@when(
    'a connection to "{relay}" for a stream of "{node_id}" is lost '
    'with the reason "{reason}"'
)
def relayed_stream_lost(context, relay, node_id, reason):
    first = {**lost_answer(node_id, 1.0, 2.0, ""), "outcome": "not_run"}
    callers = [{"answers": [first, lost_answer(relay, 10.0, 11.0, reason)]}]
    context.found = list(unexplained_connection_losses(callers, context.history))


@given("the log line {line}")
def log_line(context, line):
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "entry-1.log").write_text(line + "\n")
        context.found = list(logged_faults(Path(folder)))


@given("a node reports the versions {versions}")
def reported_versions(context, versions):
    status_samples = [
        StatusSample(at_s, "entry-1", 1, int(version), (), 1, 1, True)
        for at_s, version in enumerate(versions.split())
    ]
    context.found = find_version_regressions(status_samples)


@given(
    "a request that ended as {outcome} after an answer {answer} with retry_after_s "
    "{retry_after_s}"
)
def request_ended(context, outcome, answer, retry_after_s):
    answers = [
        {
            "request_id": "r-1",
            "outcome": answer,
            "reason": "",
            "retry_after_s": json.loads(retry_after_s),
        }
    ]
    callers = [{"request_id": "r-1", "outcome": outcome, "answers": answers}]
    context.found = [
        *requests_without_answer(callers),
        *refusals_without_retry_after(callers),
    ]


@then('the reported breaches are "{breaches}"')
def breaches_are(context, breaches):
    assert {breach.promise for breach in context.found} == {breaches}, context.found


@then('the reported breaches are ""')
def no_breaches(context):
    assert not context.found, context.found
