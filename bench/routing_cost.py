"""Measures the CPU time of one routing decision by number of replicas in the pool.

A fake borrower has free slots on all replicas. The log lines of the decisions are
written to memory.

Example::

    PYTHONPATH=. python -m bench.routing_cost --replicas 6 18 144
"""

import argparse
import io
import statistics
import time

from egretshed.backends.interface import BackendResult
from egretshed.logs import make_logger
from egretshed.routing.records import StageCall
from egretshed.routing.router import Router
from standins.clock import ManualClock
from standins.environments import make_environment
from standins.fake_backends import FakeDirectory
from standins.fake_borrower import FakeBorrower
from standins.fake_membership import (
    FakeConfiguration,
    FakeMembership,
    make_configuration,
)

CALLS = 200
REPETITIONS = 5
US_PER_S = 1e6


class RoutingBenchmark:
    """A router over one pool, with its log lines."""

    def __init__(self, replicas: int):
        clock = ManualClock()
        self.log = io.StringIO()
        env = make_environment(clock)
        env = env._replace(logger=make_logger("entry-1", stream=self.log))
        replica_ids = [f"p-{n}" for n in range(replicas)]
        self.router = Router(
            env,
            FakeConfiguration(make_configuration(replicas)),
            FakeBorrower(clock, replica_ids),
            FakeMembership("entry-1", ["entry-1"]),
            FakeDirectory({}),
        )

    def run(self) -> float:
        """Return the mean CPU time of a decision in seconds."""
        started_s = time.process_time()
        for number in range(CALLS):
            self.decide(f"call-{number}")
        return (time.process_time() - started_s) / CALLS

    def decide(self, attempt_id: str) -> None:
        """Choose a replica and report the result of the call to the router."""
        call = StageCall("request", attempt_id, "customer", "generate", "p", 2.0, "p")
        decision = self.router.choose(call)
        result = BackendResult(attempt_id, {}, 0.1, 0.2, 9, 9)
        self.router.observe(decision, result, None)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--replicas", type=int, nargs="+", default=[6, 18, 144])
    options = parser.parse_args()
    print("replicas  us/decision (min to max)  log bytes/decision")
    for replicas in options.replicas:
        benchmark = RoutingBenchmark(replicas)
        times_us = [benchmark.run() * US_PER_S for _ in range(REPETITIONS)]
        log_bytes = len(benchmark.log.getvalue()) / (REPETITIONS * CALLS)
        print(
            f"{replicas:8d}  {statistics.median(times_us):.0f} "
            f"({min(times_us):.0f} to {max(times_us):.0f})  {log_bytes:.0f}"
        )


if __name__ == "__main__":
    main()
