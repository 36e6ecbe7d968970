"""The four final answers and how failures map to them.

An outcome is a JSON object with `outcome` set to ``complete``, ``not_run``, ``failed``
or ``unknown``; `not_run` and repeatable `failed` ones carry `retry_after_s`.
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

RETRY_SPREAD_S = (0.2, 1.0)

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


def outcome_of(
    env: Environment, stream: RequestStream, error: EgretshedError, repeatable: bool
) -> dict[str, Any]:
    """Return the final answer for a request that ended with `error`."""
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
        outcome["retry_after_s"] = _retry_after(env, error)
    return outcome


def http_status_of(outcome: dict[str, Any]) -> int:
    """Return the HTTP status of a whole (not streamed) answer."""
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


def _retry_after(env: Environment, error: EgretshedError) -> float:
    given_s = error.fields.get("retry_after_s")
    if given_s is not None:
        return round(given_s, 3)
    return round(env.random.uniform(*RETRY_SPREAD_S), 3)
