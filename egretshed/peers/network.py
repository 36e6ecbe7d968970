"""Authenticated connections between nodes.

A node opens one connection to each peer that it calls. It sends calls and one-way
messages on this connection and receives the replies, which one task reads. A call
without a reply in time raises `PeerUnavailable`. A connection without any reply for the
silence limit is replaced, since it may have stalled for good.
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
from egretshed.ingress.connection_bound import connection_limit
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
    """Authenticated sender of a message."""

    node_id: str
    incarnation: int


Handler = Callable[[Sender, Any], Awaitable[Any | None]]


class PeerNetwork(Protocol):
    """Messaging with other nodes.

    `standins.peers` has an in-memory implementation for tests.
    """

    async def call(
        self, node_id: str, message: Any, timeout_s: float | None = None
    ) -> Any:
        """Return the reply; raise `PeerUnavailable` or `PeerRejected`."""

    def send(self, node_id: str, message: Any) -> None:
        """Send a one-way message in the background; it is dropped if that fails."""

    def handle(self, message_class: type, handler: Handler) -> None:
        """Register the handler of a message class."""


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
        self._accepted_streams: set[IOStream] = set()
        # Those of them whose node is not known yet, the oldest first.
        self._unknown_streams: dict[IOStream, None] = {}

    def start(self, sockets: list) -> None:
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        self._server.stop()
        for client in self._clients.values():
            client.close()
        for stream in list(self._accepted_streams):
            stream.close()
        for task in list(self._tasks):
            task.cancel()

    def handle(self, message_class: type, handler: Handler) -> None:
        self._handlers[message_class] = handler

    async def call(
        self, node_id: str, message: Any, timeout_s: float | None = None
    ) -> Any:
        if timeout_s is None:
            timeout_s = self.env.settings.peers.call_timeout_s
        return await self._get_client(node_id).call(message, timeout_s)

    def send(self, node_id: str, message: Any) -> None:
        try:
            client = self._get_client(node_id)
        except PeerUnavailable:
            return
        self._spawn(client.send(message))

    def disconnect(self, node_id: str) -> None:
        """Close the connection to a node that has left the membership."""
        client = self._clients.pop(node_id, None)
        if client is not None:
            client.close()

    def _get_client(self, node_id: str) -> PeerClient:
        address = self.resolve(node_id)
        client = self._clients.get(node_id)
        if client is not None and address in (None, client.address):
            return client
        if client is not None:
            client.close()
        if address is None:
            raise PeerUnavailable(
                f"node {node_id} has no known address", node_id=node_id
            )
        client = PeerClient(self.env, node_id, address)
        self._clients[node_id] = client
        return client

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(self, stream: IOStream) -> None:
        """Serve one incoming connection until it closes."""
        self._accepted_streams.add(stream)
        self._make_room()
        self._unknown_streams[stream] = None
        stream.set_nodelay(True)
        try:
            async with asyncio.timeout(self.env.settings.peers.connect_timeout_s):
                connection, sender = await self._accept_handshake(stream)
            self._unknown_streams.pop(stream, None)
            while True:
                kind, call_id, message = await connection.read()
                self._spawn(
                    self._handle_message(connection, sender, kind, call_id, message)
                )
        except StreamClosedError:
            pass
        except TimeoutError:
            self._log_refused("timeout", "no handshake within the connect timeout")
        except EgretshedError as error:
            self._log_refused(error.code, str(error))
        finally:
            self._accepted_streams.discard(stream)
            self._unknown_streams.pop(stream, None)
            stream.close()

    def _make_room(self) -> None:
        """Close the oldest connection of an unknown node if there are too many.

        A crowd that is no node would take the descriptors of the process.
        """
        limit = connection_limit("peers", self.env.settings.node)
        if len(self._unknown_streams) >= limit:
            oldest = next(iter(self._unknown_streams))
            del self._unknown_streams[oldest]
            oldest.close()

    def _log_refused(self, error: str, reason: str) -> None:
        log_event(
            self.env.logger, "peer_connection_refused", error=error, reason=reason
        )

    async def _accept_handshake(self, stream: IOStream) -> tuple[Connection, Sender]:
        mac, body = await read_frame(stream, self.env, HELLO_LIMIT_BYTES)
        key = matching_key(self.env.settings.peers.keys, mac, body)
        if key is None:
            raise PeerAuthenticationFailed("first frame has a wrong MAC")
        hello = decode(Hello, body)
        nonce = os.urandom(NONCE_BYTES)
        reply = encode_hello(self.env, nonce)
        hello_authenticator = FrameAuthenticator(key, client_nonce=hello.nonce)
        await write_frame(
            stream, hello_authenticator.mac(False, reply), reply, self.env
        )
        authenticator = FrameAuthenticator(key, hello.nonce, nonce)
        connection = Connection(stream, authenticator, False, self.env)
        return connection, Sender(hello.node_id, hello.incarnation)

    async def _handle_message(self, connection, sender, kind, call_id, message) -> None:
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
    """Return the reply of the message's handler.

    A handler without a reply gives `Ack`; one that raised, or none, gives `Failure`.
    """
    handler = handlers.get(type(message))
    if handler is None:
        return Failure("not_found", f"no handler for {type(message).__name__}")
    try:
        return await handler(sender, message) or Ack()
    except EgretshedError as error:
        return Failure(error.code, str(error))
    except Exception as error:  # An error in one handler must not close the connection.
        log_event(
            env.logger,
            "peer_handler_failed",
            message_type=type(message).__name__,
            error=repr(error),
        )
        return Failure("internal", type(error).__name__)
