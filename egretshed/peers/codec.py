"""Encoding and authentication of frames between nodes.

A frame consists of a 4-byte big-endian length, a 16-byte MAC and a struct in thrift's
compact protocol. The MAC is keyed BLAKE2b over the sender's role on the connection, the
nonces of both nodes and the struct, so that a frame can neither be replayed on another
connection nor reflected to its sender. The counter in `Frame` prevents replays on the
same connection.
"""

import hashlib
import hmac
from typing import (
    Any,
    NamedTuple,
)

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import (
    deserialize,
    serialize,
)

from egretshed.errors import (
    EgretshedError,
    PeerAuthenticationFailed,
)
from egretshed.gen.messages import ttypes
from egretshed.gen.messages.ttypes import MessageType

MAC_BYTES = 16
NONCE_BYTES = 16
PROTOCOL_VERSION = 1

_PROTOCOL = TCompactProtocolAcceleratedFactory()


class MalformedMessage(EgretshedError):
    """Bytes from a peer cannot be decoded as the expected struct."""

    code = "malformed_message"
    http_status = 502


def _class_name(message_type: MessageType) -> str:
    return "".join(part.capitalize() for part in message_type.name.split("_"))


MESSAGE_CLASSES = {
    message_type: getattr(ttypes, _class_name(message_type))
    for message_type in MessageType
}
MESSAGE_TYPES = {cls: message_type for message_type, cls in MESSAGE_CLASSES.items()}


def encode(message: Any) -> bytes:
    """Return a thrift struct encoded in the compact protocol."""
    return serialize(message, _PROTOCOL)


def decode(cls: type, body: bytes) -> Any:
    """Decode and validate a `cls`; raise `MalformedMessage` if that fails."""
    try:
        message = deserialize(cls(), body, _PROTOCOL)
        message.validate()
    except (TException, EOFError, ValueError, TypeError, IndexError) as error:
        raise MalformedMessage(f"malformed {cls.__name__}: {error}") from error
    return message


class FrameAuthenticator(NamedTuple):
    """Computes and verifies the MACs of the frames of one connection.

    A nonce is empty in the MACs up to that of the frame that carries it.
    """

    key: bytes
    client_nonce: bytes = b""
    server_nonce: bytes = b""

    def mac(self, from_client: bool, body: bytes) -> bytes:
        direction = b"c" if from_client else b"s"
        return hashlib.blake2b(
            direction + self.client_nonce + self.server_nonce + body,
            key=self.key,
            digest_size=MAC_BYTES,
        ).digest()

    def verify(self, from_client: bool, mac: bytes, body: bytes) -> None:
        if not hmac.compare_digest(mac, self.mac(from_client, body)):
            raise PeerAuthenticationFailed("frame has a wrong MAC")


def derive_key(key: str) -> bytes:
    """Return a 32-byte MAC key derived from a configured secret of any length."""
    return hashlib.blake2b(key.encode(), digest_size=32).digest()


def matching_key(keys: tuple[str, ...], mac: bytes, body: bytes) -> bytes | None:
    """Return the derived key of the secret that authenticates a client's first frame.

    Returns None if none of `keys` does.
    """
    for key in keys:
        candidate = derive_key(key)
        if hmac.compare_digest(mac, FrameAuthenticator(candidate).mac(True, body)):
            return candidate
    return None
