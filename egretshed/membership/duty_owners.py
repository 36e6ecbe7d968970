"""Selects the owner of a duty by weighted hashing over the reachable nodes.

A duty is a task that one or a few nodes perform for the whole fleet, such as reading
the store or placing the requests of a service; its name is the hash key.

Load pattern: the VMs of a fleet differ in cores and link speed, and a fleet-wide duty
would overload a small one. The probability of a node to be selected grows with the
square of its capacity. A node that did not reply in time is skipped for a short time.
Nodes with different member views may select different owners; this costs efficiency,
never correctness.
"""

import math

import xxhash

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.membership.service import MembershipService
from egretshed.platform.interface import ListedVm

# An owner that did not reply is skipped for this long.
AVOID_DURATION_S = 1.0
# For this long after its start, a node also ranks listed nodes that it does not know as
# members yet. Otherwise, after a power failure, every node would own every duty until
# the nodes discover each other.
JOIN_DURATION_S = 4.0
# A VM with at least these resources can perform any duty at present fleet sizes.
FULL_WEIGHT_CORES = 1.0
FULL_WEIGHT_LINK_MBPS = 100.0
HASH_RANGE = 2.0**64


def capacity_weight(vm: ListedVm | None) -> float:
    """Return the squared share of the resources for any duty that a VM has, up to 1."""
    if vm is None:
        return 1.0
    share = min(vm.cores / FULL_WEIGHT_CORES, vm.link_mbps / FULL_WEIGHT_LINK_MBPS, 1.0)
    return max(0.001, share) ** 2


def rank_nodes(duty: str, weights: dict[str, float]) -> list[str]:
    """Return the nodes ordered by weighted rendezvous hashing, the owner first."""

    def score(node_id: str) -> float:
        digest = xxhash.xxh64_intdigest(f"{duty}/{node_id}".encode())
        return -weights[node_id] / math.log((digest + 0.5) / HASH_RANGE)

    return sorted(weights, key=score, reverse=True)


class DutyOwners:
    """Ranks the reachable nodes for each duty."""

    def __init__(self, env: Environment, membership: MembershipService):
        self.env = env
        self.membership = membership
        self._started_s = env.clock.monotonic_s()
        self._avoid_until_s: dict[str, float] = {}

    def ranked(self, duty: str) -> list[str]:
        """Return the nodes that may own a duty, in order of preference."""
        now_s = self.env.clock.monotonic_s()
        found = {m.node_id for m in self.membership.reachable() if not m.leaving}
        if now_s - self._started_s < JOIN_DURATION_S:
            found |= self._unknown_listed_nodes()
        usable = {n for n in found if now_s >= self._avoid_until_s.get(n, 0.0)}
        usable.add(self.env.identity.node_id)
        listed = self.membership.listed_vm
        return rank_nodes(duty, {n: capacity_weight(listed(n)) for n in usable})

    def _unknown_listed_nodes(self) -> set[str]:
        return {
            vm.node_id
            for vm in self.membership.listed()
            if self.membership.member(vm.node_id) is None
        }

    def nodes_with_fast_link(self, min_link_mbps: float) -> list[str]:
        """Return other listed nodes with at least this link speed, members or not."""
        own_id = self.env.identity.node_id
        return [
            vm.node_id
            for vm in self.membership.listed()
            if vm.link_mbps >= min_link_mbps and vm.node_id != own_id
        ]

    def others(self) -> list[str]:
        """Return the other reachable nodes."""
        own_id = self.env.identity.node_id
        return [m.node_id for m in self.membership.reachable() if m.node_id != own_id]

    def candidates(self, duty: str, count: int) -> list[str]:
        """Return the first `count` nodes, with this node as the fallback."""
        own_id = self.env.identity.node_id
        found = self.ranked(duty)[:count]
        return found if own_id in found else [*found, own_id]

    def avoid(self, node_id: str, duty: str, reason: str) -> None:
        """Exclude a node from the ranking for `AVOID_DURATION_S`."""
        self._avoid_until_s[node_id] = self.env.clock.monotonic_s() + AVOID_DURATION_S
        log_event(
            self.env.logger, "owner_avoided", owner=node_id, duty=duty, reason=reason
        )
