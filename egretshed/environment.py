"""Dependencies of all components: clock, random source, settings, logger, metrics."""

import random
from logging import Logger
from typing import NamedTuple

from egretshed.clock import Clock
from egretshed.metrics import Metrics
from egretshed.settings.schema import Settings


class Identity(NamedTuple):
    """Identity of this process.

    `incarnation` is chosen at process start and never reused: after a restart under the
    same `node_id` it is higher.
    """

    node_id: str
    incarnation: int
    host: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str


class Environment(NamedTuple):
    """Dependencies passed to every component instead of global state."""

    clock: Clock
    random: random.Random
    settings: Settings
    logger: Logger
    metrics: Metrics
    identity: Identity
