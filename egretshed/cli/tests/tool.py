"""Runs the command-line tool in the test process and captures its output."""

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
    stdout, stderr = io.StringIO(), io.StringIO()
    status = await run(argv, CliEnvironment(stdout, stderr, http, now, variables))
    return ToolResult(status, stdout.getvalue(), stderr.getvalue())


def plan_placeholders(result: ToolResult) -> dict[str, str]:
    """Return the values of the placeholders PLAN and DIGEST in later commands.

    They are the id and the digest of a plan that was printed as JSON. Any other output
    sets no placeholders.
    """
    if not (result.stdout.startswith("{") and '"digest"' in result.stdout):
        return {}
    plan = json.loads(result.stdout)
    return {"PLAN": plan["plan_id"], "DIGEST": plan["digest"]}
