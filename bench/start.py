"""Starts a deployment on this machine and leaves it running until Ctrl-C.

`python -m bench.start --deployment examples/laurentien --nodes 3` prints shell lines
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


def shell_lines(cluster: Cluster, deployment: Path) -> list[str]:
    """Return the lines to paste: nodes' URLs and sample keys."""
    urls = [f"http://{host}:{port}" for host, port in cluster.entries()]
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
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    kinds = read_deployment(deployment).kinds
    with tempfile.TemporaryDirectory(prefix="egretshed-") as folder:
        cluster = Cluster(deployment, nodes, Path(folder), seed)
        await cluster.start()
        try:
            print("\n".join(shell_lines(cluster, deployment)))
            print(f"# kinds of request: {', '.join(sorted(kinds))}")
            print("# Ctrl-C stops everything.", flush=True)
            await stopped.wait()
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
