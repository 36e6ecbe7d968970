"""Registry of platform adapters; each users' platform protocol is one module here."""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.platform.interface import Platform
from egretshed.registry import Registry

PLATFORM_ADAPTERS: Registry[Callable[[Environment], Platform]] = Registry(
    "platform adapter"
)


def connect_platform(env: Environment) -> Platform:
    """Return the platform that the settings name."""
    from egretshed.platform import http_json  # noqa: F401  registers itself

    return PLATFORM_ADAPTERS.get(env.settings.platform.adapter)(env)
