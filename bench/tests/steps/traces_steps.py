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
    refusals_without_return,
    silent_ends,
    unexplained_losses,
)
from bench.watch import (
    Sight,
    lower_versions,
)


@given('"{name}" of "{target}" from {start:g} s to {end:g} s')
def disturbed(context, name, target, start, end):
    context.history = [Disturbance(name, target, start, end)]


@when('a connection to "{node_id}" that began at {sent:g} s is lost at {lost:g} s')
def is_lost(context, node_id, sent, lost):
    answer = {
        "request_id": "r-1",
        "node_id": node_id,
        "sent_s": sent,
        "received_s": lost,
        "outcome": "lost",
        "reason": "closed",
    }
    callers = [{"answers": [answer]}]
    context.found = list(unexplained_losses(callers, context.history))


@given("the log line {line}")
def log_line(context, line):
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "entry-1.log").write_text(line + "\n")
        context.found = list(logged_faults(Path(folder)))


@given("a node is seen at the versions {versions}")
def seen(context, versions):
    sights = [
        Sight(at_s, "entry-1", 1, int(version), (), 1, 1, True)
        for at_s, version in enumerate(versions.split())
    ]
    context.found = lower_versions(sights)


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
    context.found = [*silent_ends(callers), *refusals_without_return(callers)]


@then('the promises "{promises}" are broken')
def are_broken(context, promises):
    assert {breach.promise for breach in context.found} == {promises}, context.found


@then('the promises "" are broken')
def none_broken(context):
    assert not context.found, context.found
