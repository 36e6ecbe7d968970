"""Runs the command-line tool in this process and keeps what it prints."""

import io
import json
from collections.abc import Callable
from typing import NamedTuple

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from egretshed.cli.environment import CliEnvironment
from egretshed.cli.main import run
from egretshed.errors import ExitStatus


class ToolResult(NamedTuple):
    status: ExitStatus
    stdout: str
    stderr: str


async def run_tool(
    argv: list[str], variables: dict[str, str], now: Callable[[], float]
) -> ToolResult:
    http = SimpleAsyncHTTPClient(force_instance=True)
    out, err = io.StringIO(), io.StringIO()
    status = await run(argv, CliEnvironment(out, err, http, now, variables))
    return ToolResult(status, out.getvalue(), err.getvalue())


def plan_names(result: ToolResult) -> dict[str, str]:
    """Return the id and digest of a plan printed as JSON, under PLAN and DIGEST."""
    if not (result.stdout.startswith("{") and '"digest"' in result.stdout):
        return {}
    plan = json.loads(result.stdout)
    return {"PLAN": plan["plan_id"], "DIGEST": plan["digest"]}
