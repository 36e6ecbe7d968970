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


@when("the platform soak plays seed {seed:d} for {seconds:d} s with {nodes:d} nodes")
def play(context, seed, seconds, nodes):
    context.held = asyncio.run(run_seed(seed, seconds, nodes))


@when("the platform soak plays the kept seeds")
def play_kept(context):
    kept = json.loads(KEPT_SEEDS_FILE.read_text())
    context.held = all(
        asyncio.run(run_seed(entry["seed"], entry["seconds"], entry["nodes"]))
        for entry in kept
    )


@then("no promise was broken")
def held(context):
    assert context.held
