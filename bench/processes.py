"""Subprocesses of a run, which are signalled by process id."""

import asyncio
import os
import signal
import subprocess
from pathlib import Path

from egretshed.clock import Clock

POLL_S = 0.05
KILL_WAIT_S = 5.0


class ProcessNotReady(Exception):
    """A process exited or was not ready in time; the text has its last log lines."""


class ManagedProcess:
    """A subprocess whose output goes to a log file."""

    def __init__(self, clock: Clock, name: str, command: list[str], log: Path):
        self.clock = clock
        self.name = name
        self.log = log
        self._stop_requested = False
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                command, stdout=output, stderr=output, stdin=subprocess.DEVNULL
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def wait(self, limit_s: float) -> int | None:
        """Return the exit code, or None if the process is running after `limit_s`."""
        end_s = self.clock.monotonic_s() + limit_s
        while self.process.poll() is None and self.clock.monotonic_s() < end_s:
            await asyncio.sleep(POLL_S)
        return self.process.poll()

    async def stop(self, limit_s: float) -> int:
        """Send SIGTERM, and SIGKILL if the process is running after `limit_s`.

        Returns the exit code.
        """
        self.request_stop()
        return await self.wait_or_kill(limit_s)

    def request_stop(self) -> None:
        """Send SIGTERM at most once, after SIGCONT in case the process is paused.

        A second SIGTERM makes the daemon exit at once and cut off running requests.
        """
        if not self._stop_requested:
            self._stop_requested = True
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)

    def interrupt(self) -> None:
        """Send SIGINT, so that a Python program runs its `finally` blocks."""
        self.signal(signal.SIGINT)

    async def wait_or_kill(self, limit_s: float) -> int:
        """Return the exit code; the process is killed after `limit_s`."""
        status = await self.wait(limit_s)
        return await self.kill() if status is None else status

    async def kill(self) -> int:
        self.signal(signal.SIGKILL)
        return await self.wait(KILL_WAIT_S)

    async def wait_until(self, is_ready, limit_s: float) -> None:
        """Poll the coroutine function `is_ready` until it returns True.

        Raises `ProcessNotReady` after `limit_s`, or if the process exits before.
        """
        end_s = self.clock.monotonic_s() + limit_s
        while not await is_ready():
            if self.process.poll() is not None:
                raise ProcessNotReady(
                    f"{self.name} exited before it was ready:\n{self.log_tail()}"
                )
            if self.clock.monotonic_s() > end_s:
                raise ProcessNotReady(
                    f"{self.name} was not ready in {limit_s:g} s:\n{self.log_tail()}"
                )
            await asyncio.sleep(POLL_S)

    def log_tail(self, lines: int = 20) -> str:
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])


async def stop_all(
    processes: dict[str, ManagedProcess], limit_s: float
) -> dict[str, int]:
    """Stop all processes concurrently; return their exit codes by name."""
    for process in processes.values():
        process.request_stop()
    return {
        name: await process.wait_or_kill(limit_s) for name, process in processes.items()
    }
