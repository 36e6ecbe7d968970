"""Runs a hypothesis state machine from the command line of a fuzz file.

Without options the run is the same every time. ``--seconds N --seed S`` repeats it with
the seeds S, S+1, ... and prints each. Hypothesis prints the shortest failing sequence.
"""

import argparse
import time
import traceback

from hypothesis import (
    HealthCheck,
    seed,
    settings,
)
from hypothesis.stateful import (
    RuleBasedStateMachine,
    run_state_machine_as_test,
)


def run_fuzz(machine: type[RuleBasedStateMachine], examples: int, steps: int) -> int:
    """Return the exit status: 1 if a sequence broke the oracle."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.seconds is None:
        return _run_once(machine, _settings(examples, steps, derandomize=True))
    end_s = time.monotonic() + options.seconds
    number = options.seed
    while time.monotonic() < end_s:
        print(f"seed {number}", flush=True)
        seed(number)(machine)
        if _run_once(machine, _settings(examples, steps, derandomize=False)):
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


def _run_once(machine: type[RuleBasedStateMachine], options: settings) -> int:
    try:
        run_state_machine_as_test(machine, settings=options)
    except Exception:
        traceback.print_exc()
        return 1
    return 0
