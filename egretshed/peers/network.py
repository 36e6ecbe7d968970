"""Authenticated connections between nodes.

A node opens one connection to each peer that it calls; calls and one-way messages go
out on it, replies come back on it. Each connection has one task that reads it. A call
that gets no reply in time raises `PeerUnavailable`; a connection on which a call went
unanswered for the silence limit is replaced, since it may have gone silent for good.
"""

import asyncio
import os
import socket
import struct
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
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    Ack,
    Failure,
    Frame,
    FrameKind,
    Hello,
)
from egretshed.logs import log_event
from egretshed.peers.codec import (
    MAC_BYTES,
    MESSAGE_CLASSES,
    MESSAGE_TYPES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
    Channel,
    MalformedMessage,
    decode,
    encode,
    key_bytes,
    matching_key,
)

LENGTH_BYTES = 4
# Strangers can make a node buffer no more than this before they are refused.
HELLO_LIMIT_BYTES = 1024


class Sender(NamedTuple):
    """Authenticated origin of a message."""

    node_id: str
    incarnation: int


class PeerAddress(NamedTuple):
    host: str
    port: int


Handler = Callable[[Sender, Any], Awaitable[Any | None]]


class PeerNetwork(Protocol):
    """How slices talk to other nodes; `standins.peers` has an in-memory one."""

    async def call(
        self, node_id: str, message: Any, timeout_s: float | None = None
    ) -> Any: ...

    def send(self, node_id: str, message: Any) -> None: ...

    def handle(self, message_class: type, handler: Handler) -> None: ...


class _Connection:
    """Reads and writes frames on one stream after the handshake."""

    def __init__(
        self, stream: IOStream, channel: Channel, is_client: bool, env: Environment
    ):
        self.stream = stream
        self.channel = channel
        self.is_client = is_client
        self.env = env
        self.sent = 0
        self.received = 0

    async def write(self, kind: FrameKind, call_id: int, message: Any) -> None:
        self.sent += 1
        frame = Frame(
            self.sent, kind, call_id, MESSAGE_TYPES[type(message)], encode(message)
        )
        body = encode(frame)
        self._count(type(message).__name__, LENGTH_BYTES + MAC_BYTES + len(body))
        await write_frame(
            self.stream, self.channel.mac(self.is_client, body), body, self.env
        )

    def _count(self, message: str, size_bytes: int) -> None:
        metrics = self.env.metrics
        metrics.counter(
            "peer_sent_frames_total", "Messages sent to other nodes", ("message",)
        ).labels(message).inc()
        metrics.counter(
            "peer_sent_frame_bytes_total", "Bytes sent, by message", ("message",)
        ).labels(message).inc(size_bytes)

    async def read(self) -> tuple[FrameKind, int, Any]:
        mac, body = await read_frame(self.stream, self.env)
        self.channel.check(not self.is_client, mac, body)
        frame = decode(Frame, body)
        if frame.counter != self.received + 1:
            raise PeerAuthenticationFailed("frame counter is out of order")
        self.received = frame.counter
        message = decode(MESSAGE_CLASSES[frame.message_type], frame.body)
        return frame.kind, frame.call_id, message


async def write_frame(stream: IOStream, mac: bytes, body: bytes, env) -> None:
    env.metrics.counter("peer_sent_bytes_total", "Bytes sent to other nodes").inc(
        LENGTH_BYTES + MAC_BYTES + len(body)
    )
    await stream.write(struct.pack("!I", MAC_BYTES + len(body)) + mac + body)


async def read_frame(
    stream: IOStream, env: Environment, limit_bytes: int | None = None
) -> tuple[bytes, bytes]:
    (length,) = struct.unpack("!I", await stream.read_bytes(LENGTH_BYTES))
    if not MAC_BYTES <= length <= (limit_bytes or env.settings.peers.max_frame_bytes):
        raise MalformedMessage(f"frame length {length} is out of bounds")
    data = await stream.read_bytes(length)
    env.metrics.counter(
        "peer_received_bytes_total", "Bytes received from other nodes"
    ).inc(LENGTH_BYTES + length)
    return data[:MAC_BYTES], data[MAC_BYTES:]


def _hello(env: Environment, nonce: bytes) -> bytes:
    identity = env.identity
    return encode(
        Hello(identity.node_id, identity.incarnation, nonce, PROTOCOL_VERSION)
    )


class PeerClient:
    """The connection to one peer and the calls waiting on it."""

    def __init__(self, env: Environment, node_id: str, address: PeerAddress):
        self.env = env
        self.node_id = node_id
        self.address = address
        self._connection: _Connection | None = None
        self._connecting = asyncio.Lock()
        self._waiting: dict[int, asyncio.Future] = {}
        self._next_call_id = 0
        self._reader: asyncio.Task | None = None
        self._unanswered_since_s: float | None = None

    async def call(self, message: Any, timeout_s: float) -> Any:
        call_id, reply = self._new_call()
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                await connection.write(FrameKind.CALL, call_id, message)
                answer = await reply
        except (TimeoutError, StreamClosedError, OSError) as error:
            self._note_silence()
            raise PeerUnavailable(
                f"no reply from node {self.node_id}", node_id=self.node_id
            ) from error
        except (MalformedMessage, PeerAuthenticationFailed) as error:
            self.close()
            raise PeerUnavailable(str(error), node_id=self.node_id) from error
        finally:
            self._waiting.pop(call_id, None)
        self._unanswered_since_s = None
        if isinstance(answer, Failure):
            raise PeerRejected(answer.message, error=answer.code, node_id=self.node_id)
        return answer

    async def send(self, message: Any) -> None:
        """Send without waiting for a reply; a failure drops the message."""
        try:
            async with asyncio.timeout(self.env.settings.peers.call_timeout_s):
                connection = await self._connect()
                await connection.write(FrameKind.ONE_WAY, 0, message)
        except (TimeoutError, StreamClosedError, OSError, EgretshedError):
            self._note_silence()

    def close(self) -> None:
        connection, self._connection = self._connection, None
        self._unanswered_since_s = None
        if connection is not None:
            connection.stream.close()
        if self._reader is not None:
            self._reader.cancel()
            self._reader = None
        for reply in self._waiting.values():
            if not reply.done():
                reply.set_exception(StreamClosedError())
        self._waiting.clear()

    def _new_call(self) -> tuple[int, asyncio.Future]:
        self._next_call_id += 1
        reply = asyncio.get_running_loop().create_future()
        # A call that timed out leaves nobody to collect a later exception.
        reply.add_done_callback(lambda f: f.cancelled() or f.exception())
        self._waiting[self._next_call_id] = reply
        return self._next_call_id, reply

    def _note_silence(self) -> None:
        now_s = self.env.clock.monotonic_s()
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        limit_s = self.env.settings.peers.silence_limit_s
        if now_s - self._unanswered_since_s >= limit_s:
            log_event(self.env.logger, "peer_connection_silent", peer=self.node_id)
            self.close()

    async def _connect(self) -> _Connection:
        async with self._connecting:
            if self._connection is None or self._connection.stream.closed():
                self.close_stale()
                self._connection = await self._handshake()
                self._reader = asyncio.create_task(self._read(self._connection))
            return self._connection

    def close_stale(self) -> None:
        if self._reader is not None:
            self._reader.cancel()
            self._reader = None

    async def _handshake(self) -> _Connection:
        env = self.env
        timeout_s = env.settings.peers.connect_timeout_s
        async with asyncio.timeout(timeout_s):
            # Addresses are IP numbers. Unlike TCPClient, a stream of our own is closed
            # when a short call timeout cancels the connect.
            family = socket.AF_INET6 if ":" in self.address.host else socket.AF_INET
            stream = IOStream(socket.socket(family))
            try:
                await stream.connect(self.address)
                return await self._authenticate(stream)
            except BaseException:
                stream.close()
                raise

    async def _authenticate(self, stream: IOStream) -> _Connection:
        stream.set_nodelay(True)
        key = key_bytes(self.env.settings.peers.keys[0])
        nonce = os.urandom(NONCE_BYTES)
        body = _hello(self.env, nonce)
        await write_frame(stream, Channel(key).mac(True, body), body, self.env)
        mac, body = await read_frame(stream, self.env, HELLO_LIMIT_BYTES)
        Channel(key, client_nonce=nonce).check(False, mac, body)
        hello = decode(Hello, body)
        if hello.node_id != self.node_id:
            raise PeerAuthenticationFailed(
                f"node {hello.node_id} answered at the address of {self.node_id}"
            )
        return _Connection(stream, Channel(key, nonce, hello.nonce), True, self.env)

    async def _read(self, connection: _Connection) -> None:
        try:
            while True:
                _, call_id, message = await connection.read()
                reply = self._waiting.get(call_id)
                if reply is not None and not reply.done():
                    reply.set_result(message)
        except (StreamClosedError, EgretshedError):
            connection.stream.close()
            if self._connection is connection:
                self._reader = None
                self.close()


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

    async def _accept(self, stream: IOStream) -> tuple[_Connection, Sender]:
        mac, body = await read_frame(stream, self.env, HELLO_LIMIT_BYTES)
        key = matching_key(self.env.settings.peers.keys, mac, body)
        if key is None:
            raise PeerAuthenticationFailed("first frame has a wrong MAC")
        hello = decode(Hello, body)
        nonce = os.urandom(NONCE_BYTES)
        answer = _hello(self.env, nonce)
        half_open = Channel(key, client_nonce=hello.nonce)
        await write_frame(stream, half_open.mac(False, answer), answer, self.env)
        channel = Channel(key, hello.nonce, nonce)
        connection = _Connection(stream, channel, False, self.env)
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
