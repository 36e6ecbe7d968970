"""Client-side cache of the entry nodes' addresses, with a weighted random choice."""

import random
from typing import NamedTuple

import msgspec

from bench.http_stream import (
    Address,
    ConnectionLost,
    exchange,
)
from egretshed.clock import Clock

FETCH_TIMEOUT_S = 2.0
AVOID_S = 2.0
OK = 200


class EntryNode(NamedTuple):
    node_id: str
    address: Address
    weight: float


class AddressCache:
    """One caller's cached response of `GET /v1/addresses`.

    When the list has expired, or all its nodes failed recently, it is fetched again.
    The cached nodes and `bootstrap_addresses` are tried in random order, those that
    failed recently last.
    """

    def __init__(self, clock: Clock, bootstrap_addresses: list[Address], seed: str):
        self.clock = clock
        self.bootstrap_addresses = bootstrap_addresses
        self.random = random.Random(seed)
        self._nodes: list[EntryNode] = []
        self._expires_s = 0.0
        self._avoid_until_s: dict[Address, float] = {}

    async def choose(self) -> EntryNode:
        """Return a node to connect to.

        Raises `ConnectionLost` if the list has to be fetched and no node responds.
        """
        now_s = self.clock.monotonic_s()
        if now_s >= self._expires_s or not self._available():
            await self._fetch()
        nodes = self._available() or self._nodes
        return self.random.choices(nodes, [node.weight for node in nodes])[0]

    def avoid(self, node: EntryNode) -> None:
        """Do not choose a node for `AVOID_S` seconds after a failed connection."""
        self._avoid_until_s[node.address] = self.clock.monotonic_s() + AVOID_S

    def _available(self) -> list[EntryNode]:
        return [node for node in self._nodes if not self._is_avoided(node.address)]

    def _is_avoided(self, address: Address) -> bool:
        return self.clock.monotonic_s() < self._avoid_until_s.get(address, 0.0)

    async def _fetch(self) -> None:
        candidates = [node.address for node in self._nodes] + self.bootstrap_addresses
        self.random.shuffle(candidates)
        candidates.sort(key=self._is_avoided)
        failure = ConnectionLost("no entry node is known")
        for address in candidates:
            try:
                if await self._fetch_from(address):
                    return
            except ConnectionLost as lost:
                failure = lost
            self._avoid_until_s[address] = self.clock.monotonic_s() + AVOID_S
        raise failure

    async def _fetch_from(self, address: Address) -> bool:
        response = await exchange(
            self.clock, address, "GET", "/v1/addresses", {}, b"", FETCH_TIMEOUT_S
        )
        if response.status != OK:
            return False
        body = msgspec.json.decode(response.body)
        if not body["addresses"]:
            return False
        self._nodes = [_decode_entry_node(fields) for fields in body["addresses"]]
        self._expires_s = self.clock.monotonic_s() + body["keep_s"]
        return True


def _decode_entry_node(fields: dict) -> EntryNode:
    port = fields["port"] if "port" in fields else fields["http_port"]
    address = Address(fields["host"], port)
    return EntryNode(fields["node_id"], address, fields["weight"])
