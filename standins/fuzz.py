"""Runs a hypothesis state machine as a script, fixed in CI or for a given time."""

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
    """Exit 0 if no sequence of rules breaks the machine's invariants."""
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
    end_s = time.monotonic() + seconds
    number = first_seed
    while time.monotonic() < end_s:
        print(f"seed {number}", flush=True)
        seeded = hypothesis_seed(number)(type(machine.__name__, (machine,), {}))
        run_once(seeded, examples, steps, derandomize=False)
        number += 1
