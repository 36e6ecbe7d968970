"""Runs the simulated platform and backend servers of a deployment in one process.

`python -m standins.serve --deployment examples/laurentien --write urls.json` writes
``{"platform": URL, "replicas": {replica_id: URL}}`` once all servers accept
connections, and stops on SIGTERM or SIGINT. To split a deployment between several
processes, `--pool` selects pools and `--no-platform` omits the platform.
"""

import argparse
import asyncio
import os
import signal
from pathlib import Path

import msgspec

from standins.backend_spec import BackendSpec
from standins.backends import BackendServer
from standins.deployment import backend_specs
from standins.platform import PlatformServer


class StandinHost:
    """Starts and stops the simulated servers of one process."""

    def __init__(self, specs: list[BackendSpec], with_platform: bool, seed: int = 1):
        self.backends = [BackendServer(spec, seed=seed) for spec in specs]
        self.platform = PlatformServer(seed=seed) if with_platform else None

    async def start(self) -> None:
        if self.platform is not None:
            await self.platform.start()
        for backend in self.backends:
            await backend.start()

    async def stop(self) -> None:
        for backend in self.backends:
            await backend.stop()
        if self.platform is not None:
            await self.platform.stop()

    def urls(self) -> dict:
        return {
            "platform": self.platform.url if self.platform else None,
            "replicas": {b.spec.replica_id: b.url for b in self.backends},
        }


def write_atomically(path: Path, body: bytes) -> None:
    """Write a file by renaming, so that a reader never sees it incomplete."""
    partial = path.with_suffix(".partial")
    partial.write_bytes(body)
    os.replace(partial, path)


async def serve(host: StandinHost, path: Path) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await host.start()
    write_atomically(path, msgspec.json.encode(host.urls()))
    await stopped.wait()
    await host.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, required=True)
    parser.add_argument("--write", type=Path, required=True)
    parser.add_argument(
        "--pool", action="append", help="serve only this pool; can be repeated"
    )
    parser.add_argument("--no-platform", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    specs = backend_specs(options.deployment)
    if options.pool:
        specs = [spec for spec in specs if spec.pool in options.pool]
    host = StandinHost(specs, not options.no_platform, options.seed)
    asyncio.run(serve(host, options.write))


if __name__ == "__main__":
    main()
