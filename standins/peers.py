"""In-memory network between nodes, with partitions, delays, losses and duplicates."""

import asyncio
from typing import Any

from egretshed.environment import Environment
from egretshed.errors import (
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import Failure
from egretshed.peers.codec import (
    decode,
    encode,
)
from egretshed.peers.network import (
    Handler,
    Sender,
    run_handler,
)
from standins.clock import ManualClock


class InMemoryNetwork:
    """Connects `InMemoryPeer`s; faults are set per directed pair of node IDs.

    A message over a pair in `blocked_links`, or to a node in `paused`, is lost. A
    message over a pair in `duplicate` is delivered twice.
    """

    def __init__(self, clock: ManualClock):
        self.clock = clock
        self.peers: dict[str, InMemoryPeer] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.duplicate: set[tuple[str, str]] = set()
        self.delay_s: dict[tuple[str, str], float] = {}
        self.sent_messages = 0
        self.sent_bytes = 0

    def attach(self, env: Environment) -> "InMemoryPeer":
        peer = InMemoryPeer(self, env)
        self.peers[env.identity.node_id] = peer
        return peer

    def detach(self, node_id: str) -> None:
        self.peers.pop(node_id, None)

    def partition(self, left: set[str], right: set[str]) -> None:
        """Block all links between the two groups, in both directions."""
        self.blocked_links |= {(a, b) for a in left for b in right}
        self.blocked_links |= {(b, a) for a in left for b in right}

    def heal(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    async def deliver(self, sender: "InMemoryPeer", target: str, body: Any) -> Any:
        """Deliver a message; return the reply, or None if either of them is lost."""
        source = sender.env.identity.node_id
        pair = (source, target)
        if delay_s := self.delay_s.get(pair, 0.0):
            await self.clock.sleep(delay_s)
        peer = self.peers.get(target)
        if peer is None or pair in self.blocked_links or target in self.paused:
            return None
        deliveries = 2 if pair in self.duplicate else 1
        for _ in range(deliveries):
            reply = await peer.receive(sender.sender, body)
        if (target, source) in self.blocked_links or source in self.paused:
            return None
        return reply


class InMemoryPeer:
    """`PeerNetwork` of one node.

    Messages are encoded and decoded, so that nodes share no objects.
    """

    def __init__(self, network: InMemoryNetwork, env: Environment):
        self.network = network
        self.env = env
        self.sender = Sender(env.identity.node_id, env.identity.incarnation)
        self._handlers: dict[type, Handler] = {}
        self._tasks: set[asyncio.Task] = set()

    def handle(self, message_class: type, handler: Handler) -> None:
        self._handlers[message_class] = handler

    async def call(
        self, node_id: str, message: Any, timeout_s: float | None = None
    ) -> Any:
        timeout_s = timeout_s or self.env.settings.peers.call_timeout_s
        reply = await self._wait_with_timeout(
            self._exchange(node_id, message), timeout_s
        )
        if reply is None:
            raise PeerUnavailable(f"no reply from node {node_id}", node_id=node_id)
        if isinstance(reply, Failure):
            raise PeerRejected(reply.message, error=reply.code, node_id=node_id)
        return reply

    def send(self, node_id: str, message: Any) -> None:
        task = asyncio.create_task(self._exchange(node_id, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def receive(self, sender: Sender, body: tuple[type, bytes]) -> Any:
        message = decode(*body)
        reply = await run_handler(self._handlers, sender, message, self.env)
        return decode(type(reply), encode(reply))

    async def _exchange(self, node_id: str, message: Any) -> Any:
        body = encode(message)
        self.network.sent_messages += 1
        self.network.sent_bytes += len(body)
        return await self.network.deliver(self, node_id, (type(message), body))

    async def _wait_with_timeout(self, exchange, timeout_s: float) -> Any:
        clock = self.network.clock
        task = asyncio.ensure_future(exchange)
        timeout = asyncio.ensure_future(clock.sleep(timeout_s))
        await asyncio.wait({task, timeout}, return_when=asyncio.FIRST_COMPLETED)
        if task.done() and task.result() is not None:
            timeout.cancel()
            return task.result()
        task.cancel()
        await timeout
        return None
