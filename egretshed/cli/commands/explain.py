"""Explains the outcome of one request from the log lines of the nodes."""

import sys
from collections.abc import Iterable
from dataclasses import (
    dataclass,
    field,
)
from pathlib import Path
from typing import (
    Annotated,
    Any,
)

import cappa
import msgspec

from egretshed.cli.session import (
    Session,
    usage_error,
)
from egretshed.errors import ExitStatus

# State changes that were logged within this time before a request's first line may have
# affected the decisions on it.
CONTEXT_WINDOW_S = 3.0
CONTEXT_EVENTS = frozenset(
    {
        "server_changed",
        "failure_domain_changed",
        "configuration_in_force",
        "store_lost",
        "store_regained",
        "owner_avoided",
        "duty_owner_changed",
        "process_was_paused",
        "node_leaving",
    }
)


@cappa.command(name="explain", help="Explain the outcome of a request from log lines.")
@dataclass
class Explain:
    request_id: str
    logs: Annotated[
        list[Path], cappa.Arg(help="Log files. Default: standard input.")
    ] = field(default_factory=list)

    async def run(self, session: Session) -> ExitStatus:
        rows = explain(self.request_id, _read_lines(self.logs))
        if not rows:
            session.printer.error_line(
                f"no log line found for request {self.request_id}"
            )
            return ExitStatus.ERROR
        session.printer.rows(rows, ("time_s", "node_id", "message", "what"))
        return ExitStatus.SUCCESS


def explain(request_id: str, lines: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the log lines of a request and of state changes that may have affected it.

    State changes are those that the nodes of the request logged from `CONTEXT_WINDOW_S`
    before its first line until its last one. Changes of a server are included only if
    lines of the request name that server. The requests of one stream, which a caller
    took up again, are followed together.
    """
    lines = sorted(lines, key=lambda line: line.get("time_s", 0.0))
    ids = _ids_of_stream(request_id, lines)
    request_lines = [line for line in lines if _is_about(line, ids)]
    if not request_lines:
        return []
    first_s = request_lines[0]["time_s"] - CONTEXT_WINDOW_S
    last_s = request_lines[-1]["time_s"]
    servers = {line["server_id"] for line in request_lines if line.get("server_id")}
    nodes = {line.get("node_id") for line in request_lines}
    context_lines = [
        line
        for line in lines
        if line["message"] in CONTEXT_EVENTS
        and first_s <= line["time_s"] <= last_s
        and line.get("node_id") in nodes
        and line.get("server_id") in (None, *servers)
    ]
    selected = sorted([*request_lines, *context_lines], key=lambda line: line["time_s"])
    return [_row(line, is_stream=len(ids) > 1) for line in selected]


def _ids_of_stream(request_id: str, lines: list[dict[str, Any]]) -> set[str]:
    """Return the ids of the requests whose responses make up one stream."""
    resumptions = [line for line in lines if line["message"] == "stream_taken_up"]
    ids = {request_id}
    ids |= {line["resumes"] for line in resumptions if line["request_id"] in ids}
    ids |= {line["request_id"] for line in resumptions if line["resumes"] in ids}
    return ids - {""}


def _is_about(line: dict[str, Any], ids: set[str]) -> bool:
    return line.get("request_id") in ids or not ids.isdisjoint(
        line.get("request_ids", ())
    )


def _row(line: dict[str, Any], is_stream: bool) -> dict[str, Any]:
    hidden_fields = {"time_s", "node_id", "message", "level", "request_ids"}
    if not is_stream:
        hidden_fields.add("request_id")
    fields = {name: value for name, value in line.items() if name not in hidden_fields}
    what = ", ".join(f"{name}={value}" for name, value in fields.items())
    return {
        "time_s": line["time_s"],
        "node_id": line.get("node_id", ""),
        "message": line["message"],
        "what": what,
    }


def _read_lines(paths: list[Path]) -> Iterable[dict[str, Any]]:
    try:
        texts = [path.read_text() for path in paths] or [sys.stdin.read()]
    except OSError as error:
        raise usage_error(f"cannot read {error.filename}: {error.strerror}") from None
    for text in texts:
        for line in text.splitlines():
            # A log collector may add a prefix to the JSON object.
            start = line.find("{")
            if start < 0:
                continue
            try:
                decoded = msgspec.json.decode(line[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(decoded, dict) and "message" in decoded:
                decoded.setdefault("time_s", 0.0)
                yield decoded
