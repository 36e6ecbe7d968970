"""Client side of the connection to one peer."""

import asyncio
import os
import socket
from typing import (
    Any,
)

from tornado.iostream import (
    IOStream,
    StreamClosedError,
)

from egretshed.environment import Environment
from egretshed.errors import (
    EgretshedError,
    PeerAuthenticationFailed,
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    Failure,
    FrameKind,
    Hello,
)
from egretshed.logs import log_event
from egretshed.peers.codec import (
    NONCE_BYTES,
    FrameAuthenticator,
    MalformedMessage,
    decode,
    derive_key,
)
from egretshed.peers.connection import (
    HELLO_LIMIT_BYTES,
    Connection,
    PeerAddress,
    encode_hello,
    read_frame,
    write_frame,
)


class PeerClient:
    """Connection to one peer, with the calls that wait for a reply on it.

    The connection opens with the first message and reopens after it was closed.
    """

    def __init__(self, env: Environment, node_id: str, address: PeerAddress):
        self.env = env
        self.node_id = node_id
        self.address = address
        self._connection: Connection | None = None
        self._connect_lock = asyncio.Lock()
        self._pending_replies: dict[int, asyncio.Future] = {}
        self._next_call_id = 0
        self._read_task: asyncio.Task | None = None
        self._failing_since_s: float | None = None

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Return the reply; raise `PeerUnavailable` or `PeerRejected`."""
        call_id, reply_future = self._new_call()
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                await connection.write(FrameKind.CALL, call_id, message)
                reply = await reply_future
        except (TimeoutError, StreamClosedError, OSError) as error:
            self._record_failure()
            raise PeerUnavailable(
                f"no reply from node {self.node_id}", node_id=self.node_id
            ) from error
        except (MalformedMessage, PeerAuthenticationFailed) as error:
            self.close()
            raise PeerUnavailable(str(error), node_id=self.node_id) from error
        finally:
            self._pending_replies.pop(call_id, None)
        self._failing_since_s = None
        if isinstance(reply, Failure):
            raise PeerRejected(reply.message, error=reply.code, node_id=self.node_id)
        return reply

    async def send(self, message: Any) -> None:
        """Send a one-way message; it is dropped if sending fails."""
        try:
            async with asyncio.timeout(self.env.settings.peers.call_timeout_s):
                connection = await self._connect()
                await connection.write(FrameKind.ONE_WAY, 0, message)
        except (TimeoutError, StreamClosedError, OSError, EgretshedError):
            self._record_failure()

    def close(self) -> None:
        connection, self._connection = self._connection, None
        self._failing_since_s = None
        if connection is not None:
            connection.stream.close()
        if self._read_task is not None:
            self._read_task.cancel()
            self._read_task = None
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_exception(StreamClosedError())
        self._pending_replies.clear()

    def _new_call(self) -> tuple[int, asyncio.Future]:
        self._next_call_id += 1
        reply = asyncio.get_running_loop().create_future()
        # After a timeout nobody awaits the future; asyncio would report an exception
        # that is set later as never retrieved.
        reply.add_done_callback(lambda f: f.cancelled() or f.exception())
        self._pending_replies[self._next_call_id] = reply
        return self._next_call_id, reply

    def _record_failure(self) -> None:
        """Close the connection after the silence limit of failures without a reply."""
        now_s = self.env.clock.monotonic_s()
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        limit_s = self.env.settings.peers.silence_limit_s
        if now_s - self._failing_since_s >= limit_s:
            log_event(self.env.logger, "peer_connection_silent", peer=self.node_id)
            self.close()

    async def _connect(self) -> Connection:
        async with self._connect_lock:
            if self._connection is None or self._connection.stream.closed():
                self._stop_reader()
                self._connection = await self._handshake()
                self._read_task = asyncio.create_task(
                    self._read_replies(self._connection)
                )
            return self._connection

    def _stop_reader(self) -> None:
        if self._read_task is not None:
            self._read_task.cancel()
            self._read_task = None

    async def _handshake(self) -> Connection:
        env = self.env
        timeout_s = env.settings.peers.connect_timeout_s
        async with asyncio.timeout(timeout_s):
            # Hosts are IP addresses and need no lookup. Tornado's TCPClient would leave
            # the socket open when a short call timeout cancels the connect.
            family = socket.AF_INET6 if ":" in self.address.host else socket.AF_INET
            stream = IOStream(socket.socket(family))
            try:
                await stream.connect(self.address)
                return await self._authenticate(stream)
            except BaseException:
                stream.close()
                raise

    async def _authenticate(self, stream: IOStream) -> Connection:
        stream.set_nodelay(True)
        key = derive_key(self.env.settings.peers.keys[0])
        nonce = os.urandom(NONCE_BYTES)
        body = encode_hello(self.env, nonce)
        await write_frame(
            stream, FrameAuthenticator(key).mac(True, body), body, self.env
        )
        mac, body = await read_frame(stream, self.env, HELLO_LIMIT_BYTES)
        FrameAuthenticator(key, client_nonce=nonce).verify(False, mac, body)
        hello = decode(Hello, body)
        if hello.node_id != self.node_id:
            raise PeerAuthenticationFailed(
                f"node {hello.node_id} replied at the address of node {self.node_id}"
            )
        return Connection(
            stream, FrameAuthenticator(key, nonce, hello.nonce), True, self.env
        )

    async def _read_replies(self, connection: Connection) -> None:
        try:
            while True:
                _, call_id, message = await connection.read()
                reply = self._pending_replies.get(call_id)
                if reply is not None and not reply.done():
                    reply.set_result(message)
        except (StreamClosedError, EgretshedError):
            connection.stream.close()
            if self._connection is connection:
                self._read_task = None
                self.close()
