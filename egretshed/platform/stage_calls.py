"""Encodes and decodes calls to stage servers."""

from typing import NamedTuple

import msgspec

from egretshed.errors import BackendRejected
from egretshed.platform.headers import HEADERS
from egretshed.stagework.jobs import PieceFailure
from egretshed.upstream.exchange import OutgoingRequest

FAILURES = {
    "late": PieceFailure.TOO_LATE,
    "gone": PieceFailure.INPUT_GONE,
    "room": PieceFailure.NO_MEMORY,
    "error": PieceFailure.FAILED,
}
JSON_HEADER = ("Content-Type", "application/json")


class StageItem(NamedTuple):
    """One piece of a call; `key` is given to stages that follow no other."""

    request_id: str
    stage: int
    segment: int
    remaining_s: float
    key: str
    inputs: tuple[str, ...]


class StageItemResult(NamedTuple):
    """`handle` names the result; without one, `failure` says why there is none."""

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
    """Return the call that asks one server for several pieces."""
    entries = [_item(item) for item in items]
    return _post("/stage-run", address, server_id, {"entries": entries})


def decode_stage_results(body: bytes, count: int) -> list[StageItemResult]:
    """Return a result a piece; raise `BackendRejected` on anything else."""
    try:
        wire = msgspec.json.decode(body, type=_ResultsWire)
    except msgspec.DecodeError as error:
        raise BackendRejected(f"stage answer: {error}") from error
    if len(wire.entries) != count:
        raise BackendRejected(f"{len(wire.entries)} results for {count} pieces")
    return [_result(entry) for entry in wire.entries]


def encode_stage_free(address: str, handles: list[str]) -> OutgoingRequest:
    """Return the call that frees results at their maker."""
    return _post("/stage-free", address, "", {"handles": handles})


def result_server_address(handle: str) -> str:
    """Return the address of a result's maker."""
    return handle.partition("/")[0]


def _result(wire: _ResultWire) -> StageItemResult:
    if wire.handle:
        return StageItemResult(wire.handle)
    return StageItemResult("", FAILURES.get(wire.reason, PieceFailure.FAILED))


def _item(item: StageItem) -> dict:
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


def _post(path: str, address: str, server_id: str, body: dict) -> OutgoingRequest:
    headers = [("Host", address), JSON_HEADER]
    if server_id:
        headers.append((HEADERS.expected_server, server_id))
    return OutgoingRequest("POST", path, tuple(headers), msgspec.json.encode(body))
