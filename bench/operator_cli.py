"""Runs commands of the `egretshed` command-line tool, each in a subprocess."""

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
COMMAND_TIMEOUT_S = 30.0
SUCCESS = 0


class CommandResult(NamedTuple):
    """Exit status and output of a command.

    `body` is the JSON that it printed; for other output it has the text as `message`.
    """

    status: int
    body: Any


class OperatorCli:
    """Runs the tool with the key of one operator and the addresses of some nodes.

    Example::

        cli = OperatorCli(cluster.entry_addresses(), "operator-planner-sample-key")
        result = await cli.run("domain", "out", "qc-east-1")
    """

    def __init__(self, nodes: list[Address], key: str):
        self.nodes = nodes
        self.key = key

    async def run(self, *arguments: str) -> CommandResult:
        """Run a command and return its result.

        The process is killed and `TimeoutError` raised after `COMMAND_TIMEOUT_S`.
        """
        process = await self._start("--format", "json", *arguments)
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                output, error = await process.communicate()
        finally:
            _kill_if_running(process)
        try:
            return CommandResult(process.returncode, msgspec.json.decode(output))
        except msgspec.DecodeError:
            text = (output + error).decode(errors="replace").strip()
            return CommandResult(process.returncode, {"message": text})

    async def follow(
        self, on_line: Callable[[str], None], limit_s: float, *arguments: str
    ) -> int:
        """Pass each printed line to `on_line`; return the exit status.

        The process is killed and `TimeoutError` raised after `limit_s`.
        """
        process = await self._start(*arguments)
        try:
            async with asyncio.timeout(limit_s):
                async for line in process.stdout:
                    on_line(line.decode().rstrip())
                return await process.wait()
        finally:
            _kill_if_running(process)

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


def _kill_if_running(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
