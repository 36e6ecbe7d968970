"""Membership of the entry nodes: the interface used by the other packages."""

import asyncio
import math
from collections.abc import Callable

from egretshed.configuration.schema import Replica
from egretshed.environment import Environment
from egretshed.errors import NodeSuperseded
from egretshed.logs import log_event
from egretshed.membership.addresses import (
    AddressBook,
    HandedOutAddress,
)
from egretshed.membership.member_sync import MemberSynchronizer
from egretshed.membership.members import Member
from egretshed.membership.ownership import (
    LendingShare,
    Ownership,
)
from egretshed.membership.pause import PauseDetector
from egretshed.membership.probes import Prober
from egretshed.membership.view import FleetView
from egretshed.membership.vm_list import (
    ENTRY_ROLE,
    ListedVms,
)
from egretshed.peers.connection import PeerAddress
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.platform.interface import (
    ListedVm,
    Platform,
)

ANNOUNCE_PEERS = 3
BASE_DETECTION_PERIODS = 4
# With 0, detection exceeded the bound at every fleet size: 5.0 s with 7 nodes, 6.4 s
# with 28.
PERIODS_PER_DOUBLING = 1.5
# A probe carries only a few records, so after a mass start a suspicion waits behind the
# records of the new nodes. Without this term, 360 nodes took 17.0 s to detect a death
# 20 s after their start, with a bound of 12.2 s.
NODES_PER_PERIOD = 30
NO_SHARE = LendingShare(0, 0, False)


class MembershipService:
    """Live and listed nodes, replica owners, and the addresses for callers.

    `load_source` returns this node's load in thousandths; `version_source` its
    configuration version. Both are read for each probe.
    """

    def __init__(self, env: Environment, platform: Platform, peers: PeerNetwork):
        self.env = env
        self.version_source: Callable[[], int] = lambda: 0
        self.load_source: Callable[[], int] = lambda: 0
        self.superseded_by: int | None = None
        self._version_callbacks: list[Callable[[str, int], None]] = []
        self._superseded_callbacks: list[Callable[[int], None]] = []
        self._vms = ListedVms(env, platform.vms)
        self._view = FleetView(env, self._vms.is_listed, self._mark_superseded)
        self._pause_detector = PauseDetector(
            env, self.detection_bound_s, self._view.restart_suspicions
        )
        self._ownership = Ownership(self._view, self._vms)
        self._addresses = AddressBook(env, self._view, self._vms)
        self._prober = Prober(
            env,
            peers,
            self._view,
            self._pause_detector,
            self._prepare_probe,
            self._report_peer_version,
            self._check_not_superseded,
        )
        self._synchronizer = MemberSynchronizer(
            env, peers, self._view, self._vms, self._check_not_superseded
        )

    async def start(self) -> None:
        """Read the VM list and fetch the members from a few listed nodes.

        Returns also if neither is available; `run` keeps trying.
        """
        await self._vms.read()
        await self._synchronizer.start()

    async def run(self) -> None:
        """Run until cancelled, or until a newer process takes over this node id."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pause_detector.run())
                tasks.create_task(self._vms.run(self._has_unlisted_member))
                tasks.create_task(self._prober.run())
                tasks.create_task(self._synchronizer.run())
        except* NodeSuperseded:
            log_event(self.env.logger, "membership_stopped")

    def _has_unlisted_member(self) -> bool:
        """Return whether the list is needed for the capacity of a member."""
        return any(
            member.cores is None and not self._vms.is_listed(member.node_id)
            for member in self._view.reachable()
        )

    def on_version(self, callback: Callable[[str, int], None]) -> None:
        """Call `callback(node_id, version)` for each version reported by a peer."""
        self._version_callbacks.append(callback)

    def on_superseded(self, callback: Callable[[int], None]) -> None:
        """Call `callback(incarnation)` once a newer process takes over this node id."""
        self._superseded_callbacks.append(callback)

    @property
    def is_superseded(self) -> bool:
        return self.superseded_by is not None

    @property
    def revision(self) -> tuple[int, int, bool]:
        """Value that changes whenever owners or lending shares may have changed."""
        return self._view.revision, self._vms.revision, self.is_superseded

    def detection_bound_s(self) -> float:
        """Return the time within which every node detects the death of a node.

        It is the suspicion time plus a number of probe periods: BASE_DETECTION_PERIODS
        for the first probe, its indirect probes and the check that ends the suspicion;
        PERIODS_PER_DOUBLING for each doubling of the fleet, as the suspicion is
        gossiped on probes; and one for each NODES_PER_PERIOD nodes, whose records may
        be sent first. `bench.detection` measures it.
        """
        period_s = self.env.settings.membership.probe_period_s
        fleet_size = max(len(self._view.members), len(self._vms.entries))
        periods = BASE_DETECTION_PERIODS + PERIODS_PER_DOUBLING * math.log2(fleet_size)
        periods += fleet_size / NODES_PER_PERIOD
        return self._view.suspicion_limit_s() + periods * period_s

    def resolve(self, node_id: str) -> PeerAddress | None:
        """Return the peer address of `node_id`, or None if it is unknown.

        For an unreachable node the VM list is used, since a replacement VM may have
        another address.
        """
        member = self._view.members.get(node_id)
        if member is not None and member.is_reachable:
            return PeerAddress(member.host, member.peer_port)
        listed = self._vms.entries.get(node_id)
        if listed is not None:
            return PeerAddress(listed.host, listed.peer_port)
        return None

    def is_current(self, sender: Sender) -> bool:
        """Return False if a newer process has taken over the sender's node id."""
        member = self._view.members.get(sender.node_id)
        return member is None or member.incarnation <= sender.incarnation

    def member(self, node_id: str) -> Member | None:
        return self._view.members.get(node_id)

    def reachable(self) -> list[Member]:
        """Return all members that are not dead, this node included."""
        return self._view.reachable()

    def listed(self) -> list[ListedVm]:
        """Return the entry nodes of the VM list at its last read."""
        return list(self._vms.entries.values())

    def vm(self, node_id: str) -> ListedVm | None:
        """Return a node's VM, as its member told or else as it is listed.

        Returns None if the capacity of the VM is unknown.
        """
        member = self._view.members.get(node_id)
        if member is None or member.cores is None or member.link_mbps is None:
            return self._vms.entries.get(node_id)
        return ListedVm(
            node_id,
            ENTRY_ROLE,
            member.host,
            member.peer_port,
            member.http_port,
            member.failure_domain,
            member.region,
            cores=member.cores,
            link_mbps=member.link_mbps,
        )

    def is_settled(self) -> bool:
        """Return whether this node may act on its member view.

        False when superseded, and at start or after a pause until probes succeed again.
        """
        return not self.is_superseded and self._pause_detector.is_settled()

    async def watch_pauses(self) -> None:
        """Check for pauses of this process until cancelled, also before `run`."""
        await self._pause_detector.run()

    def last_pause_s(self) -> float | None:
        """Return when this process last went on after it stood still, or None."""
        return self._pause_detector.last_pause_s()

    def owner_of(self, replica: Replica, region: str) -> str | None:
        """Return the node that lends the slots of `replica`, a replica in `region`."""
        if self.is_superseded:
            return None
        return self._ownership.owner_of(replica, region)

    def lending_share(self, region: str) -> LendingShare:
        """Return the share of a limit that an owner may lend in `region`."""
        if self.is_superseded or not self._vms.was_read:
            return NO_SHARE
        return self._ownership.lending_share(region)

    def is_backend_leaving(self, replica_id: str) -> bool:
        return self._vms.is_backend_leaving(replica_id)

    def addresses(self, count: int) -> list[HandedOutAddress]:
        """Return up to `count` addresses for a caller, in the order to try them."""
        return [] if self.is_superseded else self._addresses.draw(count)

    async def leave(self) -> None:
        """Announce that this node is leaving.

        Other nodes no longer use it as an owner or hand out its address. It replies to
        probes until its process ends.
        """
        self._view.leave()
        self._prober.announce(ANNOUNCE_PEERS)

    def _prepare_probe(self) -> int:
        """Update this node's load and return its configuration version."""
        self._view.set_load(self.load_source())
        return self.version_source()

    def _report_peer_version(self, node_id: str, version: int) -> None:
        for callback in self._version_callbacks:
            callback(node_id, version)

    def _mark_superseded(self, incarnation: int) -> None:
        if self.superseded_by is not None:
            return
        self.superseded_by = incarnation
        log_event(self.env.logger, "node_superseded", incarnation=incarnation)
        for callback in self._superseded_callbacks:
            callback(incarnation)

    def _check_not_superseded(self) -> None:
        if self.is_superseded:
            raise NodeSuperseded(
                "a newer process runs under this node id",
                incarnation=self.superseded_by,
            )
