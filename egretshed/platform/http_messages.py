"""Decodes callers' requests and servers' responses; encodes forwarded requests."""

from typing import Any

import msgspec
from tornado.httputil import HTTPHeaders

from egretshed.ingress.reply import IncomingRequest
from egretshed.platform.headers import (
    HEADERS,
    KEY_SCHEME,
    SYSTEM_HEADERS,
)
from egretshed.platform.server_signals import (
    MISDIRECTED,
    decode_server_signals,
)
from egretshed.relay.request import (
    CallerRequest,
    ForwardFields,
    Prompt,
    PromptPart,
    ServerResponse,
)
from egretshed.upstream.exchange import (
    OutgoingRequest,
    ResponseHead,
)

# Headers that apply to a single connection (RFC 9110 section 7.6.1) or to framing.
CONNECTION_HEADERS = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
    }
)
NOT_FORWARDED = CONNECTION_HEADERS | SYSTEM_HEADERS | {"Authorization"}
LOWEST_PRIORITY = 9
EVENT_STREAM = "text/event-stream"


def decode_request(incoming: IncomingRequest) -> CallerRequest:
    """Return the decoded request; fields that cannot be parsed keep their defaults."""
    headers = incoming.headers
    hop_by_hop = _connection_tokens(headers)
    forwarded = tuple(
        (name, value)
        for name, value in headers.get_all()
        if name not in NOT_FORWARDED and name.lower() not in hop_by_hop
    )
    return CallerRequest(
        request_id=headers.get(HEADERS.request_id, ""),
        method=incoming.method,
        target=incoming.target,
        host=headers.get("Host", ""),
        key=_parse_key(headers.get("Authorization", "")),
        headers=forwarded,
        body=incoming.body,
        received_s=incoming.received_s,
        deadline_s=_parse_ms(headers.get(HEADERS.deadline_ms)),
        prompt=_parse_prompt(headers),
        piece_counts=_parse_integers(headers.get(HEADERS.piece_counts, "")),
        piece_key=headers.get(HEADERS.piece_key, ""),
        last_event_id=headers.get(HEADERS.last_event_id, ""),
        resumes=headers.get(HEADERS.resumes, ""),
    )


def encode_forwarded_request(
    request: CallerRequest, fields: ForwardFields
) -> OutgoingRequest:
    """Return the request to send to a backend server."""
    headers = list(request.headers)
    if fields.last_event_id:
        headers = [h for h in headers if h[0] != HEADERS.last_event_id]
        headers.append((HEADERS.last_event_id, fields.last_event_id))
    headers.append((HEADERS.deadline_ms, str(max(1, int(fields.remaining_s * 1000)))))
    headers.append((HEADERS.expected_server, fields.server_id))
    if fields.customer:
        headers.append((HEADERS.customer, fields.customer))
    if fields.priority is not None:
        priority = min(LOWEST_PRIORITY, max(0, fields.priority))
        headers.append((HEADERS.priority, str(priority)))
    if fields.stage_results:
        headers.append((HEADERS.stage_results, ",".join(fields.stage_results)))
    return OutgoingRequest(request.method, request.target, tuple(headers), request.body)


def decode_response_head(head: ResponseHead) -> ServerResponse:
    """Return the decoded response head of a backend server."""
    headers = head.headers
    hop_by_hop = _connection_tokens(headers)
    return ServerResponse(
        status=head.status,
        request_id=headers.get(HEADERS.request_id, ""),
        signature=headers.get(HEADERS.signature, ""),
        proves_not_run=HEADERS.not_run in headers or head.status == MISDIRECTED,
        headers=tuple(
            (name, value)
            for name, value in headers.get_all()
            if name not in CONNECTION_HEADERS and name.lower() not in hop_by_hop
        ),
        is_encoded="Content-Encoding" in headers,
        signals=decode_server_signals(head),
    )


def _parse_key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME.lower() else ""


def _connection_tokens(headers: HTTPHeaders) -> set[str]:
    """Return the lower-case header names that ``Connection`` lists as hop-by-hop."""
    names = ",".join(headers.get_list("Connection"))
    return {token.strip().lower() for token in names.split(",")} - {""}


def _parse_ms(text: str | None) -> float | None:
    """Return a number of milliseconds in seconds, or None if it is malformed."""
    if text is None or not text.isdecimal():
        return None
    return int(text) / 1000


def _parse_integers(text: str) -> tuple[int, ...]:
    """Return the integers of a comma-separated list; other items are skipped."""
    parts = [part.strip() for part in text.split(",")] if text else []
    return tuple(int(part) for part in parts if part.isdecimal())


def _parse_prompt(headers: HTTPHeaders) -> Prompt | None:
    token_counts = _parse_integers(headers.get(HEADERS.token_counts, ""))
    if len(token_counts) != 2:
        return None
    parts: list[PromptPart] = []
    for item in headers.get(HEADERS.prompt_parts, "").split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id and tokens.isdecimal():
            parts.append(PromptPart(part_id, int(tokens)))
    return Prompt(tuple(parts), token_counts[0], token_counts[1])


def encode_error_response(error: Any, close: bool = False) -> tuple:
    """Return status, headers and body of the response to a failed request."""
    headers = [("Content-Type", "application/json")]
    retry_after_s = error.fields.get("retry_after_s")
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    if close:
        headers.append(("Connection", "close"))
    body = msgspec.json.encode({"error": error.code, "message": error.message})
    return error.http_status, headers, body
