import copy
import json

from behave import (
    given,
    then,
    use_step_matcher,
    when,
)

from bench.check import (
    Observed,
    find_breaches,
)

CALL = {
    "start_s": 10.0,
    "outcome": "completed",
    "after_out_s": None,
    "after_leaving_s": None,
}
COUNTED = 'egretshed_requests_total{outcome="complete"} 3.0\n'
METRICS = {
    "uncounted": COUNTED.replace("3.0", "2.0"),
    "violated": COUNTED
    + 'egretshed_invariant_violations_total{invariant="P2_cold_limit"} 1.0\n',
}


def call(attempt_id, request_id):
    ids = {"attempt_id": attempt_id, "request_id": request_id, "customer_id": "c"}
    return {**CALL, **ids}


def caller(request_id, kind):
    answer = {
        "request_id": request_id,
        "node_id": "entry-1",
        "outcome": "complete",
        "received_s": 11.0,
    }
    return {
        "customer_id": "c",
        "request_id": request_id,
        "kind": kind,
        "outcome": "complete",
        "faults": [],
        "answers": [answer],
    }


def server(replica_id, calls):
    period = {"unwarned": False, "over_limit_starts": []}
    return {
        "replica_id": replica_id,
        "cold_limit": 2,
        "cold_periods": [period],
        "calls": calls,
    }


@given("the records of a healthy run")
def healthy_run(context):
    kinds = {"q1": "question", "booking": "booking", "q2": "question"}
    engine = server("engine-1", [call("entry-1:1:1", "q1")])
    service = server("orders-1", [call("entry-1:1:2", "booking")])
    second = server("orders-2", [call("entry-1:1:3", "q2")])
    context.observed = Observed(
        callers=[caller(request_id, kind) for request_id, kind in kinds.items()],
        servers=[engine, service, second],
        metrics={"entry-1": COUNTED},
        exits={"entry-1": 0},
        non_repeatable_kinds=frozenset({"booking"}),
    )


def find_record(observed, name):
    servers = observed.servers
    records = {
        "engine call": servers[0]["calls"][0],
        "second call": servers[2]["calls"][0],
        "engine": servers[0],
        "callers": observed.callers,
        "exits": observed.exits,
        "metrics": observed.metrics,
    }
    return records[name]


@when('the {name} field "{path}" becomes {value}')
def set_field(context, name, path, value):
    context.observed = copy.deepcopy(context.observed)
    *parents, last = (int(p) if p.isdigit() else p for p in path.split("."))
    record = find_record(context.observed, name)
    for parent in parents:
        record = record[parent]
    decoded = json.loads(value)
    record[last] = METRICS[decoded] if name == "metrics" else decoded


@then("no breach is reported")
def none_reported(context):
    assert not find_breaches(context.observed), find_breaches(context.observed)


use_step_matcher("re")


@then('exactly the breaches "(?P<breaches>.*)" are reported')
def exactly_reported(context, breaches):
    found = {breach.promise for breach in find_breaches(context.observed)}
    assert found == set(breaches.split()), find_breaches(context.observed)
