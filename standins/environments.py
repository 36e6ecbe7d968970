"""Environments for tests: a given clock, a fixed seed and a logger without output."""

import io
import random
from typing import Any

from egretshed.clock import Clock
from egretshed.environment import (
    Environment,
    Identity,
)
from egretshed.logs import make_logger
from egretshed.metrics import Metrics
from egretshed.settings.load import check_settings
from egretshed.settings.schema import Settings


def make_settings(node_id: str = "entry-1", **sections: Any) -> Settings:
    """Return validated settings; each of `sections` replaces a whole section."""
    raw = {
        "node": {"node_id": node_id, "failure_domain": "a", "region": "r"},
        "platform": {"url": "http://127.0.0.1:1"},
        "peers": {"keys": ["test-key"]},
    }
    return check_settings({**raw, **sections}).default_with(_raise)


def _raise(error: Exception) -> Settings:
    raise error


def make_environment(
    clock: Clock,
    node_id: str = "entry-1",
    incarnation: int = 1,
    failure_domain: str = "a",
    region: str = "r",
    seed: int = 1,
    settings: Settings | None = None,
) -> Environment:
    """Return the environment of one node, which logs to a string buffer."""
    return Environment(
        clock=clock,
        random=random.Random(f"{seed}/{node_id}"),
        settings=settings or make_settings(node_id),
        logger=make_logger(node_id, stream=io.StringIO()),
        metrics=Metrics(),
        identity=Identity(
            node_id, incarnation, "127.0.0.1", 0, 0, failure_domain, region
        ),
    )
