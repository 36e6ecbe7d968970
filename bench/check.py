"""Checks guarantees P1 to P9 on the records of callers, nodes and backend servers.

All processes run on one machine, so that their monotonic times are comparable.
"""

from collections import (
    Counter,
    defaultdict,
)
from collections.abc import Iterator
from typing import (
    Any,
    NamedTuple,
)

from prometheus_client.parser import text_string_to_metric_families

# P3 and P7 allow no call to start later than this after a failure domain or a server
# left service.
LEAVING_LIMIT_S = 2.0
# The owner detects a server that turns cold by itself at the first late token or load
# report; borrowers know by the time their loans end.
UNWARNED_LIMIT_S = 2.0
WARNED_LIMIT_S = 0.0


class Breach(NamedTuple):
    """One violation of a guarantee; `promise` is P1 to P9 of `docs/design.md`."""

    promise: str
    detail: str


class Observed(NamedTuple):
    """Records of one run.

    `callers` are `RequestRecord.to_body` objects; `servers` are the responses to
    `GET /record`; `metrics` are the `/metrics` texts by node; `exits` are the exit
    codes of planned stops. `process_deaths` is True if a node was killed, which may
    leave a caller without an answer and loses the node's metrics. `metrics_incomplete`
    is True if nodes were replaced, which loses only their metrics.
    """

    callers: list[dict[str, Any]]
    servers: list[dict[str, Any]]
    metrics: dict[str, str]
    exits: dict[str, int]
    non_repeatable_kinds: frozenset[str]
    process_deaths: bool = False
    metrics_incomplete: bool = False


def find_breaches(observed: Observed) -> list[Breach]:
    """Return all breaches that the records show."""
    calls = _calls_by_request(observed.servers)
    checks = (
        _unrequested_calls(observed, calls),
        _duplicate_attempts(observed.servers),
        _results_without_call(observed.callers, calls),
        _cold_limit_violations(observed.servers),
        _late_starts(observed.servers),
        _wrong_answers(observed),
        _false_not_run(observed.callers, calls),
        _repeated_runs(observed, calls),
        _failed_stops(observed.exits),
        _invariant_violations(observed.metrics),
        _uncounted_answers(observed),
    )
    return [breach for check in checks for breach in check]


def _calls_by_request(servers: list[dict]) -> dict[tuple[str, str], list[dict]]:
    calls = defaultdict(list)
    for server in servers:
        for call in server["calls"]:
            key = (call["customer_id"], call["request_id"])
            calls[key].append({**call, "replica_id": server["replica_id"]})
    return calls


def _request_keys(caller: dict) -> set[tuple[str, str]]:
    return {(caller["customer_id"], a["request_id"]) for a in caller["answers"]}


def _unrequested_calls(observed: Observed, calls) -> Iterator[Breach]:
    submitted = set().union(*(_request_keys(caller) for caller in observed.callers))
    for key in calls.keys() - submitted:
        yield Breach("P1", f"backend call for {key}, which no caller submitted")


def _duplicate_attempts(servers: list[dict]) -> Iterator[Breach]:
    attempts = Counter(c["attempt_id"] for s in servers for c in s["calls"])
    for attempt_id, count in attempts.items():
        if count > 1:
            yield Breach("P1", f"attempt {attempt_id!r} was received {count} times")


def _results_without_call(callers: list[dict], calls) -> Iterator[Breach]:
    for caller in callers:
        if caller["outcome"] != "complete":
            continue
        key = (caller["customer_id"], caller["request_id"])
        if not any(call["outcome"] == "completed" for call in calls[key]):
            yield Breach(
                "P1", f"{key} is complete, but no server completed a call for it"
            )


def _cold_limit_violations(servers: list[dict]) -> Iterator[Breach]:
    for server in servers:
        for period in server["cold_periods"]:
            limit_s = UNWARNED_LIMIT_S if period["unwarned"] else WARNED_LIMIT_S
            for since_s, in_flight in period["over_limit_starts"]:
                if since_s >= limit_s:
                    yield Breach(
                        "P2",
                        f"{server['replica_id']} had {in_flight} calls in flight after "
                        f"{since_s:.2f} s cold; its limit is {server['cold_limit']}",
                    )


def _late_starts(servers: list[dict]) -> Iterator[Breach]:
    for server in servers:
        for call in server["calls"]:
            for promise, field in (("P3", "after_out_s"), ("P7", "after_leaving_s")):
                since_s = call[field]
                if since_s is not None and since_s > LEAVING_LIMIT_S:
                    yield Breach(
                        promise,
                        f"{server['replica_id']} received {call['attempt_id']!r} "
                        f"{since_s:.2f} s after it left service",
                    )


def _wrong_answers(observed: Observed) -> Iterator[Breach]:
    for caller in observed.callers:
        for fault in caller["faults"]:
            yield Breach("P4", f"{caller['request_id']}: {fault}")
        if caller["outcome"] == "no_answer" and not observed.process_deaths:
            yield Breach("P4", f"{caller['request_id']} got no final answer")


def _false_not_run(callers: list[dict], calls) -> Iterator[Breach]:
    """Yield `not_run` answers that follow a backend call of a node this caller used.

    Calls of other nodes do not count: the nodes cannot tell another caller that
    submits the same request id to another node from this one (`docs/api.md`).
    """
    for caller in callers:
        node_ids = set()
        for answer in caller["answers"]:
            node_ids.add(answer["node_id"])
            if answer["outcome"] != "not_run":
                continue
            key = (caller["customer_id"], answer["request_id"])
            for call in calls[key]:
                is_from_used_node = call["attempt_id"].partition(":")[0] in node_ids
                if is_from_used_node and call["start_s"] < answer["received_s"]:
                    yield Breach(
                        "P5", f"{key} was not_run, but {call['replica_id']} had a call"
                    )


def _repeated_runs(observed: Observed, calls) -> Iterator[Breach]:
    for caller in observed.callers:
        if caller["kind"] not in observed.non_repeatable_kinds:
            continue
        for key in _request_keys(caller):
            ran = [c["replica_id"] for c in calls[key] if c["outcome"] != "rejected"]
            if len(ran) > 1:
                yield Breach("P6", f"{key} ran at {', '.join(ran)}")


def _failed_stops(exits: dict[str, int]) -> Iterator[Breach]:
    for node_id, status in exits.items():
        if status != 0:
            yield Breach("P8", f"node {node_id} exited with {status} on a planned stop")


def metric_samples(text: str, name: str) -> Iterator[Any]:
    """Yield the samples called `name` from a text in the Prometheus format."""
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == name:
                yield sample


def _invariant_violations(metrics: dict[str, str]) -> Iterator[Breach]:
    for node_id, text in metrics.items():
        for sample in metric_samples(text, "egretshed_invariant_violations_total"):
            if sample.value > 0:
                invariant = sample.labels["invariant"]
                promise = invariant.split("_")[0]
                yield Breach(
                    promise, f"node {node_id} counted violations of {invariant}"
                )


def _uncounted_answers(observed: Observed) -> Iterator[Breach]:
    """Check that the nodes counted every complete answer that a caller received."""
    if observed.process_deaths or observed.metrics_incomplete or not observed.metrics:
        return
    answered = sum(c["outcome"] == "complete" for c in observed.callers)
    counted = sum(
        sample.value
        for text in observed.metrics.values()
        for sample in metric_samples(text, "egretshed_requests_total")
        if sample.labels["outcome"] == "complete"
    )
    if counted < answered:
        yield Breach(
            "P1", f"callers got {answered} complete answers, nodes counted {counted}"
        )
