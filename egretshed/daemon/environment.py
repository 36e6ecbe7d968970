"""Builds the environment of a process, with a unique incarnation."""

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
    """Return the environment of this process with a new incarnation.

    The incarnation is the wall-clock time in milliseconds followed by random bits, so
    that it rises with each restart and is not reused.
    """
    clock = SystemClock()
    random_source = random.Random()
    wall_ms = int(clock.wall_s() * 1000)
    incarnation = (wall_ms << INCARNATION_RANDOM_BITS) | random_source.getrandbits(
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
    return Environment(clock, random_source, settings, logger, Metrics(), identity)
