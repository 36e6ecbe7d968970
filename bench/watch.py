"""Watches the configuration of all nodes during a run through the operators' status."""

import asyncio
from collections import defaultdict
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from bench.check import Breach
from bench.cluster import (
    Cluster,
    EntryVm,
    address_of,
)
from bench.http_stream import (
    ConnectionLost,
    exchange,
)

PERIOD_S = 0.2
STATUS_LIMIT_S = 1.0
OK = 200


class Sight(NamedTuple):
    """One status answer of a node; `at_s` is monotonic."""

    at_s: float
    node_id: str
    incarnation: int
    version: int
    domains_out: tuple[str, ...]
    reachable: int
    listed: int
    settled: bool


class Watcher:
    """Polls every node; `latest` has the last answer of each."""

    def __init__(self, cluster: Cluster, key: str):
        self.cluster = cluster
        self.clock = cluster.clock
        self.key = key
        self.sights: list[Sight] = []
        self.latest: dict[str, Sight] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.look()
            await self.clock.sleep(PERIOD_S)

    async def look(self) -> None:
        await asyncio.gather(*(self._look_at(vm) for vm in self.cluster.vms))

    async def until_joined(self, limit_s: float) -> None:
        """Return once every node reaches all listed nodes; raise TimeoutError."""
        async with asyncio.timeout(limit_s):
            while not self._is_joined():
                await self.clock.sleep(PERIOD_S)

    def _is_joined(self) -> bool:
        wanted = len(self.cluster.vms)
        return len(self.latest) == wanted and all(
            sight.reachable == sight.listed == wanted and sight.settled
            for sight in self.latest.values()
        )

    async def until_domain(self, name: str, out: bool, limit_s: float) -> float:
        """Return when the first node had a failure domain out, or in; TimeoutError."""
        async with asyncio.timeout(limit_s):
            while True:
                for sight in self.latest.values():
                    if (name in sight.domains_out) == out:
                        return sight.at_s
                await self.clock.sleep(PERIOD_S / 4)

    async def _look_at(self, vm: EntryVm) -> None:
        try:
            response = await exchange(
                self.clock,
                address_of(vm),
                "GET",
                "/v1/operator/status",
                {"Authorization": f"Bearer {self.key}"},
                b"",
                STATUS_LIMIT_S,
            )
        except ConnectionLost:
            return
        if response.status != OK:
            return
        sight = _sight(self.clock.monotonic_s(), msgspec.json.decode(response.body))
        self.sights.append(sight)
        self.latest[sight.node_id] = sight


def _sight(at_s: float, body: dict[str, Any]) -> Sight:
    return Sight(
        at_s,
        body["node_id"],
        body["incarnation"],
        body["configuration_version"],
        tuple(body["failure_domains_out"]),
        body["nodes_reachable"],
        body["nodes_listed"],
        body["membership_is_settled"],
    )


def lower_versions(sights: list[Sight]) -> list[Breach]:
    """Return a breach for each node that was seen at a lower version than before."""
    breaches = []
    highest: dict[str, int] = defaultdict(int)
    for sight in sights:
        if sight.version < highest[sight.node_id]:
            detail = (
                f"node {sight.node_id} (incarnation {sight.incarnation}) has version "
                f"{sight.version} after {highest[sight.node_id]}"
            )
            breaches.append(Breach("P9", detail))
        highest[sight.node_id] = max(highest[sight.node_id], sight.version)
    return breaches


def spread_s(sights: list[Sight]) -> dict[int, float]:
    """Return by version the time from the first to the last node that had it.

    Nodes are those seen in the run; a version that some node never reached is left out.
    """
    first: dict[str, dict[int, float]] = defaultdict(dict)
    versions = sorted({sight.version for sight in sights})
    for sight in sights:
        for version in versions:
            if version <= sight.version:
                first[sight.node_id].setdefault(version, sight.at_s)
    spread = {}
    for version in versions:
        times = [seen.get(version) for seen in first.values()]
        if None not in times:
            spread[version] = max(times) - min(times)
    return spread
