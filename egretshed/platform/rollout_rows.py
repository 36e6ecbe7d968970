"""Decodes operators' orders of rollouts; encodes and decodes their status."""

import msgspec

from egretshed.platform.records import MalformedRecord
from egretshed.rollouts.records import (
    RolloutOrder,
    RolloutState,
)
from egretshed.untrusted_json import decode_untrusted

MAX_DURATION_S = 86_400.0


class _OrderWire(msgspec.Struct):
    service: str
    to: str  # version of the software
    duration_s: float


class _StatusWire(msgspec.Struct):
    state: str
    to: str


def decode_rollout_order(service: str, value: bytes, row_version: int) -> RolloutOrder:
    """Return the order in a row of a service; raise `MalformedRecord`."""
    try:
        wire = decode_untrusted(value, _OrderWire)
    except msgspec.DecodeError as error:
        raise MalformedRecord(str(error)) from error
    if not wire.to or wire.service != service:
        raise MalformedRecord(f"order names {wire.service!r} and {wire.to!r}")
    if not 0 < wire.duration_s <= MAX_DURATION_S:
        raise MalformedRecord(f"duration {wire.duration_s} s")
    return RolloutOrder(service, wire.to, wire.duration_s, row_version)


def encode_rollout_status(state: RolloutState, to_version: str) -> bytes:
    return msgspec.json.encode(_StatusWire(state.value, to_version))


def decode_rollout_status(value: bytes) -> tuple[RolloutState, str]:
    """Return the state and the version of a status; raise `MalformedRecord`."""
    try:
        wire = decode_untrusted(value, _StatusWire)
        return RolloutState(wire.state), wire.to
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedRecord(str(error)) from error
