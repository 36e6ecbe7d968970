"""Lending and borrowing of replica slots on one node."""

import asyncio

from egretshed.environment import Environment
from egretshed.peers.network import PeerNetwork
from egretshed.slots.borrower import Borrower
from egretshed.slots.lending import Lender
from egretshed.slots.records import OwnedReplicaStatus
from egretshed.slots.renewal import Renewer


class SlotService:
    """Owner and borrower side together.

    When this node borrows from itself, the request goes to `Lender.answer` directly.
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
            self.borrower.on_unasked,
        )
        self._renewer = Renewer(env, peers, self.borrower, self._lender)

    async def run(self) -> None:
        """Lend and borrow until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._lender.run())
            tasks.create_task(self._renewer.run())

    async def return_loans(self) -> None:
        """Return what is borrowed and borrow no more; call it once no call starts."""
        await self._renewer.return_loans()

    def owner_of(self, replica_id: str) -> str | None:
        """Return the node that owns a declared replica, as this node sees it."""
        return self._lender.owner_of(replica_id)

    def owned(self) -> list[OwnedReplicaStatus]:
        """Return the replicas that this node owns, for status pages."""
        return self._lender.owned()
