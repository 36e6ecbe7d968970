"""Decides whether a failed attempt of a stage is retried or fails the request."""

from typing import NamedTuple

from egretshed.errors import (
    BackendError,
    BackendRejected,
    DeadlineExceeded,
    EgretshedError,
    InvalidRequest,
    NoReplicaAvailable,
    NotRun,
    OutcomeUnknown,
    RequestCancelled,
    RequestFailed,
)
from egretshed.retries.budgets import RetryBudgets

RETRY_AFTER_S = 1.0


class FailedAttempt(NamedTuple):
    """One failed attempt of a stage, with the history of the request.

    `attempts` counts the attempts of this stage, including this one. `sent_before` is
    True if an earlier attempt or stage was sent to a backend server.
    `may_have_run_before` is True if an earlier attempt of this stage may have run.
    """

    error: EgretshedError
    customer_id: str
    stage: str
    replica_id: str
    failure_domain: str
    repeatable: bool
    attempts: int
    delivered_tokens: int
    remaining_s: float
    expected_s: float
    sent_before: bool = False
    may_have_run_before: bool = False
    excluded_replicas: frozenset[str] = frozenset()
    excluded_domains: frozenset[str] = frozenset()


class Retry(NamedTuple):
    """Another attempt on a new connection, avoiding these replicas and domains."""

    excluded_replicas: frozenset[str]
    excluded_domains: frozenset[str]


class GiveUp(NamedTuple):
    failure: EgretshedError


RetryDecision = Retry | GiveUp


def may_have_run(error: EgretshedError) -> bool:
    """Return whether the attempt that failed with `error` may have had an effect."""
    if isinstance(error, NoReplicaAvailable):
        return False
    if isinstance(error, BackendRejected):
        return bool(error.fields.get("may_have_run", False))
    if isinstance(error, BackendError):
        return error.may_have_run
    return True


def was_sent(error: EgretshedError) -> bool:
    """Return whether the attempt may have reached a backend server.

    A rejected call reached its server even if it did not run.
    """
    return isinstance(error, BackendRejected) or may_have_run(error)


def decide_retry(
    attempt: FailedAttempt, budgets: RetryBudgets, max_attempts: int
) -> RetryDecision:
    """Return the next step; for a `Retry`, its tokens are taken from `budgets`."""
    if isinstance(attempt.error, (InvalidRequest, RequestCancelled)):
        return GiveUp(attempt.error)
    any_may_have_run = may_have_run(attempt.error) or attempt.may_have_run_before
    if any_may_have_run and not attempt.repeatable:
        return GiveUp(_outcome_unknown(attempt))
    if attempt.delivered_tokens > 0:
        return GiveUp(_request_failed(attempt, "interrupted_after_delivery"))
    if attempt.remaining_s < attempt.expected_s:
        return GiveUp(_final_failure(attempt, "deadline"))
    if attempt.attempts >= max_attempts:
        return GiveUp(_final_failure(attempt, "attempts_exhausted"))
    if not budgets.try_acquire(attempt.customer_id, attempt.stage):
        return GiveUp(_final_failure(attempt, "retry_budget"))
    return _exclude(attempt)


def _exclude(attempt: FailedAttempt) -> Retry:
    """Exclude the replica and, from the second failure on, its failure domain."""
    replicas = attempt.excluded_replicas
    domains = attempt.excluded_domains
    if attempt.replica_id:
        replicas = replicas | {attempt.replica_id}
    if attempt.attempts >= 2 and attempt.failure_domain:
        domains = domains | {attempt.failure_domain}
    return Retry(replicas, domains)


def _final_failure(attempt: FailedAttempt, reason: str) -> EgretshedError:
    if attempt.sent_before or was_sent(attempt.error):
        return _request_failed(attempt, reason)
    return NotRun(
        "no backend server could be reached",
        reason=reason,
        stage=attempt.stage,
        cause=attempt.error.code,
        retry_after_s=RETRY_AFTER_S,
    )


def _request_failed(attempt: FailedAttempt, reason: str) -> RequestFailed:
    error_type = DeadlineExceeded if reason == "deadline" else RequestFailed
    return error_type(
        reason=reason,
        stage=attempt.stage,
        cause=attempt.error.code,
        retry_after_s=RETRY_AFTER_S,
    )


def _outcome_unknown(attempt: FailedAttempt) -> OutcomeUnknown:
    return OutcomeUnknown(
        "the call may have run and is not repeated",
        stage=attempt.stage,
        cause=attempt.error.code,
    )
