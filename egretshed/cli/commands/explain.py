"""Tells what became of one request, from the nodes' log lines."""

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

# Lines about a server or the store this long before a request's first line may have
# decided something for it.
BELIEF_WINDOW_S = 3.0
BELIEF_EVENTS = frozenset(
    {
        "server_changed",
        "failure_domain_changed",
        "configuration_in_force",
        "store_lost",
        "store_regained",
        "owner_avoided",
        "process_was_paused",
        "node_leaving",
    }
)


@cappa.command(name="explain", help="Tell from log lines what became of a request.")
@dataclass
class Explain:
    request_id: str
    logs: Annotated[
        list[Path], cappa.Arg(help="Log files; standard input without any.")
    ] = field(default_factory=list)

    async def run(self, session: Session) -> ExitStatus:
        found = explain(self.request_id, _read_lines(self.logs))
        if not found:
            session.printer.note(f"no log line names request {self.request_id}")
            return ExitStatus.ERROR
        session.printer.rows(found, ("time_s", "node_id", "message", "what"))
        return ExitStatus.SUCCESS


def explain(request_id: str, lines: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the lines about a request, and what changed just before and meanwhile.

    Servers' lines are kept only for servers that the request's own lines name.
    """
    lines = sorted(lines, key=lambda line: line.get("time_s", 0.0))
    own = [line for line in lines if _names(line, request_id)]
    if not own:
        return []
    first_s = own[0]["time_s"] - BELIEF_WINDOW_S
    last_s = own[-1]["time_s"]
    servers = {line["server_id"] for line in own if line.get("server_id")}
    nodes = {line.get("node_id") for line in own}
    beliefs = [
        line
        for line in lines
        if line["message"] in BELIEF_EVENTS
        and first_s <= line["time_s"] <= last_s
        and line.get("node_id") in nodes
        and line.get("server_id") in (None, *servers)
    ]
    chosen = sorted([*own, *beliefs], key=lambda line: line["time_s"])
    return [_row(line) for line in chosen]


def _names(line: dict[str, Any], request_id: str) -> bool:
    ids = line.get("request_ids", ())
    return line.get("request_id") == request_id or request_id in ids


def _row(line: dict[str, Any]) -> dict[str, Any]:
    hidden = ("time_s", "node_id", "message", "level", "request_id", "request_ids")
    fields = {name: value for name, value in line.items() if name not in hidden}
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
            # A collector may put its own words before the JSON object.
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
