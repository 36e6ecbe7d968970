"""Entry nodes as callers know them: asked for, kept for a while, drawn by weight."""

import random
from typing import NamedTuple

import msgspec

from bench.http_stream import (
    Address,
    ConnectionLost,
    exchange,
)
from egretshed.clock import Clock

ASK_TIMEOUT_S = 2.0
AVOID_S = 2.0
OK = 200


class EntryNode(NamedTuple):
    node_id: str
    address: Address
    weight: float


class AddressCache:
    """One caller's cached answer of `GET /v1/addresses`.

    `known` are the addresses that a caller starts with; they are asked again when all
    the named ones have failed.
    """

    def __init__(self, clock: Clock, known: list[Address], seed: str):
        self.clock = clock
        self.known = known
        self.random = random.Random(seed)
        self._nodes: list[EntryNode] = []
        self._keep_until_s = 0.0
        self._avoid_until_s: dict[Address, float] = {}

    async def choose(self) -> EntryNode:
        """Return a node to connect to; raise `ConnectionLost` if none can be asked."""
        now_s = self.clock.monotonic_s()
        if now_s >= self._keep_until_s or not self._usable():
            await self._ask()
        nodes = self._usable() or self._nodes
        return self.random.choices(nodes, [node.weight for node in nodes])[0]

    def avoid(self, node: EntryNode) -> None:
        """Leave a node out for a while after a connection to it failed."""
        self._avoid_until_s[node.address] = self.clock.monotonic_s() + AVOID_S

    def _usable(self) -> list[EntryNode]:
        return [node for node in self._nodes if not self._avoided(node.address)]

    def _avoided(self, address: Address) -> bool:
        return self.clock.monotonic_s() < self._avoid_until_s.get(address, 0.0)

    async def _ask(self) -> None:
        candidates = [node.address for node in self._nodes] + self.known
        self.random.shuffle(candidates)
        candidates.sort(key=self._avoided)
        failure = ConnectionLost("no entry node is known")
        for address in candidates:
            try:
                if await self._ask_one(address):
                    return
            except ConnectionLost as lost:
                failure = lost
            self._avoid_until_s[address] = self.clock.monotonic_s() + AVOID_S
        raise failure

    async def _ask_one(self, address: Address) -> bool:
        response = await exchange(
            self.clock, address, "GET", "/v1/addresses", {}, b"", ASK_TIMEOUT_S
        )
        if response.status != OK:
            return False
        body = msgspec.json.decode(response.body)
        if not body["addresses"]:
            return False
        self._nodes = [_entry_node(fields) for fields in body["addresses"]]
        self._keep_until_s = self.clock.monotonic_s() + body["keep_s"]
        return True


def _entry_node(fields: dict) -> EntryNode:
    port = fields["port"] if "port" in fields else fields["http_port"]
    address = Address(fields["host"], port)
    return EntryNode(fields["node_id"], address, fields["weight"])
