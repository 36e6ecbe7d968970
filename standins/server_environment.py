"""Environment of an HTTP server that runs without a node."""

import logging
from typing import NamedTuple

from egretshed.clock import SystemClock


class ServerEnvironment(NamedTuple):
    """The parts of an environment that HTTP servers use."""

    clock: SystemClock
    logger: logging.Logger
