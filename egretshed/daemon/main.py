"""Entry point of the daemon ``egretshedd``."""

import argparse
import asyncio
import gc
import os
import signal
import sys
from pathlib import Path
from typing import Protocol

from egretshed import __version__
from egretshed.errors import (
    ExitStatus,
    SettingsInvalid,
)
from egretshed.logs import log_event
from egretshed.settings.load import read_settings
from egretshed.settings.schema import Settings

SETTINGS_VARIABLE = "EGRETSHED_NODE_FILE"
# Interval at which the settings file is checked for changes made without a SIGHUP.
SETTINGS_POLL_PERIOD_S = 1.0


class RunnableNode(Protocol):
    """Node that the daemon starts and stops.

    `stop` returns the number of requests that were ended early. `hasten_stop` ends the
    running requests of a stop that has begun, with an answer. With `listens_at_start`
    requests may arrive before `start` has returned, and `stop` answers them.
    """

    listens_at_start: bool

    async def start(self) -> None: ...

    async def stop(self) -> int: ...

    def hasten_stop(self) -> None: ...


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="egretshedd",
        description="Run an entry node of egretshed.",
        epilog="Exit codes: 0 stopped gracefully, 2 no settings file given, 3 invalid "
        "settings, 8 requests were cancelled at shutdown.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"JSON settings file (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--check", action="store_true", help="Check the settings file and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args()


def main() -> None:
    arguments = parse_arguments()
    if arguments.settings is None:
        print(
            f"no settings file given: use --settings or set {SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        sys.exit(ExitStatus.USAGE)
    path = Path(arguments.settings)
    try:
        settings = read_settings(path)
    except SettingsInvalid as error:
        for fault in error.faults:
            print(f"{fault['path']}: {fault['message']}", file=sys.stderr)
        sys.exit(ExitStatus.BAD_SETTINGS)
    if arguments.check:
        sys.exit(ExitStatus.SUCCESS)
    sys.exit(asyncio.run(serve(settings, path)))


def make_node(settings: Settings):
    """Return an `EntryNode` if a listener for callers is set, otherwise a `Node`.

    Only the modules of the chosen class are imported.
    """
    if settings.listeners.callers:
        from egretshed.daemon.entry_node import EntryNode

        return EntryNode(settings)
    from egretshed.daemon.node import Node

    return Node(settings)


async def serve(settings: Settings, path: Path | None = None) -> ExitStatus:
    """Run a node until SIGTERM or SIGINT, or until a newer process supersedes it.

    A second signal hastens the graceful stop, which then ends the running requests.
    """
    stop = asyncio.Event()
    force_stop = asyncio.Event()

    def on_signal() -> None:
        (force_stop if stop.is_set() else stop).set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    node = make_node(settings)
    settings_task = asyncio.create_task(_watch_settings(node, path))
    start_task = asyncio.create_task(node.start())
    stop_signal_task = asyncio.create_task(stop.wait())
    await asyncio.wait(
        {start_task, stop_signal_task}, return_when=asyncio.FIRST_COMPLETED
    )
    if not start_task.done():
        start_task.cancel()
        await asyncio.wait({start_task})
        if node.listens_at_start:
            node.hasten_stop()
            await node.stop()
        return ExitStatus.SUCCESS
    start_task.result()
    # What the start has allocated stays, so the collector need not look at it again.
    gc.freeze()
    gc.enable()
    end_tasks = {stop_signal_task}
    if hasattr(node, "superseded"):
        end_tasks.add(asyncio.create_task(node.superseded.wait()))
    await asyncio.wait(end_tasks, return_when=asyncio.FIRST_COMPLETED)
    settings_task.cancel()
    return await _stop_node(node, force_stop)


async def _stop_node(node: RunnableNode, force_stop: asyncio.Event) -> ExitStatus:
    stop_task = asyncio.create_task(node.stop())
    force_task = asyncio.create_task(force_stop.wait())
    await asyncio.wait({stop_task, force_task}, return_when=asyncio.FIRST_COMPLETED)
    if not stop_task.done():
        node.hasten_stop()
    force_task.cancel()
    return ExitStatus.FAILED if await stop_task else ExitStatus.SUCCESS


async def _watch_settings(node, path: Path | None) -> None:
    """Reload the settings when the content of their file has changed.

    The file is read once every `SETTINGS_POLL_PERIOD_S` and on SIGHUP. Invalid settings
    are logged, and the current ones stay in use.
    """
    reload_signal = asyncio.Event()
    # Without a handler SIGHUP ends the process, and cuts its requests.
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload_signal.set)
    if path is None or not hasattr(node, "reload"):
        return
    last_content = _read_content(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_PERIOD_S):
                await reload_signal.wait()
        except TimeoutError:
            pass
        reload_signal.clear()
        content = _read_content(path)
        if content is None or content == last_content:
            continue
        last_content = content
        try:
            node.reload(read_settings(path))
        except SettingsInvalid as error:
            log_event(node.env.logger, "settings_not_reloaded", faults=error.faults)


def _read_content(path: Path) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError:
        return None


if __name__ == "__main__":
    main()
