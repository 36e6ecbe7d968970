"""The environment of one process, with an incarnation that is never used again."""

import random

from egretshed.clock import SystemClock
from egretshed.environment import (
    Environment,
    Identity,
)
from egretshed.logs import make_logger
from egretshed.metrics import Metrics
from egretshed.settings.schema import Settings

INCARNATION_RANDOM_BITS = 10


def make_environment(
    settings: Settings, peer_port: int, http_port: int, log_stream=None
) -> Environment:
    """Return this process's environment with a new incarnation."""
    clock = SystemClock()
    source = random.Random()
    milliseconds = int(clock.wall_s() * 1000)
    incarnation = (milliseconds << INCARNATION_RANDOM_BITS) | source.getrandbits(
        INCARNATION_RANDOM_BITS
    )
    node = settings.node
    identity = Identity(
        node_id=node.node_id,
        incarnation=incarnation,
        host=node.host,
        peer_port=peer_port,
        http_port=http_port,
        failure_domain=node.failure_domain,
        region=node.region,
    )
    logger = make_logger(node.node_id, settings.log_level, log_stream)
    return Environment(clock, source, settings, logger, Metrics(), identity)
