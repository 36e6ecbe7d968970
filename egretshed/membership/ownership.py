"""Determines the owner of a replica and the share of its limit the owner may lend."""

import math
from typing import NamedTuple

import xxhash

from egretshed.configuration.schema import Replica
from egretshed.membership.members import Member
from egretshed.membership.view import (
    SUSPECT_OR_DEAD,
    FleetView,
)
from egretshed.membership.vm_list import ListedVms


class LendingShare(NamedTuple):
    """Share of a replica's limit that its owner may lend.

    It is the share of the listed nodes of the replica's region that are reachable.
    `rounds_up` is set on at most one side of a partition.
    """

    reachable: int
    listed: int
    rounds_up: bool

    def slots(self, limit: int) -> int:
        """Return how many of `limit` slots may be lent."""
        if self.listed == 0:
            return 0
        share = limit * self.reachable / self.listed
        return math.ceil(share) if self.rounds_up else math.floor(share)


class Ownership:
    """Rendezvous hashing over the nodes that are reachable, listed and not leaving.

    Results are cached until the member view or the VM list changes.
    """

    def __init__(self, view: FleetView, vms: ListedVms):
        self.view = view
        self.vms = vms
        self._revision = (-1, -1)
        self._owners: dict[tuple[str, str], str | None] = {}
        self._shares: dict[str, LendingShare] = {}
        self._candidates: dict[str, list[Member]] = {}

    def owner_of(self, replica: Replica, region: str) -> str | None:
        """Return the owner of a replica, or None if there is no candidate.

        Candidates are the nodes of the replica's failure domain; without any, those of
        its region; without any, all nodes.
        """
        self._refresh()
        key = (replica.replica_id, region)
        if key not in self._owners:
            nodes = (
                self._candidates.get(f"domain/{region}/{replica.failure_domain}")
                or self._candidates.get(f"region/{region}")
                or self._candidates.get("all")
                or []
            )
            best = max(
                nodes,
                key=lambda node: _rendezvous_score(node.node_id, replica.replica_id),
                default=None,
            )
            self._owners[key] = best.node_id if best else None
        return self._owners[key]

    def lending_share(self, region: str) -> LendingShare:
        """Return the share for a region, or over all regions if it has no listed nodes.

        Suspected nodes do not count as reachable: a node on the minority side of a
        partition must lend less before another owner takes over, which happens only
        after the suspicion time.
        """
        self._refresh()
        if region not in self._shares:
            self._shares[region] = self._compute_share(region)
        return self._shares[region]

    def _compute_share(self, region: str) -> LendingShare:
        entries = self.vms.entries.values()
        listed = [vm.node_id for vm in entries if vm.region == region]
        listed = listed or [vm.node_id for vm in entries]
        reachable = [
            node_id for node_id in listed if self._is_alive_or_leaving(node_id)
        ]
        doubled = 2 * len(reachable)
        has_tie_breaker = (
            doubled == len(listed) and min(listed, default="") in reachable
        )
        return LendingShare(
            len(reachable), len(listed), doubled > len(listed) or has_tie_breaker
        )

    def _is_alive_or_leaving(self, node_id: str) -> bool:
        member = self.view.members.get(node_id)
        return member is not None and member.status not in SUSPECT_OR_DEAD

    def _refresh(self) -> None:
        revision = (self.view.revision, self.vms.revision)
        if revision == self._revision:
            return
        self._revision = revision
        self._owners.clear()
        self._shares.clear()
        self._candidates.clear()
        for node_id, vm in self.vms.entries.items():
            member = self.view.members.get(node_id)
            if (
                member is None
                or not member.is_reachable
                or member.leaving
                or vm.leaving
            ):
                continue
            domain = f"domain/{member.region}/{member.failure_domain}"
            for group in (domain, f"region/{member.region}", "all"):
                self._candidates.setdefault(group, []).append(member)


def _rendezvous_score(node_id: str, replica_id: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{node_id}|{replica_id}".encode()), node_id
