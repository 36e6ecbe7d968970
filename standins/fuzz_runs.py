"""Command line shared by the hypothesis fuzz files."""

import argparse
import sys
import time
import traceback

from hypothesis import (
    HealthCheck,
    seed,
    settings,
)
from hypothesis.stateful import run_state_machine_as_test


def run_fuzz(machine: type, examples: int, steps: int) -> int:
    """Run `machine` and return the exit status; a failure prints its sequence.

    Without arguments the run is derandomised. ``--seconds N --seed S`` repeats it with
    the seeds S, S+1, ... until N seconds are over.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if not options.seconds:
        return _run(machine, _settings(examples, steps, derandomize=True))
    ends_s = time.monotonic() + options.seconds
    number = options.seed
    while time.monotonic() < ends_s:
        print(f"seed {number}", flush=True)
        seeded = seed(number)(type(machine.__name__, (machine,), {}))
        if _run(seeded, _settings(examples, steps, derandomize=False)):
            return 1
        number += 1
    return 0


def _settings(examples: int, steps: int, derandomize: bool) -> settings:
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=derandomize,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


def _run(machine: type, chosen: settings) -> int:
    try:
        run_state_machine_as_test(machine, settings=chosen)
    except Exception:
        traceback.print_exc(file=sys.stdout)
        return 1
    return 0
