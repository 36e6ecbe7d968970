"""Encodes and decodes calls to stage servers."""

from typing import NamedTuple

import msgspec

from egretshed.errors import BackendRejected
from egretshed.platform.headers import HEADERS
from egretshed.stage_scheduling.jobs import PieceFailure
from egretshed.untrusted_json import decode_untrusted
from egretshed.upstream.exchange import OutgoingRequest

FAILURES_BY_REASON = {
    "late": PieceFailure.TOO_LATE,
    "gone": PieceFailure.INPUT_GONE,
    "room": PieceFailure.NO_MEMORY,
    "error": PieceFailure.FAILED,
}
JSON_HEADER = ("Content-Type", "application/json")


class StageItem(NamedTuple):
    """One piece of a call.

    Stages that follow no other stage get `key` instead of `inputs`.
    """

    request_id: str
    stage: int
    segment: int
    remaining_s: float
    key: str
    inputs: tuple[str, ...]


class StageItemResult(NamedTuple):
    """The `handle` of a result, or the `failure` if there is none."""

    handle: str = ""
    failure: PieceFailure | None = None


class _ResultWire(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _ResultsWire(msgspec.Struct):
    entries: list[_ResultWire]


def encode_stage_call(
    server_id: str, address: str, items: list[StageItem]
) -> OutgoingRequest:
    """Return the request for one server to compute several pieces."""
    entries = [_encode_item(item) for item in items]
    return _post_request("/stage-run", address, server_id, {"entries": entries})


def decode_stage_results(body: bytes, count: int) -> list[StageItemResult]:
    """Return one result for each piece.

    Raises `BackendRejected` if the body is malformed or has another number of results.
    """
    try:
        wire = decode_untrusted(body, _ResultsWire)
    except msgspec.DecodeError as error:
        raise BackendRejected(f"malformed stage response: {error}") from error
    if len(wire.entries) != count:
        raise BackendRejected(
            f"stage response has {len(wire.entries)} results for {count} pieces"
        )
    return [_decode_result(entry) for entry in wire.entries]


def encode_stage_free(
    server_id: str, address: str, handles: list[str]
) -> OutgoingRequest:
    """Return the request that frees results on the server that holds them."""
    return _post_request("/stage-free", address, server_id, {"handles": handles})


def result_server_address(handle: str) -> str:
    """Return the address of the server that holds a result."""
    return handle.partition("/")[0]


def _decode_result(wire: _ResultWire) -> StageItemResult:
    if wire.handle:
        return StageItemResult(wire.handle)
    return StageItemResult("", FAILURES_BY_REASON.get(wire.reason, PieceFailure.FAILED))


def _encode_item(item: StageItem) -> dict:
    entry = {
        "id": item.request_id,
        "stage": item.stage,
        "segment": item.segment,
        "remaining_ms": max(1, int(item.remaining_s * 1000)),
    }
    if item.inputs:
        entry["inputs"] = list(item.inputs)
    else:
        entry["key"] = item.key
    return entry


def _post_request(
    path: str, address: str, server_id: str, body: dict
) -> OutgoingRequest:
    headers = (
        ("Host", address),
        JSON_HEADER,
        (HEADERS.expected_server, server_id),
    )
    return OutgoingRequest("POST", path, headers, msgspec.json.encode(body))
