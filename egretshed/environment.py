"""What every slice is given: clock, random source, settings, logger and metrics."""

import random
from logging import Logger
from typing import NamedTuple

from egretshed.clock import Clock
from egretshed.metrics import Metrics
from egretshed.settings.schema import Settings


class Identity(NamedTuple):
    """Who this process is.

    `incarnation` is chosen at process start and never reused: a VM that restarts under
    the same `node_id` has a higher one.
    """

    node_id: str
    incarnation: int
    host: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str


class Environment(NamedTuple):
    """Dependencies passed to every slice; nothing is global."""

    clock: Clock
    random: random.Random
    settings: Settings
    logger: Logger
    metrics: Metrics
    identity: Identity
