"""Clients of all declared replicas, rebuilt when the configuration changes."""

from typing import NamedTuple

from egretshed.backends.adapters import connect_backend
from egretshed.backends.interface import Backend
from egretshed.configuration.schema import (
    Configuration,
    Pool,
    Replica,
)
from egretshed.environment import Environment
from egretshed.errors import NotFound


class DirectoryEntry(NamedTuple):
    pool_name: str
    pool: Pool
    replica: Replica
    backend: Backend


class BackendDirectory:
    """Finds the client of a replica by its id."""

    def __init__(self, env: Environment, configuration) -> None:
        self.env = env
        self._entries: dict[str, DirectoryEntry] = {}
        configuration.subscribe(self.rebuild)
        self.rebuild(configuration.current)

    def rebuild(self, configuration: Configuration) -> None:
        """Replace all entries; clients with the same URL and adapter are reused."""
        entries = {}
        for pool_name, pool in configuration.pools.items():
            for replica in pool.replicas:
                entries[replica.replica_id] = self._entry(pool_name, pool, replica)
        self._entries = entries

    def get(self, replica_id: str) -> Backend:
        return self.entry(replica_id).backend

    def replica(self, replica_id: str) -> Replica:
        return self.entry(replica_id).replica

    def pool_of(self, replica_id: str) -> str:
        return self.entry(replica_id).pool_name

    def entry(self, replica_id: str) -> DirectoryEntry:
        try:
            return self._entries[replica_id]
        except KeyError:
            raise NotFound(f"replica {replica_id!r} is not declared") from None

    def _entry(self, pool_name: str, pool: Pool, replica: Replica) -> DirectoryEntry:
        previous = self._entries.get(replica.replica_id)
        if previous and (previous.replica.url, previous.pool.adapter) == (
            replica.url,
            pool.adapter,
        ):
            return DirectoryEntry(pool_name, pool, replica, previous.backend)
        return DirectoryEntry(
            pool_name, pool, replica, connect_backend(self.env, pool, replica)
        )
