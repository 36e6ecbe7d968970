"""Polls the operator status of all nodes and checks their configuration versions."""

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

POLL_PERIOD_S = 0.2
STATUS_TIMEOUT_S = 1.0
OK = 200


class StatusSample(NamedTuple):
    """One status response of a node; `at_s` is monotonic."""

    at_s: float
    node_id: str
    incarnation: int
    version: int
    domains_out: tuple[str, ...]
    reachable: int
    listed: int
    settled: bool


class Watcher:
    """Polls every node; `latest` has the last sample of each."""

    def __init__(self, cluster: Cluster, key: str):
        self.cluster = cluster
        self.clock = cluster.clock
        self.key = key
        self.status_samples: list[StatusSample] = []
        self.latest: dict[str, StatusSample] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_once()
            await self.clock.sleep(POLL_PERIOD_S)

    async def poll_once(self) -> None:
        await asyncio.gather(*(self._poll_node(vm) for vm in self.cluster.vms))

    async def wait_until_joined(self, limit_s: float) -> None:
        """Return once every node reaches all listed nodes and has settled membership.

        Raises `TimeoutError` after `limit_s`.
        """
        async with asyncio.timeout(limit_s):
            while not self._is_joined():
                await self.clock.sleep(POLL_PERIOD_S)

    def _is_joined(self) -> bool:
        expected = len(self.cluster.vms)
        return len(self.latest) == expected and all(
            sample.reachable == sample.listed == expected and sample.settled
            for sample in self.latest.values()
        )

    async def wait_for_domain(self, name: str, out: bool, limit_s: float) -> float:
        """Return the time at which a node first reports the domain as out, or as in.

        Raises `TimeoutError` after `limit_s`.
        """
        async with asyncio.timeout(limit_s):
            while True:
                for sample in self.latest.values():
                    if (name in sample.domains_out) == out:
                        return sample.at_s
                await self.clock.sleep(POLL_PERIOD_S / 4)

    async def _poll_node(self, vm: EntryVm) -> None:
        try:
            response = await exchange(
                self.clock,
                address_of(vm),
                "GET",
                "/v1/operator/status",
                {"Authorization": f"Bearer {self.key}"},
                b"",
                STATUS_TIMEOUT_S,
            )
        except ConnectionLost:
            return
        if response.status != OK:
            return
        sample = _read_status(
            self.clock.monotonic_s(), msgspec.json.decode(response.body)
        )
        self.status_samples.append(sample)
        self.latest[sample.node_id] = sample


def _read_status(at_s: float, body: dict[str, Any]) -> StatusSample:
    return StatusSample(
        at_s,
        body["node_id"],
        body["incarnation"],
        body["configuration_version"],
        tuple(body["failure_domains_out"]),
        body["nodes_reachable"],
        body["nodes_listed"],
        body["membership_is_settled"],
    )


def find_version_regressions(status_samples: list[StatusSample]) -> list[Breach]:
    """Return a breach for each sample with a lower version than one before it."""
    breaches = []
    highest: dict[str, int] = defaultdict(int)
    for sample in status_samples:
        if sample.version < highest[sample.node_id]:
            detail = (
                f"node {sample.node_id} (incarnation {sample.incarnation}) has version "
                f"{sample.version} after version {highest[sample.node_id]}"
            )
            breaches.append(Breach("P9", detail))
        highest[sample.node_id] = max(highest[sample.node_id], sample.version)
    return breaches


def propagation_times_s(status_samples: list[StatusSample]) -> dict[int, float]:
    """Return, by version, the time between the first and the last node to reach it.

    All nodes with a sample count; a version that one of them never reached is left out.
    """
    first: dict[str, dict[int, float]] = defaultdict(dict)
    versions = sorted({sample.version for sample in status_samples})
    for sample in status_samples:
        for version in versions:
            if version <= sample.version:
                first[sample.node_id].setdefault(version, sample.at_s)
    spread = {}
    for version in versions:
        times = [seen.get(version) for seen in first.values()]
        if None not in times:
            spread[version] = max(times) - min(times)
    return spread
