"""Slots of replicas on one node: owner side and borrower side.

Each replica has an owner node, which lends its slots to the nodes that call it.
"""

import asyncio

from egretshed.environment import Environment
from egretshed.peers.network import PeerNetwork
from egretshed.slots.borrower import Borrower
from egretshed.slots.lending import Lender
from egretshed.slots.records import OwnedReplicaStatus
from egretshed.slots.renewal import Renewer


class SlotService:
    """Lender, borrower and loan renewal of one node.

    Requests of this node to itself call `Lender.answer` without a message.
    """

    def __init__(
        self, env: Environment, peers: PeerNetwork, membership, configuration, backends
    ):
        self.borrower = Borrower(env, membership, configuration)
        self._lender = Lender(
            env,
            peers,
            membership,
            configuration,
            backends,
            self.borrower.on_unsolicited_reply,
        )
        self._renewer = Renewer(env, peers, self.borrower, self._lender)

    async def run(self) -> None:
        """Lend and borrow until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._lender.run())
            tasks.create_task(self._renewer.run())

    async def return_loans(self) -> None:
        """Return all loans and stop borrowing; call it once no new call can start."""
        await self._renewer.return_loans()

    def owner_of(self, replica_id: str) -> str | None:
        """Return the owner of a declared replica in this node's view, else None."""
        return self._lender.owner_of(replica_id)

    def owned(self) -> list[OwnedReplicaStatus]:
        """Return the status of the replicas that this node owns."""
        return self._lender.owned()
