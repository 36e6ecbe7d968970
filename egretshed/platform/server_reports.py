"""Encodes and decodes what a server tells about its own process."""

import msgspec

from egretshed.platform.headers import HEADERS
from egretshed.untrusted_json import decode_untrusted
from egretshed.upstream.exchange import OutgoingRequest


class _ReportWire(msgspec.Struct):
    born: int | None = None


def encode_report_request(server_id: str, address: str) -> OutgoingRequest:
    """Return the request for the state of a server."""
    headers = (("Host", address), (HEADERS.expected_server, server_id))
    return OutgoingRequest("GET", "/report", headers)


def decode_started_ms(status: int, body: bytes) -> int | None:
    """Return the Unix time at which a server started, None if it does not tell."""
    if status != 200:
        return None
    try:
        return decode_untrusted(body, _ReportWire).born
    except msgspec.DecodeError:
        return None
