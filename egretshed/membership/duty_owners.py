"""Which node decides for a service: chosen by hashing over the nodes that are reached.

Load pattern: the VMs of a fleet differ in processor and link, and the duty of the whole
service would choke a small one. The chance of a node to be chosen grows with the square
of what it can carry. A node that did not answer in time is passed over for a moment.
Two nodes that see different members may both decide; that costs efficiency, never
correctness.
"""

import math

import xxhash

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.membership.service import MembershipService
from egretshed.platform.interface import ListedVm

# An owner that did not answer is passed over this long.
AVOID_S = 1.0
# For this long after its start a node counts listed nodes that it has not heard of:
# after a loss of power all would take on each duty until they know each other.
JOINING_S = 4.0
# A VM with this much or more can carry any duty at today's sizes.
ENOUGH_CORES = 1.0
ENOUGH_LINK_MBPS = 100.0
HASH_RANGE = 2.0**64


def carrying_weight(vm: ListedVm | None) -> float:
    """Return how much of a duty a VM can carry, from 0 to 1, squared."""
    if vm is None:
        return 1.0
    share = min(vm.cores / ENOUGH_CORES, vm.link_mbps / ENOUGH_LINK_MBPS, 1.0)
    return max(0.001, share) ** 2


def rank_nodes(duty: str, weights: dict[str, float]) -> list[str]:
    """Return the nodes by weighted rendezvous hashing, the first choice first."""

    def score(node_id: str) -> float:
        digest = xxhash.xxh64_intdigest(f"{duty}/{node_id}".encode())
        return -weights[node_id] / math.log((digest + 0.5) / HASH_RANGE)

    return sorted(weights, key=score, reverse=True)


class DutyOwners:
    """Ranks the reachable nodes for each duty."""

    def __init__(self, env: Environment, membership: MembershipService):
        self.env = env
        self.membership = membership
        self._began_s = env.clock.monotonic_s()
        self._avoid_until_s: dict[str, float] = {}

    def ranked(self, duty: str) -> list[str]:
        """Return the nodes that may take on a duty, the first choice first."""
        now_s = self.env.clock.monotonic_s()
        found = {m.node_id for m in self.membership.reachable() if not m.leaving}
        if now_s - self._began_s < JOINING_S:
            found |= self._unheard_of()
        usable = {n for n in found if now_s >= self._avoid_until_s.get(n, 0.0)}
        usable.add(self.env.identity.node_id)
        listed = self.membership.listed_vm
        return rank_nodes(duty, {n: carrying_weight(listed(n)) for n in usable})

    def _unheard_of(self) -> set[str]:
        return {
            vm.node_id
            for vm in self.membership.listed()
            if self.membership.member(vm.node_id) is None
        }

    def nodes_with_fast_link(self, min_link_mbps: float) -> list[str]:
        """Return other listed nodes with at least such a link, heard of or not."""
        own_id = self.env.identity.node_id
        return [
            vm.node_id
            for vm in self.membership.listed()
            if vm.link_mbps >= min_link_mbps and vm.node_id != own_id
        ]

    def others(self) -> list[str]:
        """Return the other nodes that are reachable."""
        own_id = self.env.identity.node_id
        return [m.node_id for m in self.membership.reachable() if m.node_id != own_id]

    def candidates(self, duty: str, count: int) -> list[str]:
        """Return the first `count` nodes, and this node as the last resort."""
        own_id = self.env.identity.node_id
        found = self.ranked(duty)[:count]
        return found if own_id in found else [*found, own_id]

    def avoid(self, node_id: str, duty: str, reason: str) -> None:
        """Pass a node over for a moment."""
        self._avoid_until_s[node_id] = self.env.clock.monotonic_s() + AVOID_S
        log_event(
            self.env.logger, "owner_avoided", owner=node_id, duty=duty, reason=reason
        )
