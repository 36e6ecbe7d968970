"""The connection that a node opens to one peer, and the calls waiting on it."""

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
    """The connection to one peer and the calls waiting on it."""

    def __init__(self, env: Environment, node_id: str, address: PeerAddress):
        self.env = env
        self.node_id = node_id
        self.address = address
        self._connection: Connection | None = None
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

    async def _connect(self) -> Connection:
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

    async def _handshake(self) -> Connection:
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

    async def _authenticate(self, stream: IOStream) -> Connection:
        stream.set_nodelay(True)
        key = derive_key(self.env.settings.peers.keys[0])
        nonce = os.urandom(NONCE_BYTES)
        body = encode_hello(self.env, nonce)
        await write_frame(
            stream, FrameAuthenticator(key).mac(True, body), body, self.env
        )
        mac, body = await read_frame(stream, self.env, HELLO_LIMIT_BYTES)
        FrameAuthenticator(key, client_nonce=nonce).check(False, mac, body)
        hello = decode(Hello, body)
        if hello.node_id != self.node_id:
            raise PeerAuthenticationFailed(
                f"node {hello.node_id} answered at the address of {self.node_id}"
            )
        return Connection(
            stream, FrameAuthenticator(key, nonce, hello.nonce), True, self.env
        )

    async def _read(self, connection: Connection) -> None:
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
