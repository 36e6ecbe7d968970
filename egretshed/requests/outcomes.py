"""The four final outcomes of a request and how failures map to them.

An outcome is a JSON object with `outcome` set to ``complete``, ``not_run``, ``failed``
or ``unknown``. It has `retry_after_s` if this submission sent nothing to a backend
server, or if a repeatable request failed.
"""

from typing import Any

from egretshed.environment import Environment
from egretshed.errors import (
    DeadlineExceeded,
    EgretshedError,
    NotRun,
    OutcomeUnknown,
    RequestCancelled,
    RequestFailed,
)
from egretshed.invariants import require
from egretshed.requests.stream import RequestStream

DEFAULT_RETRY_AFTER_S = (0.2, 1.0)

HTTP_STATUS_BY_OUTCOME = {
    "complete": 200,
    "not_run": NotRun.http_status,
    "failed": RequestFailed.http_status,
    "unknown": OutcomeUnknown.http_status,
}


def complete_outcome(
    stream: RequestStream, output: dict[str, Any], usage: dict[str, Any]
) -> dict[str, Any]:
    return {
        "outcome": "complete",
        "request_id": stream.request_id,
        "stream_id": stream.stream_id,
        "output": output,
        "usage": usage,
    }


def failure_outcome(
    env: Environment, stream: RequestStream, error: EgretshedError, repeatable: bool
) -> dict[str, Any]:
    """Return the outcome of a request that ended with `error`."""
    name = _outcome_name(stream, error, repeatable)
    require(
        env,
        name != "not_run" or not stream.may_have_run,
        "P5_not_run_is_true",
        request_id=stream.request_id,
    )
    outcome = {
        "outcome": name,
        "request_id": stream.request_id,
        "stream_id": stream.stream_id,
        "reason": error.fields.get("reason", error.code),
        "message": error.message,
    }
    if "stage" in error.fields:
        outcome["stage"] = error.fields["stage"]
    if not stream.sent_to_backend or (name == "failed" and repeatable):
        outcome["retry_after_s"] = _retry_after_s(env, error)
    return outcome


def http_status_of(outcome: dict[str, Any]) -> int:
    """Return the HTTP status of an answer that is not streamed."""
    if outcome["outcome"] == "failed" and outcome.get("reason") == "deadline":
        return DeadlineExceeded.http_status
    if outcome["outcome"] == "failed" and outcome.get("reason") == "cancelled":
        return RequestCancelled.http_status
    return HTTP_STATUS_BY_OUTCOME[outcome["outcome"]]


def _outcome_name(
    stream: RequestStream, error: EgretshedError, repeatable: bool
) -> str:
    if isinstance(error, OutcomeUnknown):
        return "unknown"
    if not stream.may_have_run:
        return "not_run"
    if isinstance(error, RequestFailed) or repeatable:
        return "failed"
    return "unknown"


def _retry_after_s(env: Environment, error: EgretshedError) -> float:
    retry_after_s = error.fields.get("retry_after_s")
    if retry_after_s is not None:
        return round(retry_after_s, 3)
    return round(env.random.uniform(*DEFAULT_RETRY_AFTER_S), 3)
