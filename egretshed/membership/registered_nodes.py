"""List of the entry nodes, kept by the nodes themselves in the platform's store.

A node writes its row at start and removes it when it leaves permanently. The list holds
the nodes that may exist; which of them are alive is determined by probes.
"""

import msgspec

from egretshed.environment import Environment
from egretshed.errors import (
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.logs import log_event
from egretshed.platform.interface import ListedVm
from egretshed.platform.store import (
    RowStore,
    RowWrite,
)

NODE_TABLE = "egretshed_nodes"
ENTRY_ROLE = "entry"
# Mean delay before a node retries an unconfirmed write of its row.
REGISTER_RETRY_S = 0.3


class _NodeWire(msgspec.Struct):
    host: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str
    cores: float = 1.0
    link_mbps: float = 1000.0


class RegisteredNodes:
    """`VmList` read from the rows that the nodes write."""

    def __init__(self, env: Environment, store: RowStore):
        self.env = env
        self.store = store

    async def read(self) -> list[ListedVm]:
        """Return the registered nodes; undecodable rows are logged and skipped.

        Raises `PlatformUnavailable`.
        """
        changes = await self.store.read_table(NODE_TABLE)
        listed = []
        for row in changes.rows:
            try:
                node = msgspec.json.decode(row.value or b"", type=_NodeWire)
            except msgspec.DecodeError as error:
                log_event(
                    self.env.logger, "node_row_ignored", key=row.key, reason=str(error)
                )
                continue
            listed.append(
                ListedVm(
                    row.key,
                    ENTRY_ROLE,
                    node.host,
                    node.peer_port,
                    node.http_port,
                    node.failure_domain,
                    node.region,
                    cores=node.cores,
                    link_mbps=node.link_mbps,
                )
            )
        return listed

    async def register(self) -> None:
        """Write this node's row, with retries until the write is confirmed."""
        identity = self.env.identity
        settings = self.env.settings.node
        value = msgspec.json.encode(
            _NodeWire(
                identity.host,
                identity.peer_port,
                identity.http_port,
                identity.failure_domain,
                identity.region,
                settings.cores * settings.core_share,
                settings.link_mbps,
            )
        )
        while True:
            try:
                await self.store.write(
                    NODE_TABLE, [RowWrite(identity.node_id, value)], {}
                )
                return
            except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
                log_event(self.env.logger, "node_not_registered", reason=str(error))
                await self.env.clock.sleep(
                    REGISTER_RETRY_S * self.env.random.uniform(0.5, 1.5)
                )

    async def remove(self, node_id: str) -> None:
        """Remove a node's row; raises `PlatformUnavailable`, `TableOutcomeUnknown`."""
        await self.store.write(NODE_TABLE, [RowWrite(node_id, None)], {})
