"""Finds faults in node logs, and lost answers that no disturbance explains."""

from collections.abc import (
    Iterable,
    Iterator,
)
from pathlib import Path
from typing import Any

import msgspec

from bench.check import Breach
from bench.cluster import Cluster
from bench.disturbances import Disturbance

# Upper bound of the time in which a caller detects a silent connection.
DETECTION_LIMIT_S = 6.0
RELAY_ENDED_REASON = "the stream ended without a final answer"
ACTIVATED = "configuration_in_force"
NODE_DISTURBANCES = ("kill", "pause")


def logged_faults(folder: Path) -> Iterator[Breach]:
    """Yield the violated invariants, failed tasks and tracebacks in the node logs."""
    for file in sorted(folder.glob("entry-*.log")):
        for line in file.read_text(errors="replace").splitlines():
            yield from _line_faults(file.stem, line)


def _line_faults(node_id: str, line: str) -> Iterator[Breach]:
    if not line.startswith("{"):
        if line.startswith("Traceback"):
            yield Breach("log", f"{node_id} printed a traceback")
        return
    event = msgspec.json.decode(line)
    if event["message"] == "invariant_violated":
        yield Breach(event["invariant"].split("_")[0], f"{node_id}: {line}")
    elif event["message"] == "task_failed":
        yield Breach("log", f"{node_id}: {line}")


def activation_times_s(cluster: Cluster, version: int) -> dict[str, float]:
    """Return the monotonic time at which each node activated a configuration version.

    The times in the logs are wall-clock times; they are converted with the present
    offset of the two clocks of this machine.
    """
    offset_s = cluster.clock.wall_s() - cluster.clock.monotonic_s()
    times = {}
    for vm in cluster.vms:
        file = cluster.folder / f"{vm.node_id}.log"
        for line in file.read_text(errors="replace").splitlines():
            event = msgspec.json.decode(line) if line.startswith("{") else {}
            if (event.get("message"), event.get("version")) == (ACTIVATED, version):
                times.setdefault(vm.node_id, event["time_s"] - offset_s)
    return times


def unexplained_connection_losses(
    callers: Iterable[dict[str, Any]], history: list[Disturbance]
) -> Iterator[Breach]:
    """Yield connections lost to nodes that were not killed or paused at that time.

    A node that relays a resumed stream may also end it without a final answer if the
    node that ran the stream, which an earlier answer names, was killed or paused.
    """
    for caller in callers:
        earlier: list[str] = []
        for answer in caller["answers"]:
            nodes = {answer["node_id"]}
            if answer["reason"] == RELAY_ENDED_REASON:
                nodes.update(earlier)
            earlier.append(answer["node_id"])
            if answer["outcome"] != "lost" or _is_explained(answer, nodes, history):
                continue
            yield Breach(
                "P8",
                f"{answer['request_id']} lost its connection to "
                f"{answer['node_id'] or 'all nodes'}: {answer['reason']}",
            )


def _is_explained(
    answer: dict[str, Any], nodes: set[str], history: list[Disturbance]
) -> bool:
    return any(
        item.name in NODE_DISTURBANCES
        and ("" in nodes or item.target in nodes)
        and item.start_s < answer["received_s"]
        and answer["sent_s"] < item.end_s + DETECTION_LIMIT_S
        for item in history
    )


def requests_without_answer(callers: Iterable[dict[str, Any]]) -> Iterator[Breach]:
    """Yield requests that have no final answer although no connection was lost."""
    for caller in callers:
        outcomes = [answer["outcome"] for answer in caller["answers"]]
        if caller["outcome"] == "no_answer" and "lost" not in outcomes:
            yield Breach(
                "P4",
                f"{caller['request_id']} got no final answer and lost no connection",
            )


def refusals_without_retry_after(callers: Iterable[dict[str, Any]]) -> Iterator[Breach]:
    """Yield `not_run` answers that have no `retry_after_s`."""
    for caller in callers:
        for answer in caller["answers"]:
            if answer["outcome"] == "not_run" and answer["retry_after_s"] is None:
                yield Breach(
                    "refusal",
                    f"{answer['request_id']} has no retry_after_s: {answer['reason']}",
                )
