"""Entry point of the daemon ``egretshedd``."""

import argparse
import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Protocol

from egretshed import __version__
from egretshed.errors import ExitStatus
from egretshed.logs import log_event
from egretshed.settings.load import load_settings
from egretshed.settings.schema import Settings

SETTINGS_VARIABLE = "EGRETSHED_NODE_FILE"
# How often the settings file is looked at; it may change without a signal.
SETTINGS_POLL_S = 1.0


class Stoppable(Protocol):
    """A node that can be run by this daemon."""

    async def start(self) -> None: ...

    async def stop(self) -> int: ...


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="egretshedd",
        description="Serve as one entry node of egretshed.",
        epilog="Exit codes: 0 stopped gracefully, 3 bad settings, 8 requests were cut "
        "at shutdown.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"JSON settings file; {SETTINGS_VARIABLE} names it otherwise",
    )
    parser.add_argument(
        "--check", action="store_true", help="Check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args()


def main() -> None:
    arguments = parse_arguments()
    if arguments.settings is None:
        print("no settings file is given", file=sys.stderr)
        sys.exit(ExitStatus.USAGE)
    path = Path(arguments.settings)
    result = load_settings(path)
    if result.is_error():
        for fault in result.error.faults:
            print(f"{fault['path']}: {fault['message']}", file=sys.stderr)
        sys.exit(ExitStatus.BAD_SETTINGS)
    if arguments.check:
        sys.exit(ExitStatus.SUCCESS)
    sys.exit(asyncio.run(serve(result.ok, path)))


def make_node(settings: Settings):
    """Return the node that the settings ask for; only its slices are imported."""
    if settings.listeners.callers:
        from egretshed.daemon.entry_node import EntryNode

        return EntryNode(settings)
    from egretshed.daemon.node import Node

    return Node(settings)


async def serve(settings: Settings, path: Path | None = None) -> ExitStatus:
    """Run a node until SIGTERM or SIGINT; a second signal ends it at once."""
    stop = asyncio.Event()
    stop_now = asyncio.Event()

    def on_signal() -> None:
        (stop_now if stop.is_set() else stop).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    node = make_node(settings)
    watching = asyncio.create_task(_watch_settings(node, path))
    starting = asyncio.create_task(node.start())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
        return ExitStatus.SUCCESS
    starting.result()
    waiting = {stopping}
    if hasattr(node, "superseded"):
        waiting.add(asyncio.create_task(node.superseded.wait()))
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    watching.cancel()
    return await _stop(node, stop_now)


async def _stop(node: Stoppable, stop_now: asyncio.Event) -> ExitStatus:
    graceful = asyncio.create_task(node.stop())
    forced = asyncio.create_task(stop_now.wait())
    await asyncio.wait({graceful, forced}, return_when=asyncio.FIRST_COMPLETED)
    if graceful.done():
        return ExitStatus.FAILED if graceful.result() else ExitStatus.SUCCESS
    graceful.cancel()
    if not hasattr(node, "runner") or not hasattr(node.runner, "drain"):
        return ExitStatus.FAILED
    running = node.runner.running_count()
    cut = await node.runner.drain(0.0)
    log_event(node.env.logger, "node_stopped", requests_cut=cut, running=running)
    return ExitStatus.FAILED if cut else ExitStatus.SUCCESS


async def _watch_settings(node, path: Path | None) -> None:
    """Reload the settings on SIGHUP and when their file changes."""
    if path is None or not hasattr(node, "reload"):
        return
    signalled = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, signalled.set)
    known = _content(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await signalled.wait()
        except TimeoutError:
            pass
        signalled.clear()
        content = _content(path)
        if content is None or content == known:
            continue
        known = content
        result = load_settings(path)
        if result.is_error():
            log_event(
                node.env.logger, "settings_not_reloaded", faults=result.error.faults
            )
        else:
            node.reload(result.ok)


def _content(path: Path) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError:
        return None


if __name__ == "__main__":
    main()
