"""Frames of an authenticated connection between two nodes."""

import struct
from typing import (
    Any,
    NamedTuple,
)

from tornado.iostream import (
    IOStream,
)

from egretshed.environment import Environment
from egretshed.errors import (
    PeerAuthenticationFailed,
)
from egretshed.gen.messages.ttypes import (
    Frame,
    FrameKind,
    Hello,
)
from egretshed.peers.codec import (
    MAC_BYTES,
    MESSAGE_CLASSES,
    MESSAGE_TYPES,
    PROTOCOL_VERSION,
    FrameAuthenticator,
    MalformedMessage,
    decode,
    encode,
)

LENGTH_BYTES = 4
# Limit of the first frame, so that an unauthenticated client cannot make a node buffer
# more than this.
HELLO_LIMIT_BYTES = 1024


class PeerAddress(NamedTuple):
    host: str
    port: int


class Connection:
    """Reads and writes frames on one stream after the handshake."""

    def __init__(
        self,
        stream: IOStream,
        authenticator: FrameAuthenticator,
        is_client: bool,
        env: Environment,
    ):
        self.stream = stream
        self.authenticator = authenticator
        self.is_client = is_client
        self.env = env
        self.sent_frames = 0
        self.received_frames = 0

    async def write(self, kind: FrameKind, call_id: int, message: Any) -> None:
        self.sent_frames += 1
        frame = Frame(
            self.sent_frames,
            kind,
            call_id,
            MESSAGE_TYPES[type(message)],
            encode(message),
        )
        body = encode(frame)
        self._count_sent(type(message).__name__, LENGTH_BYTES + MAC_BYTES + len(body))
        await write_frame(
            self.stream, self.authenticator.mac(self.is_client, body), body, self.env
        )

    def _count_sent(self, message: str, size_bytes: int) -> None:
        metrics = self.env.metrics
        metrics.counter(
            "peer_sent_frames_total", "Messages sent to other nodes", ("message",)
        ).labels(message).inc()
        metrics.counter(
            "peer_sent_frame_bytes_total", "Bytes sent, by message", ("message",)
        ).labels(message).inc(size_bytes)

    async def read(self) -> tuple[FrameKind, int, Any]:
        mac, body = await read_frame(self.stream, self.env)
        self.authenticator.verify(not self.is_client, mac, body)
        frame = decode(Frame, body)
        if frame.counter != self.received_frames + 1:
            raise PeerAuthenticationFailed("frame counter is out of order")
        self.received_frames = frame.counter
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


def encode_hello(env: Environment, nonce: bytes) -> bytes:
    """Return the first frame's body, which identifies this node."""
    identity = env.identity
    return encode(
        Hello(identity.node_id, identity.incarnation, nonce, PROTOCOL_VERSION)
    )
