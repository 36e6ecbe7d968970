"""Command line of the fuzz tests, which are hypothesis state machines.

By default the examples are derandomised, as in CI. With ``--seconds`` the machine is
run with one seed after another, starting at ``--seed``, until that time has passed.
"""

import argparse
import sys
import time
import traceback

from hypothesis import (
    HealthCheck,
    seed as hypothesis_seed,
    settings,
)
from hypothesis.stateful import run_state_machine_as_test

CI_EXAMPLES = 100
CI_STEPS = 40


def fuzz_main(machine: type, examples: int = CI_EXAMPLES, steps: int = CI_STEPS):
    """Run the machine; exit with status 1 if a sequence of rules fails."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    try:
        if options.seconds:
            run_for(machine, options.seconds, options.seed, examples, steps)
        else:
            run_once(machine, examples, steps, derandomize=True)
    except Exception:
        traceback.print_exc()
        sys.exit(1)
    print(f"{machine.__name__}: no failing sequence found")


def run_once(machine: type, examples: int, steps: int, derandomize: bool) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=derandomize,
            database=None,
            deadline=None,
            print_blob=True,
            suppress_health_check=list(HealthCheck),
        ),
    )


def run_for(machine: type, seconds: float, first_seed: int, examples, steps) -> None:
    """Run with consecutive seeds; no new seed is started after `seconds`."""
    end_s = time.monotonic() + seconds
    seed = first_seed
    while time.monotonic() < end_s:
        print(f"seed {seed}", flush=True)
        seeded = hypothesis_seed(seed)(type(machine.__name__, (machine,), {}))
        run_once(seeded, examples, steps, derandomize=False)
        seed += 1
