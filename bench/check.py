"""Compares what callers, nodes and backend servers recorded, promise by promise.

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

# From a domain or a server leaving, by the users' promise.
LEAVING_LIMIT_S = 2.0
# A server that goes cold by itself is known to its owner after the first late token or
# load report, and to borrowers at the latest when their loans end.
UNWARNED_LIMIT_S = 2.0
NO_TIME_S = 0.0


class Breach(NamedTuple):
    """One broken promise; `promise` is P1 to P9 as in `docs/design.md`."""

    promise: str
    detail: str


class Observed(NamedTuple):
    """Everything that one run recorded.

    `callers` are `RequestRecord.to_body` objects; `servers` those of `GET /record`;
    `metrics` are nodes' `/metrics` texts; `exits` the exit codes of planned stops.
    `process_deaths` is True if a node was killed, which may leave a caller without an
    answer and takes the node's metrics with it. `metrics_incomplete` is True if nodes
    were replaced, which takes only their metrics.
    """

    callers: list[dict[str, Any]]
    servers: list[dict[str, Any]]
    metrics: dict[str, str]
    exits: dict[str, int]
    non_repeatable_kinds: frozenset[str]
    process_deaths: bool = False
    metrics_incomplete: bool = False


def find_breaches(observed: Observed) -> list[Breach]:
    """Return every breach that the records show; empty if there is none."""
    calls = _calls_by_request(observed.servers)
    checks = (
        _unowned_work(observed, calls),
        _duplicate_attempts(observed.servers),
        _lost_results(observed.callers, calls),
        _cold_overload(observed.servers),
        _late_starts(observed.servers),
        _wrong_answers(observed),
        _untrue_not_run(observed.callers, calls),
        _repeated_runs(observed, calls),
        _planned_stops(observed.exits),
        _invariants(observed.metrics),
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


def _unowned_work(observed: Observed, calls) -> Iterator[Breach]:
    asked = set().union(*(_request_keys(caller) for caller in observed.callers))
    for key in calls.keys() - asked:
        yield Breach("P1", f"backend work for {key}, which no caller asked for")


def _duplicate_attempts(servers: list[dict]) -> Iterator[Breach]:
    attempts = Counter(c["attempt_id"] for s in servers for c in s["calls"])
    for attempt_id, count in attempts.items():
        if count > 1:
            yield Breach("P1", f"attempt {attempt_id!r} arrived {count} times")


def _lost_results(callers: list[dict], calls) -> Iterator[Breach]:
    for caller in callers:
        if caller["outcome"] != "complete":
            continue
        key = (caller["customer_id"], caller["request_id"])
        if not any(call["outcome"] == "completed" for call in calls[key]):
            yield Breach("P1", f"{key} is complete, but no server completed a call")


def _cold_overload(servers: list[dict]) -> Iterator[Breach]:
    for server in servers:
        for period in server["cold_periods"]:
            limit_s = UNWARNED_LIMIT_S if period["unwarned"] else NO_TIME_S
            for since_s, in_flight in period["over_limit_starts"]:
                if since_s >= limit_s:
                    yield Breach(
                        "P2",
                        f"{server['replica_id']} had {in_flight} calls, cold for "
                        f"{since_s:.2f} s with a limit of {server['cold_limit']}",
                    )


def _late_starts(servers: list[dict]) -> Iterator[Breach]:
    for server in servers:
        for call in server["calls"]:
            for promise, field in (("P3", "after_out_s"), ("P7", "after_leaving_s")):
                since_s = call[field]
                if since_s is not None and since_s > LEAVING_LIMIT_S:
                    yield Breach(
                        promise,
                        f"{server['replica_id']} got {call['attempt_id']!r} "
                        f"{since_s:.2f} s after it left service",
                    )


def _wrong_answers(observed: Observed) -> Iterator[Breach]:
    for caller in observed.callers:
        for fault in caller["faults"]:
            yield Breach("P4", f"{caller['request_id']}: {fault}")
        if caller["outcome"] == "no_answer" and not observed.process_deaths:
            yield Breach("P4", f"{caller['request_id']} got no final answer")


def _untrue_not_run(callers: list[dict], calls) -> Iterator[Breach]:
    """A `not_run` is untrue if a node that this caller had asked made a call before it.

    Another caller that submits the same id at another node is not told apart by the
    nodes: its calls do not make this caller's answer untrue (`docs/api.md`).
    """
    for caller in callers:
        asked = set()
        for answer in caller["answers"]:
            asked.add(answer["node_id"])
            if answer["outcome"] != "not_run":
                continue
            key = (caller["customer_id"], answer["request_id"])
            for call in calls[key]:
                by_asked = call["attempt_id"].partition(":")[0] in asked
                if by_asked and call["start_s"] < answer["received_s"]:
                    yield Breach("P5", f"{key} was not_run, but {call['replica_id']}")


def _repeated_runs(observed: Observed, calls) -> Iterator[Breach]:
    for caller in observed.callers:
        if caller["kind"] not in observed.non_repeatable_kinds:
            continue
        for key in _request_keys(caller):
            ran = [c["replica_id"] for c in calls[key] if c["outcome"] != "rejected"]
            if len(ran) > 1:
                yield Breach("P6", f"{key} ran at {', '.join(ran)}")


def _planned_stops(exits: dict[str, int]) -> Iterator[Breach]:
    for node_id, status in exits.items():
        if status != 0:
            yield Breach("P8", f"node {node_id} ended a planned stop with {status}")


def metric_samples(text: str, name: str) -> Iterator[Any]:
    """Yield the samples called `name` of a metrics text."""
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == name:
                yield sample


def _invariants(metrics: dict[str, str]) -> Iterator[Breach]:
    for node_id, text in metrics.items():
        for sample in metric_samples(text, "egretshed_invariant_violations_total"):
            if sample.value > 0:
                invariant = sample.labels["invariant"]
                promise = invariant.split("_")[0]
                yield Breach(promise, f"node {node_id} counted {invariant}")


def _uncounted_answers(observed: Observed) -> Iterator[Breach]:
    """Nodes must have counted every complete answer that a caller has."""
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
        yield Breach("P1", f"callers have {answered} answers, nodes counted {counted}")
