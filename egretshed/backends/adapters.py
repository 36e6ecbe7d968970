"""Registry of backend adapters, one class per wire protocol of backend servers."""

from egretshed.backends.interface import Backend
from egretshed.configuration.schema import (
    Pool,
    Replica,
)
from egretshed.environment import Environment
from egretshed.registry import Registry

BACKEND_ADAPTERS: Registry[type[Backend]] = Registry("backend adapter")


def connect_backend(env: Environment, pool: Pool, replica: Replica) -> Backend:
    """Return a client of the replica, using the adapter that its pool declares."""
    from egretshed.backends import (  # noqa: F401  adapters register themselves
        openai_completions,
        plain_json,
    )

    return BACKEND_ADAPTERS.get(pool.adapter)(env, pool, replica)
