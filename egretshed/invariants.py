"""Invariants that are checked at state changes, also in production.

A violation is counted and logged. The state change that would violate the invariant
does not happen, because `require` raises before the caller applies it.
"""

import logging
from typing import Any

from egretshed.environment import Environment
from egretshed.errors import InvariantViolated
from egretshed.logs import log_event


def require(env: Environment, holds: bool, invariant: str, **fields: Any) -> None:
    """Raise `InvariantViolated` unless `holds`.

    `invariant` starts with the guarantee that it protects, for example
    ``P2_admission_limit``.
    """
    if holds:
        return
    env.metrics.counter(
        "invariant_violations_total", "Promises about to be broken", ("invariant",)
    ).labels(invariant).inc()
    log_event(
        env.logger,
        "invariant_violated",
        level=logging.ERROR,
        invariant=invariant,
        **fields,
    )
    raise InvariantViolated(f"invariant {invariant} violated", invariant=invariant)
