import asyncio
import json

from behave import (
    then,
    when,
)

from bench.platform_soak import (
    KEPT_SEEDS_FILE,
    run_seed,
)


@when("the platform soak runs seed {seed:d} for {seconds:d} s with {nodes:d} nodes")
def run_one_seed(context, seed, seconds, nodes):
    context.passed = asyncio.run(run_seed(seed, seconds, nodes))


@when("the platform soak runs the kept seeds")
def run_kept_seeds(context):
    kept = json.loads(KEPT_SEEDS_FILE.read_text())
    context.passed = all(
        asyncio.run(run_seed(entry["seed"], entry["seconds"], entry["nodes"]))
        for entry in kept
    )


@then("no guarantee was violated")
def no_violation(context):
    assert context.passed
