"""Selects the entry node addresses given to callers, weighted by proximity and load."""

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
# Lower limit of the free share, so that fully loaded nodes still get some callers.
MIN_FREE_SHARE = 0.05
# Failure domains of a region are about 1 ms apart, so their weights differ little. A
# caller is sent to another region only if few nodes of this one are available.
SAME_DOMAIN_WEIGHT = 1.0
SAME_REGION_WEIGHT = 0.8
OTHER_REGION_WEIGHT = 0.02


class HandedOutAddress(NamedTuple):
    """Address for a caller to connect to, valid for `keep_s` seconds.

    `weight` is relative to the other addresses in the same reply.
    """

    node_id: str
    host: str
    http_port: int
    failure_domain: str
    weight: float
    keep_s: float


class AddressBook:
    """Draws addresses by weight without replacement.

    Weights are cached for `REFRESH_S`, or until the members or the VM list change, so
    that a draw costs the same for any fleet size: after an outage many callers ask
    within the same second.
    """

    def __init__(self, env: Environment, view: FleetView, vms: ListedVms):
        self.env = env
        self.view = view
        self.vms = vms
        self._built_s = -REFRESH_S
        self._built_revision = (-1, -1)
        self._members: list[Member] = []
        self._weights: list[float] = []
        self._cumulative: list[float] = []

    def draw(self, count: int) -> list[HandedOutAddress]:
        """Return up to `count` addresses, in the order to try them."""
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
        rng = self.env.random
        positions = range(len(self._members))
        if 2 * count >= len(self._members):
            return _weighted_shuffle(rng, self._weights)[:count]
        chosen: dict[int, None] = {}
        for _ in range(8 * count):
            (index,) = rng.choices(positions, cum_weights=self._cumulative)
            chosen[index] = None
            if len(chosen) == count:
                break
        return list(chosen)

    def _rebuild(self) -> None:
        now_s = self.env.clock.monotonic_s()
        revision = (self.view.revision, self.vms.revision)
        if revision == self._built_revision and now_s - self._built_s < REFRESH_S:
            return
        self._built_s = now_s
        self._built_revision = revision
        self._members = [m for m in self.view.reachable() if self._is_eligible(m)]
        self._weights = [self._weight(member) for member in self._members]
        self._cumulative = list(accumulate(self._weights))

    def _is_eligible(self, member: Member) -> bool:
        listed = self.vms.entries.get(member.node_id)
        if listed is None or listed.leaving or member.leaving:
            return False
        return member.status == MemberStatus.ALIVE

    def _weight(self, member: Member) -> float:
        identity = self.env.identity
        if member.region != identity.region:
            proximity = OTHER_REGION_WEIGHT
        elif member.failure_domain != identity.failure_domain:
            proximity = SAME_REGION_WEIGHT
        else:
            proximity = SAME_DOMAIN_WEIGHT
        free = 1 - member.load_permille / FULL_LOAD_PERMILLE
        return proximity * max(MIN_FREE_SHARE, free)


def _weighted_shuffle(rng: random.Random, weights: list[float]) -> list[int]:
    # Sorting by exponential variates with the weights as rates gives the order of a
    # weighted draw without replacement.
    times = [(rng.expovariate(weight), index) for index, weight in enumerate(weights)]
    return [index for _, index in sorted(times)]
