"""Parses submitted requests and checks them against the configuration."""

import re
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from egretshed.configuration.schema import (
    Configuration,
    RequestKind,
    Stage,
)
from egretshed.errors import (
    BodyTooLarge,
    DeadlinePassed,
    InvalidRequest,
    NotFound,
)
from egretshed.records import (
    Fault,
    read_record,
)

REQUEST_ID = re.compile(r"[A-Za-z0-9._:\-]{1,128}")
MAX_SEQUENCE = 2**53


class ResumePoint(NamedTuple):
    """Where a caller lost its stream; it is continued from there or restarted."""

    stream_id: str
    after_sequence: int


class SubmissionBody(NamedTuple):
    """JSON body of ``POST /v1/requests``; `deadline_s` counts from its arrival.

    `resubmission` says that an earlier submission of the request id got no final
    answer. While that one may have run, this one is not answered ``not_run``.
    """

    request_id: str
    kind: str
    body: dict[str, Any]
    deadline_s: float | None = None
    priority: int | None = None
    stream: bool = False
    resume: dict[str, Any] | None = None
    resubmission: bool = False


class Submission(NamedTuple):
    """A validated request with its kind and the stages of the kind."""

    customer_id: str
    request_id: str
    kind_name: str
    kind: RequestKind
    stages: tuple[Stage, ...]
    body: dict[str, Any]
    deadline_s: float
    priority: int
    stream: bool
    resume: ResumePoint | None
    resubmission: bool


def read_submission(
    raw: bytes, customer_id: str, configuration: Configuration, limit_bytes: int
) -> Submission:
    """Return the validated submission; nothing is started.

    Raises `BodyTooLarge`, `InvalidRequest`, `DeadlinePassed` or `NotFound`.
    """
    if len(raw) > limit_bytes:
        raise BodyTooLarge("request body is too large", limit_bytes=limit_bytes)
    body = _read_body(raw)
    if not REQUEST_ID.fullmatch(body.request_id):
        raise InvalidRequest(
            "request_id must be 1 to 128 letters, digits or . _ : -",
            path="$.request_id",
        )
    kind = configuration.kinds.get(body.kind)
    if kind is None:
        raise NotFound(f"unknown request kind {body.kind!r}", path="$.kind")
    _check_body_fields(body.body)
    return Submission(
        customer_id=customer_id,
        request_id=body.request_id,
        kind_name=body.kind,
        kind=kind,
        stages=stages_of(kind, configuration),
        body=body.body,
        deadline_s=_deadline_s(body.deadline_s, kind),
        priority=_priority(body.priority, kind),
        stream=body.stream,
        resume=_resume(body.resume),
        resubmission=body.resubmission or body.resume is not None,
    )


def stages_of(kind: RequestKind, configuration: Configuration) -> tuple[Stage, ...]:
    """Return the stages of a kind; a service becomes a single stage named after it."""
    if kind.pipeline:
        return configuration.pipelines[kind.pipeline].stages
    return (Stage(kind.service, kind.service),)


def _read_body(raw: bytes) -> SubmissionBody:
    try:
        decoded = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequest(f"body is not valid JSON: {error}", path="$") from error
    faults: list[Fault] = []
    body = read_record(decoded, SubmissionBody, "$", faults)
    if body is None:
        raise InvalidRequest(
            "body does not match the schema", faults=[f._asdict() for f in faults]
        )
    return body


def _check_body_fields(body: dict[str, Any]) -> None:
    for name, expected in (("prompt", str), ("session", str), ("max_tokens", int)):
        value = body.get(name)
        if value is not None and (
            not isinstance(value, expected) or isinstance(value, bool)
        ):
            raise InvalidRequest(
                f"{name} must be {expected.__name__}", path=f"$.body.{name}"
            )
    if body.get("max_tokens", 1) is not None and body.get("max_tokens", 1) < 1:
        raise InvalidRequest("max_tokens must be at least 1", path="$.body.max_tokens")


def _deadline_s(requested_s: float | None, kind: RequestKind) -> float:
    if requested_s is None:
        return kind.deadline_s
    if not requested_s > 0:
        raise DeadlinePassed("deadline_s must be greater than 0", path="$.deadline_s")
    return min(requested_s, kind.deadline_s)


def _priority(requested: int | None, kind: RequestKind) -> int:
    """Return the priority; callers may lower that of the kind but not raise it."""
    return kind.priority if requested is None else max(requested, kind.priority)


def _resume(raw: dict[str, Any] | None) -> ResumePoint | None:
    if raw is None:
        return None
    faults: list[Fault] = []
    point = read_record(raw, ResumePoint, "$.resume", faults)
    if point is None or not 0 <= point.after_sequence <= MAX_SEQUENCE:
        raise InvalidRequest(
            "resume needs stream_id and a valid after_sequence",
            path="$.resume",
        )
    return point
