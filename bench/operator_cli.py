"""Runs the command-line tool `egretshed` as operators do, a process per command."""

import asyncio
import os
import sys
from collections.abc import Callable
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from bench.http_stream import Address

COMMAND = (sys.executable, "-m", "egretshed.cli.main")
LIMIT_S = 30.0
SUCCESS = 0


class ToolResult(NamedTuple):
    """`body` is the printed JSON; on a failure it is the error's."""

    status: int
    body: Any


class OperatorCli:
    """One operator with a key and the addresses of some nodes.

    Example::

        tool = OperatorCli(cluster.entry_addresses(), "operator-planner-sample-key")
        result = await tool.run("domain", "out", "qc-east-1")
    """

    def __init__(self, nodes: list[Address], key: str):
        self.nodes = nodes
        self.key = key

    async def run(self, *arguments: str) -> ToolResult:
        """Return what the command printed; a command is ended after `LIMIT_S`."""
        process = await self._start("--format", "json", *arguments)
        try:
            async with asyncio.timeout(LIMIT_S):
                output, error = await process.communicate()
        finally:
            _end(process)
        try:
            return ToolResult(process.returncode, msgspec.json.decode(output))
        except msgspec.DecodeError:
            text = (output + error).decode(errors="replace").strip()
            return ToolResult(process.returncode, {"message": text})

    async def follow(
        self, on_line: Callable[[str], None], limit_s: float, *arguments: str
    ) -> int:
        """Give each line to `on_line` as it is printed; return the exit status."""
        process = await self._start(*arguments)
        try:
            async with asyncio.timeout(limit_s):
                async for line in process.stdout:
                    on_line(line.decode().rstrip())
                return await process.wait()
        finally:
            _end(process)

    async def _start(self, *arguments: str) -> asyncio.subprocess.Process:
        urls = ",".join(f"http://{node.host}:{node.port}" for node in self.nodes)
        variables = {"EGRETSHED_NODES": urls, "EGRETSHED_KEY": self.key}
        return await asyncio.create_subprocess_exec(
            *COMMAND,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **variables, "PYTHONUNBUFFERED": "1"},
        )


def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
