"""Decodes callers' requests and servers' answers, and encodes what is sent on."""

from typing import Any

import msgspec
from tornado.httputil import HTTPHeaders

from egretshed.ingress.server import IncomingRequest
from egretshed.platform.headers import (
    HEADERS,
    KEY_SCHEME,
    SYSTEM_HEADERS,
)
from egretshed.relay.request import (
    CallerRequest,
    ForwardFields,
    Prompt,
    PromptPart,
    ServerResponse,
)
from egretshed.upstream.exchange import (
    AnswerHead,
    OutgoingRequest,
)

# Headers that concern one connection only, RFC 9110 section 7.6.1.
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
MISDIRECTED = 421
LEAST_PRIORITY = 9
EVENT_STREAM = "text/event-stream"


def decode_request(incoming: IncomingRequest) -> CallerRequest:
    """Return what a caller sent, with every field that could not be read left out."""
    headers = incoming.headers
    named = _connection_tokens(headers)
    forwarded = tuple(
        (name, value)
        for name, value in headers.get_all()
        if name not in NOT_FORWARDED and name.lower() not in named
    )
    return CallerRequest(
        request_id=headers.get(HEADERS.request_id, ""),
        method=incoming.method,
        target=incoming.target,
        host=headers.get("Host", ""),
        key=_key(headers.get("Authorization", "")),
        headers=forwarded,
        body=incoming.body,
        received_s=incoming.received_s,
        deadline_s=_milliseconds(headers.get(HEADERS.deadline_ms)),
        prompt=_prompt(headers),
        piece_counts=_numbers(headers.get(HEADERS.piece_counts, "")),
        piece_key=headers.get(HEADERS.piece_key, ""),
    )


def encode_forwarded_request(
    request: CallerRequest, fields: ForwardFields
) -> OutgoingRequest:
    """Return the request as it is sent to a backend server."""
    headers = list(request.headers)
    if fields.last_event_id:
        headers = [h for h in headers if h[0] != "Last-Event-Id"]
        headers.append(("Last-Event-Id", fields.last_event_id))
    headers.append((HEADERS.deadline_ms, str(max(1, int(fields.remaining_s * 1000)))))
    headers.append((HEADERS.expected_server, fields.server_id))
    if fields.customer:
        headers.append((HEADERS.customer, fields.customer))
    if fields.priority is not None:
        priority = min(LEAST_PRIORITY, max(0, fields.priority))
        headers.append((HEADERS.priority, str(priority)))
    if fields.stage_results:
        headers.append((HEADERS.stage_results, ",".join(fields.stage_results)))
    return OutgoingRequest(request.method, request.target, tuple(headers), request.body)


def decode_response_head(head: AnswerHead) -> ServerResponse:
    """Return what a server's head says."""
    headers = head.headers
    named = _connection_tokens(headers)
    return ServerResponse(
        status=head.status,
        request_id=headers.get(HEADERS.request_id, ""),
        signature=headers.get(HEADERS.signature, ""),
        proves_not_run=HEADERS.not_run in headers or head.status == MISDIRECTED,
        load=decode_load(headers.get(HEADERS.server_load, "")),
        headers=tuple(
            (name, value)
            for name, value in headers.get_all()
            if name not in CONNECTION_HEADERS and name.lower() not in named
        ),
        is_encoded="Content-Encoding" in headers,
    )


def decode_load(text: str) -> tuple[int, int, int] | None:
    """Return the running and waiting requests and slots, or None."""
    numbers = _numbers(text)
    return numbers if len(numbers) == 3 else None


def _key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME.lower() else ""


def _connection_tokens(headers: HTTPHeaders) -> set[str]:
    """Return the headers that ``Connection`` declares as its own."""
    listed = ",".join(headers.get_list("Connection"))
    return {token.strip().lower() for token in listed.split(",")} - {""}


def _milliseconds(text: str | None) -> float | None:
    if text is None or not text.isdecimal():
        return None
    return int(text) / 1000


def _numbers(text: str) -> tuple[int, ...]:
    parts = [part.strip() for part in text.split(",")] if text else []
    return tuple(int(part) for part in parts if part.isdecimal())


def _prompt(headers: HTTPHeaders) -> Prompt | None:
    counts = _numbers(headers.get(HEADERS.token_counts, ""))
    if len(counts) != 2:
        return None
    parts: list[PromptPart] = []
    for item in headers.get(HEADERS.prompt_parts, "").split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id and tokens.isdecimal():
            parts.append(PromptPart(part_id, int(tokens)))
    return Prompt(tuple(parts), counts[0], counts[1])


def encode_error_response(error: Any, close: bool = False) -> tuple:
    """Return status, headers and body of an answer of the system's own."""
    headers = [("Content-Type", "application/json")]
    retry_after_s = error.fields.get("retry_after_s")
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    if close:
        headers.append(("Connection", "close"))
    body = msgspec.json.encode({"error": error.code, "message": error.message})
    return error.http_status, headers, body
