"""Fakes of the membership and configuration services, and a small configuration."""

import hashlib
from typing import NamedTuple

from egretshed.configuration.schema import (
    Configuration,
    Replica,
)
from egretshed.configuration.validation import build_configuration


class FakeShare(NamedTuple):
    """Number of reachable and of listed nodes, from which the share to lend follows."""

    reachable: int
    listed: int
    rounds_up: bool


class FakeMembership:
    """Membership as one node sees it, set by the test.

    The owner of a replica is the node with the highest rendezvous hash among the
    reachable nodes that are not leaving. Nodes in `leaving_nodes` are reachable and own
    nothing, unless all reachable nodes are leaving.
    """

    def __init__(self, node_id: str, listed: list[str]):
        self.node_id = node_id
        self.listed_ids = sorted(listed)
        self.reachable_ids = set(listed)
        self.settled = True
        self.leaving_replicas: set[str] = set()
        self.bound_s = 0.0
        self.leaving_nodes: set[str] = set()
        self._owners: dict[tuple[str, frozenset[str]], str] = {}

    @property
    def revision(self) -> tuple[frozenset[str], frozenset[str]]:
        return frozenset(self.reachable_ids), frozenset(self.leaving_nodes)

    def is_settled(self) -> bool:
        return self.settled

    def owner_of(self, replica: Replica, region: str) -> str | None:
        owners = frozenset(self.reachable_ids - self.leaving_nodes)
        key = (replica.replica_id, owners or frozenset(self.reachable_ids))
        if key not in self._owners:
            self._owners[key] = max(
                key[1],
                key=lambda node: hashlib.sha256(f"{node}/{key[0]}".encode()).digest(),
            )
        return self._owners[key]

    def lending_share(self, region: str) -> FakeShare:
        reachable, listed = len(self.reachable_ids), len(self.listed_ids)
        has_first = self.listed_ids[0] in self.reachable_ids
        rounds_up = 2 * reachable > listed or (2 * reachable == listed and has_first)
        return FakeShare(reachable, listed, rounds_up)

    def detection_bound_s(self) -> float:
        return self.bound_s

    def is_backend_leaving(self, replica_id: str) -> bool:
        return replica_id in self.leaving_replicas


class FakeConfiguration:
    """Configuration service with a fixed configuration and a settable freshness."""

    def __init__(self, current: Configuration):
        self.current = current
        self.fresh = True

    def is_fresh(self) -> bool:
        return self.fresh


def make_configuration(
    replicas: int = 1,
    cold_slots: int = 2,
    warm_slots: int = 6,
    warm_up_calls: int = 4,
    deadline_s: float = 3.0,
    role: str = "engine",
    domains: tuple[str, ...] = ("a",),
) -> Configuration:
    """Return a configuration with one pool, ``p``, and one request kind, ``k``.

    The replicas ``p-0``, ``p-1``, ... are spread over `domains` in turn.
    """
    pool = {
        "role": role,
        "cold_slots": cold_slots,
        "warm_slots": warm_slots,
        "warm_up_calls": warm_up_calls,
        "replicas": [
            {
                "replica_id": f"p-{index}",
                "url": "http://127.0.0.1:1",
                "failure_domain": domains[index % len(domains)],
            }
            for index in range(replicas)
        ],
    }
    objects = {f"failure_domains/{name}": {"region": "r"} for name in domains}
    objects["pools/p"] = pool
    objects["kinds/k"] = {"deadline_s": deadline_s, "service": "p"}
    return build_configuration(1, objects).default_with(_raise)


def _raise(error: Exception):
    raise error
