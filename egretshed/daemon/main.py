"""Entry point of the daemon ``egretshedd``."""

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from egretshed import __version__
from egretshed.daemon.node import Node
from egretshed.errors import ExitStatus
from egretshed.logs import log_event
from egretshed.settings.load import load_settings
from egretshed.settings.schema import Settings


@cappa.command(name="egretshedd")
@dataclass
class Arguments:
    """Serve as one entry node of egretshed.

    Exit codes: 0 stopped gracefully, 3 bad settings, 8 requests were cut at shutdown.
    """

    settings: Annotated[Path, cappa.Arg(long=True, help="JSON settings file")]
    check: Annotated[bool, cappa.Arg(long=True, help="Check the settings and exit")] = (
        False
    )


def main() -> None:
    arguments = cappa.parse(Arguments, version=__version__)
    result = load_settings(arguments.settings)
    if result.is_error():
        for fault in result.error.faults:
            print(f"{fault['path']}: {fault['message']}", file=sys.stderr)
        sys.exit(ExitStatus.BAD_SETTINGS)
    if arguments.check:
        sys.exit(ExitStatus.SUCCESS)
    sys.exit(asyncio.run(serve(result.ok)))


async def serve(settings: Settings) -> ExitStatus:
    """Run a node until SIGTERM or SIGINT; a second signal ends it at once."""
    stop = asyncio.Event()
    stop_now = asyncio.Event()

    def on_signal() -> None:
        (stop_now if stop.is_set() else stop).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    node = Node(settings)
    starting = asyncio.create_task(node.start())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
        return ExitStatus.SUCCESS
    starting.result()
    superseded = asyncio.create_task(node.superseded.wait())
    await asyncio.wait({stopping, superseded}, return_when=asyncio.FIRST_COMPLETED)
    return await _stop(node, stop_now)


async def _stop(node: Node, stop_now: asyncio.Event) -> ExitStatus:
    graceful = asyncio.create_task(node.stop())
    forced = asyncio.create_task(stop_now.wait())
    await asyncio.wait({graceful, forced}, return_when=asyncio.FIRST_COMPLETED)
    if graceful.done():
        return ExitStatus.FAILED if graceful.result() else ExitStatus.SUCCESS
    graceful.cancel()
    running = node.runner.running_count()
    cut = await node.runner.drain(0.0)
    log_event(node.env.logger, "node_stopped", requests_cut=cut, running=running)
    return ExitStatus.FAILED if cut else ExitStatus.SUCCESS
