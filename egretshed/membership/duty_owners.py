"""Selects the owner of a duty by weighted hashing over the reachable nodes.

A duty is a task that one or a few nodes perform for the whole fleet, such as reading
the store or placing the requests of a service; its name is the hash key.

Load pattern: a burst on a fleet of which most VMs are small. A fleet-wide duty takes
the better part of a core then, and a small owner would delay the requests of all nodes.
The probability of a node to be selected falls so steeply with its capacity that many
small VMs together own hardly any duty beside a few that can perform it. A node that did
not reply in time is skipped for a short time. Nodes with different member views may
select different owners; this costs efficiency, never correctness.
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
FULL_WEIGHT_CORES = 2.0
FULL_WEIGHT_LINK_MBPS = 100.0
# With half of these resources a VM is selected 4,096 times less often.
WEIGHT_EXPONENT = 12
MIN_SHARE = 0.001
HASH_RANGE = 2.0**64


def capacity_weight(vm: ListedVm | None) -> float:
    """Return the weight of a VM, 1 if it has the resources for any duty."""
    if vm is None:
        return 1.0
    share = min(vm.cores / FULL_WEIGHT_CORES, vm.link_mbps / FULL_WEIGHT_LINK_MBPS, 1.0)
    return max(MIN_SHARE, share) ** WEIGHT_EXPONENT


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
        # Weights of the usable nodes and rankings by duty, valid for `_ranked_for`.
        self._ranked_for: tuple | None = None
        self._weights: dict[str, float] = {}
        self._rankings: dict[str, list[str]] = {}
        self._owners: dict[str, str] = {}

    def ranked(self, duty: str) -> list[str]:
        """Return the nodes that may own a duty, in order of preference."""
        now_s = self.env.clock.monotonic_s()
        is_joining = now_s - self._started_s < JOIN_DURATION_S
        avoided = self._avoided(now_s)
        state = (self.membership.revision, is_joining, avoided)
        if state != self._ranked_for:
            self._ranked_for = state
            self._weights = self._usable_weights(is_joining, avoided)
            self._rankings.clear()
        ranking = self._rankings.get(duty)
        if ranking is None:
            ranking = self._rankings[duty] = rank_nodes(duty, self._weights)
            self._log_owner(duty, ranking)
        return ranking

    def _log_owner(self, duty: str, ranking: list[str]) -> None:
        owner, previous = ranking[0], self._owners.get(duty)
        if owner == previous:
            return
        self._owners[duty] = owner
        log_event(
            self.env.logger,
            "duty_owner_changed",
            duty=duty,
            owner=owner,
            previous=previous,
            weight=round(self._weights[owner], 6),
            nodes=len(ranking),
        )

    def _avoided(self, now_s: float) -> frozenset[str]:
        for node_id, until_s in list(self._avoid_until_s.items()):
            if now_s >= until_s:
                del self._avoid_until_s[node_id]
        return frozenset(self._avoid_until_s)

    def _usable_weights(
        self, is_joining: bool, avoided: frozenset[str]
    ) -> dict[str, float]:
        found = {m.node_id for m in self.membership.reachable() if not m.leaving}
        if is_joining:
            found |= self._unknown_listed_nodes()
        usable = (found - avoided) | {self.env.identity.node_id}
        vm = self.membership.vm
        return {n: capacity_weight(vm(n)) for n in usable}

    def _unknown_listed_nodes(self) -> set[str]:
        return {
            vm.node_id
            for vm in self.membership.listed()
            if self.membership.member(vm.node_id) is None
        }

    def nodes_with_fast_link(self, min_link_mbps: float) -> list[str]:
        """Return other nodes with at least this link speed, listed or members."""
        known_ids = {vm.node_id for vm in self.membership.listed()}
        known_ids |= {m.node_id for m in self.membership.reachable()}
        known_ids.discard(self.env.identity.node_id)
        vms = [self.membership.vm(node_id) for node_id in sorted(known_ids)]
        return [vm.node_id for vm in vms if vm and vm.link_mbps >= min_link_mbps]

    def others(self) -> list[str]:
        """Return the other reachable nodes."""
        own_id = self.env.identity.node_id
        return [m.node_id for m in self.membership.reachable() if m.node_id != own_id]

    def all_nodes(self) -> set[str]:
        """Return all nodes that are listed or reachable, this one included."""
        listed = {vm.node_id for vm in self.membership.listed()}
        return listed | {self.env.identity.node_id, *self.others()}

    def candidates(self, duty: str, count: int) -> list[str]:
        """Return the first `count` nodes, with this node as the fallback."""
        own_id = self.env.identity.node_id
        found = self.ranked(duty)[:count]
        return found if own_id in found else [*found, own_id]

    def first_of_domains(self, duty: str, count: int) -> list[str]:
        """Return the first node of each failure domain, for up to `count` domains.

        Nodes whose domain is not known yet count as one of their own each.
        """
        found: dict[str, str] = {}
        for node_id in self.ranked(duty):
            member = self.membership.member(node_id)
            found.setdefault(member.failure_domain if member else node_id, node_id)
            if len(found) == count:
                break
        return list(found.values())

    def is_owner(self, duty: str) -> bool:
        """Return whether this node owns a duty, as far as it knows."""
        return self.ranked(duty)[0] == self.env.identity.node_id

    def avoid(self, node_id: str, duty: str, reason: str) -> None:
        """Exclude a node from the ranking for `AVOID_DURATION_S`."""
        self._avoid_until_s[node_id] = self.env.clock.monotonic_s() + AVOID_DURATION_S
        log_event(
            self.env.logger, "owner_avoided", owner=node_id, duty=duty, reason=reason
        )
