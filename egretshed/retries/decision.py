"""What follows a failed attempt: another one, or the final typed failure."""

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
    """One failed attempt of a stage and what came before it.

    `attempts` counts the attempts of this stage, with this one. `sent_before` is True
    if an earlier attempt or stage was sent to a backend server.
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
    """Another attempt on a new connection, away from these replicas and domains."""

    excluded_replicas: frozenset[str]
    excluded_domains: frozenset[str]


class GiveUp(NamedTuple):
    failure: EgretshedError


RetryDecision = Retry | GiveUp


def may_have_run(error: EgretshedError) -> bool:
    """Whether the attempt that failed with `error` may have had an effect."""
    if isinstance(error, NoReplicaAvailable):
        return False
    if isinstance(error, BackendRejected):
        return bool(error.fields.get("may_have_run", False))
    if isinstance(error, BackendError):
        return error.may_have_run
    return True


def was_sent(error: EgretshedError) -> bool:
    """Whether anything reached a backend server; a rejected call did."""
    return isinstance(error, BackendRejected) or may_have_run(error)


def decide_retry(
    attempt: FailedAttempt, budgets: RetryBudgets, max_attempts: int
) -> RetryDecision:
    """Return the next step; a `Retry` has taken its token from `budgets`."""
    if isinstance(attempt.error, (InvalidRequest, RequestCancelled)):
        return GiveUp(attempt.error)
    ran = may_have_run(attempt.error) or attempt.may_have_run_before
    if ran and not attempt.repeatable:
        return GiveUp(_unknown(attempt))
    if attempt.delivered_tokens > 0:
        return GiveUp(_failed(attempt, "interrupted_after_delivery"))
    if attempt.remaining_s < attempt.expected_s:
        return GiveUp(_final(attempt, "deadline"))
    if attempt.attempts >= max_attempts:
        return GiveUp(_final(attempt, "attempts_exhausted"))
    if not budgets.try_acquire(attempt.customer_id, attempt.stage):
        return GiveUp(_final(attempt, "retry_budget"))
    return _exclude(attempt)


def _exclude(attempt: FailedAttempt) -> Retry:
    """Exclude the replica; from the second failure on, its failure domain as well."""
    replicas = attempt.excluded_replicas
    domains = attempt.excluded_domains
    if attempt.replica_id:
        replicas = replicas | {attempt.replica_id}
    if attempt.attempts >= 2 and attempt.failure_domain:
        domains = domains | {attempt.failure_domain}
    return Retry(replicas, domains)


def _final(attempt: FailedAttempt, reason: str) -> EgretshedError:
    if attempt.sent_before or was_sent(attempt.error):
        return _failed(attempt, reason)
    return NotRun(
        "no backend server could be reached",
        reason=reason,
        stage=attempt.stage,
        cause=attempt.error.code,
        retry_after_s=RETRY_AFTER_S,
    )


def _failed(attempt: FailedAttempt, reason: str) -> RequestFailed:
    kind = DeadlineExceeded if reason == "deadline" else RequestFailed
    return kind(
        reason=reason,
        stage=attempt.stage,
        cause=attempt.error.code,
        retry_after_s=RETRY_AFTER_S,
    )


def _unknown(attempt: FailedAttempt) -> OutcomeUnknown:
    return OutcomeUnknown(
        "the call may have run and is not repeated",
        stage=attempt.stage,
        cause=attempt.error.code,
    )
