"""Registry of platform adapters, one module per platform protocol."""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.platform.interface import Platform
from egretshed.registry import Registry

PLATFORM_ADAPTERS: Registry[Callable[[Environment], Platform]] = Registry(
    "platform adapter"
)


def connect_platform(env: Environment) -> Platform:
    """Return the platform of the adapter named in the settings."""
    from egretshed.platform import http_json  # noqa: F401  registers the adapter

    return PLATFORM_ADAPTERS.get(env.settings.platform.adapter)(env)
