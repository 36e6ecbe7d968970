"""Starts a deployment on the local machine and runs it until interrupted.

`python -m bench.start --deployment examples/laurentien --nodes 3` prints shell commands
that set the variables used in README.md.
"""

import argparse
import asyncio
import signal
import tempfile
from pathlib import Path

import msgspec

from bench.cluster import Cluster
from bench.schedule import read_deployment


def shell_exports(cluster: Cluster, deployment: Path) -> list[str]:
    """Return shell commands that export the nodes' URLs and the sample keys."""
    urls = [f"http://{host}:{port}" for host, port in cluster.entry_addresses()]
    keys = msgspec.json.decode((deployment / "sample_keys.json").read_bytes())
    customer, customer_key = next(iter(keys["customers"].items()))
    operator, operator_key = next(iter(keys["operators"].items()))
    return [
        f"export NODE={urls[0]} OTHER_NODE={urls[-1]}",
        f"export EGRETSHED_NODES={','.join(urls)}",
        f"export KEY={customer_key}  # customer {customer}",
        f"export OPERATOR_KEY={operator_key}  # operator {operator}",
    ]


async def run(deployment: Path, nodes: int, seed: int) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    kinds = read_deployment(deployment).kinds
    with tempfile.TemporaryDirectory(prefix="egretshed-") as folder:
        cluster = Cluster(deployment, nodes, Path(folder), seed)
        await cluster.start()
        try:
            print("\n".join(shell_exports(cluster, deployment)))
            print(f"# kinds of request: {', '.join(sorted(kinds))}")
            print("# Press Ctrl-C to stop all processes.", flush=True)
            await stop_requested.wait()
        finally:
            await cluster.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, required=True)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    asyncio.run(run(options.deployment, options.nodes, options.seed))


if __name__ == "__main__":
    main()
