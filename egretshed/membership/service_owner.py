"""Which node decides for a service: chosen by hashing over the nodes that are reached.

A node that did not answer in time is passed over for a moment. Two nodes that see
different members may both decide; that costs efficiency, never correctness.
"""

import xxhash

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.membership.service import MembershipService

# An owner that did not answer is passed over this long.
AVOID_S = 1.0


class ServiceOwners:
    """Ranks the reachable nodes for each service by rendezvous hashing."""

    def __init__(self, env: Environment, membership: MembershipService):
        self.env = env
        self.membership = membership
        self._avoid_until_s: dict[str, float] = {}

    def ranked(self, duty: str) -> list[str]:
        """Return the nodes that may decide on a duty, the first choice first."""
        now_s = self.env.clock.monotonic_s()
        own_id = self.env.identity.node_id
        usable = {
            member.node_id
            for member in self.membership.reachable()
            if not member.leaving
            and now_s >= self._avoid_until_s.get(member.node_id, 0.0)
        }
        return sorted(
            usable | {own_id},
            key=lambda node_id: xxhash.xxh64_intdigest(f"{duty}/{node_id}".encode()),
        )

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
