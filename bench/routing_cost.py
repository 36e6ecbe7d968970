"""Measures the CPU of one routing decision by number of replicas in the pool.

The borrower is a fake with free slots on all replicas; the decision's log line goes to
memory.

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
REPEATS = 5
MICROSECONDS_PER_S = 1e6


class Decisions:
    """A router over one pool and the log lines that it wrote."""

    def __init__(self, replicas: int):
        clock = ManualClock()
        self.log = io.StringIO()
        env = make_environment(clock)
        env = env._replace(logger=make_logger("entry-1", stream=self.log))
        names = [f"p-{n}" for n in range(replicas)]
        self.router = Router(
            env,
            FakeConfiguration(make_configuration(replicas)),
            FakeBorrower(clock, names),
            FakeMembership("entry-1", ["entry-1"]),
            FakeDirectory({}),
        )

    def run(self) -> float:
        """Return the CPU of a decision in seconds."""
        began_s = time.process_time()
        for number in range(CALLS):
            self.one(f"call-{number}")
        return (time.process_time() - began_s) / CALLS

    def one(self, attempt_id: str) -> None:
        call = StageCall("request", attempt_id, "customer", "generate", "p", 2.0, "p")
        decision = self.router.choose(call)
        result = BackendResult(attempt_id, {}, 0.1, 0.2, 9, 9)
        self.router.observe(decision, result, None)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--replicas", type=int, nargs="+", default=[6, 18, 144])
    options = parser.parse_args()
    print("replicas  us/decision (fewest to most)  log bytes/decision")
    for replicas in options.replicas:
        decisions = Decisions(replicas)
        times = [decisions.run() * MICROSECONDS_PER_S for _ in range(REPEATS)]
        size_bytes = len(decisions.log.getvalue()) / (REPEATS * CALLS)
        print(
            f"{replicas:8d}  {statistics.median(times):.0f} "
            f"({min(times):.0f} to {max(times):.0f})  {size_bytes:.0f}"
        )


if __name__ == "__main__":
    main()
