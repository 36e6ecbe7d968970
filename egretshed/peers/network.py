"""Authenticated connections between nodes.

A node opens one connection to each peer that it calls; calls and one-way messages go
out on it, replies come back on it. Each connection has one task that reads it. A call
that gets no reply in time raises `PeerUnavailable`; a connection on which a call went
unanswered for the silence limit is replaced, since it may have gone silent for good.
"""

import asyncio
import os
from collections.abc import (
    Awaitable,
    Callable,
)
from typing import (
    Any,
    NamedTuple,
    Protocol,
)

from tornado.iostream import (
    IOStream,
    StreamClosedError,
)
from tornado.tcpserver import TCPServer

from egretshed.environment import Environment
from egretshed.errors import (
    EgretshedError,
    PeerAuthenticationFailed,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    Ack,
    Failure,
    FrameKind,
    Hello,
)
from egretshed.logs import log_event
from egretshed.peers.client import PeerClient
from egretshed.peers.codec import (
    NONCE_BYTES,
    FrameAuthenticator,
    decode,
    matching_key,
)
from egretshed.peers.connection import (
    HELLO_LIMIT_BYTES,
    Connection,
    PeerAddress,
    encode_hello,
    read_frame,
    write_frame,
)


class Sender(NamedTuple):
    """Authenticated origin of a message."""

    node_id: str
    incarnation: int


Handler = Callable[[Sender, Any], Awaitable[Any | None]]


class PeerNetwork(Protocol):
    """How slices talk to other nodes; `standins.peers` has an in-memory one."""

    async def call(
        self, node_id: str, message: Any, timeout_s: float | None = None
    ) -> Any: ...

    def send(self, node_id: str, message: Any) -> None: ...

    def handle(self, message_class: type, handler: Handler) -> None: ...


class _PeerServer(TCPServer):
    def __init__(self, network: "TcpPeerNetwork"):
        super().__init__()
        self.network = network

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        await self.network.serve(stream)


class TcpPeerNetwork:
    """`PeerNetwork` over TCP.

    `resolve` maps a node id to its `PeerAddress`, or None if the node is unknown.
    """

    def __init__(
        self, env: Environment, resolve: Callable[[str], PeerAddress | None]
    ) -> None:
        self.env = env
        self.resolve = resolve
        self._handlers: dict[type, Handler] = {}
        self._clients: dict[str, PeerClient] = {}
        self._server = _PeerServer(self)
        self._tasks: set[asyncio.Task] = set()
        self._accepted: set[IOStream] = set()

    def start(self, sockets: list) -> None:
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        self._server.stop()
        for client in self._clients.values():
            client.close()
        for stream in list(self._accepted):
            stream.close()
        for task in list(self._tasks):
            task.cancel()

    def handle(self, message_class: type, handler: Handler) -> None:
        self._handlers[message_class] = handler

    async def call(
        self, node_id: str, message: Any, timeout_s: float | None = None
    ) -> Any:
        timeout_s = timeout_s or self.env.settings.peers.call_timeout_s
        return await self._client(node_id).call(message, timeout_s)

    def send(self, node_id: str, message: Any) -> None:
        try:
            client = self._client(node_id)
        except PeerUnavailable:
            return
        self._spawn(client.send(message))

    def forget(self, node_id: str) -> None:
        """Close the connection to a node that has left."""
        client = self._clients.pop(node_id, None)
        if client is not None:
            client.close()

    def _client(self, node_id: str) -> PeerClient:
        address = self.resolve(node_id)
        client = self._clients.get(node_id)
        if client is not None and address in (None, client.address):
            return client
        if client is not None:
            client.close()
        if address is None:
            raise PeerUnavailable(f"node {node_id} is unknown", node_id=node_id)
        client = PeerClient(self.env, node_id, address)
        self._clients[node_id] = client
        return client

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(self, stream: IOStream) -> None:
        """Serve one incoming connection until it closes."""
        self._accepted.add(stream)
        stream.set_nodelay(True)
        try:
            async with asyncio.timeout(self.env.settings.peers.connect_timeout_s):
                connection, sender = await self._accept(stream)
            while True:
                kind, call_id, message = await connection.read()
                self._spawn(self._answer(connection, sender, kind, call_id, message))
        except StreamClosedError:
            pass
        except TimeoutError:
            self._log_refused("timeout", "no handshake in time")
        except EgretshedError as error:
            self._log_refused(error.code, str(error))
        finally:
            self._accepted.discard(stream)
            stream.close()

    def _log_refused(self, error: str, reason: str) -> None:
        log_event(
            self.env.logger, "peer_connection_refused", error=error, reason=reason
        )

    async def _accept(self, stream: IOStream) -> tuple[Connection, Sender]:
        mac, body = await read_frame(stream, self.env, HELLO_LIMIT_BYTES)
        key = matching_key(self.env.settings.peers.keys, mac, body)
        if key is None:
            raise PeerAuthenticationFailed("first frame has a wrong MAC")
        hello = decode(Hello, body)
        nonce = os.urandom(NONCE_BYTES)
        answer = encode_hello(self.env, nonce)
        half_open = FrameAuthenticator(key, client_nonce=hello.nonce)
        await write_frame(stream, half_open.mac(False, answer), answer, self.env)
        channel = FrameAuthenticator(key, hello.nonce, nonce)
        connection = Connection(stream, channel, False, self.env)
        return connection, Sender(hello.node_id, hello.incarnation)

    async def _answer(self, connection, sender, kind, call_id, message) -> None:
        reply = await run_handler(self._handlers, sender, message, self.env)
        if kind != FrameKind.CALL:
            return
        try:
            await connection.write(FrameKind.REPLY, call_id, reply)
        except StreamClosedError:
            pass


async def run_handler(
    handlers: dict[type, Handler], sender: Sender, message: Any, env: Environment
) -> Any:
    """Return the handler's reply, `Ack` for none, or `Failure` if it raised."""
    handler = handlers.get(type(message))
    if handler is None:
        return Failure("not_found", f"no handler for {type(message).__name__}")
    try:
        return await handler(sender, message) or Ack()
    except EgretshedError as error:
        return Failure(error.code, str(error))
    except Exception as error:  # A fault in one handler must not end the connection.
        log_event(
            env.logger,
            "peer_handler_failed",
            message_type=type(message).__name__,
            error=repr(error),
        )
        return Failure("internal", type(error).__name__)
