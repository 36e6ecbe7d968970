"""Addresses handed out to callers, spread over the nodes near this one."""

import random
from itertools import accumulate
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import MemberStatus
from egretshed.membership.members import Member
from egretshed.membership.view import FleetView
from egretshed.membership.vm_list import ListedVms

REFRESH_S = 1.0
FULL_LOAD_PERMILLE = 1000
LEAST_FREE_SHARE = 0.05  # a fully loaded node is still handed out now and then
# Failure domains of a region are about 1 ms apart, so they differ little; a caller is
# sent to another region only if little else is left.
SAME_DOMAIN_WEIGHT = 1.0
SAME_REGION_WEIGHT = 0.8
OTHER_REGION_WEIGHT = 0.02


class HandedOutAddress(NamedTuple):
    """Where a caller may connect; it keeps the address for `keep_s` seconds.

    `weight` is relative to the other addresses in the same answer.
    """

    node_id: str
    host: str
    http_port: int
    failure_domain: str
    weight: float
    keep_s: float


class AddressBook:
    """Weighted draw without replacement; the weights are rebuilt once a second.

    A draw costs the same whatever the size of the fleet, since many callers ask in the
    same second after an outage.
    """

    def __init__(self, env: Environment, view: FleetView, vms: ListedVms):
        self.env = env
        self.view = view
        self.vms = vms
        self._built_s = -REFRESH_S
        self._built_for = (-1, -1)
        self._members: list[Member] = []
        self._weights: list[float] = []
        self._cumulative: list[float] = []

    def draw(self, count: int) -> list[HandedOutAddress]:
        """Return up to `count` addresses, in the order in which to try them."""
        self._rebuild()
        chosen = self._draw_indexes(min(count, len(self._members)))
        keep_s = self.env.settings.membership.address_keep_s
        return [
            HandedOutAddress(
                member.node_id,
                member.host,
                member.http_port,
                member.failure_domain,
                round(self._weights[index], 4),
                keep_s,
            )
            for index in chosen
            for member in (self._members[index],)
        ]

    def _draw_indexes(self, count: int) -> list[int]:
        source = self.env.random
        positions = range(len(self._members))
        if 2 * count >= len(self._members):
            return _shuffled_by_weight(source, self._weights)[:count]
        chosen: dict[int, None] = {}
        for _ in range(8 * count):
            (index,) = source.choices(positions, cum_weights=self._cumulative)
            chosen[index] = None
            if len(chosen) == count:
                break
        return list(chosen)

    def _rebuild(self) -> None:
        now_s = self.env.clock.monotonic_s()
        revision = (self.view.revision, self.vms.revision)
        if revision == self._built_for and now_s - self._built_s < REFRESH_S:
            return
        self._built_s = now_s
        self._built_for = revision
        self._members = [m for m in self.view.reachable() if self._may_hand_out(m)]
        self._weights = [self._weight(member) for member in self._members]
        self._cumulative = list(accumulate(self._weights))

    def _may_hand_out(self, member: Member) -> bool:
        listed = self.vms.entries.get(member.node_id)
        if listed is None or listed.leaving or member.leaving:
            return False
        return member.status == MemberStatus.ALIVE

    def _weight(self, member: Member) -> float:
        identity = self.env.identity
        if member.region != identity.region:
            nearness = OTHER_REGION_WEIGHT
        elif member.failure_domain != identity.failure_domain:
            nearness = SAME_REGION_WEIGHT
        else:
            nearness = SAME_DOMAIN_WEIGHT
        free = 1 - member.load_permille / FULL_LOAD_PERMILLE
        return nearness * max(LEAST_FREE_SHARE, free)


def _shuffled_by_weight(source: random.Random, weights: list[float]) -> list[int]:
    # An exponential variate per item, scaled by its weight, orders a weighted draw.
    times = [
        (source.expovariate(weight), index) for index, weight in enumerate(weights)
    ]
    return [index for _, index in sorted(times)]
