"""Shared event loop for behave steps, and start of a `System` on it.

The `environment.py` of a tests folder imports `before_all` and `after_all`.
"""

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from standins.system import System

LAURENTIEN = Path(__file__).resolve().parent.parent / "examples" / "laurentien"
STEP_TIMEOUT_S = 60.0


def before_all(context: Any) -> None:
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)


def after_all(context: Any) -> None:
    context.loop.close()


def run(context: Any, coroutine: Coroutine) -> Any:
    """Return the coroutine's result; raise `TimeoutError` after `STEP_TIMEOUT_S`."""
    return context.loop.run_until_complete(asyncio.wait_for(coroutine, STEP_TIMEOUT_S))


def start_system(context: Any, nodes: int, **options: Any) -> System:
    """Start a `System` that is stopped when the scenario ends."""
    context.system = System(LAURENTIEN, nodes, **options)
    run(context, context.system.__aenter__())
    context.add_cleanup(lambda: run(context, context.system.__aexit__()))
    return context.system
