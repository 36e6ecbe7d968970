"""Writes the initial configuration of a run to the platform's table."""

import logging
from typing import Any

from egretshed.clock import SystemClock
from egretshed.configuration.schema import (
    ObjectBody,
    ObjectId,
)
from egretshed.configuration.service import ConfigurationService
from egretshed.daemon.node import make_environment
from egretshed.membership.service import MembershipService
from egretshed.platform.adapters import connect_platform
from egretshed.settings.load import check_settings
from standins.peers import InMemoryNetwork

NO_VERSION = 0


async def write_first_configuration(
    settings: dict[str, Any], objects: dict[ObjectId, ObjectBody]
) -> int:
    """Write `objects` as version 1 and return that version.

    The write goes through a configuration service of its own, not through a node.
    """
    checked = check_settings(settings)
    if checked.is_error():
        raise checked.error
    env = make_environment(checked.ok, 0, 0)
    env.logger.setLevel(logging.ERROR)
    peers = InMemoryNetwork(SystemClock()).attach(env)
    platform = connect_platform(env)
    membership = MembershipService(env, platform, peers)
    service = ConfigurationService(env, platform, peers, membership)
    return await service.change(
        NO_VERSION, dict(objects), "bootstrap", "first configuration"
    )
