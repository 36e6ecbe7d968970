"""Error types with their HTTP statuses and exit codes.

Every error that a component raises to another one derives from `EgretshedError`. Its
`code` is stable, because callers, operators and log readers match on it. `to_body`
returns the JSON object of the response to a request that failed with the error.
"""

from enum import IntEnum
from typing import (
    Any,
    ClassVar,
)


class ExitStatus(IntEnum):
    """Exit codes of `egretshed` and `egretshedd`."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    BAD_CONFIGURATION = 4
    UNREACHABLE = 5
    REFUSED = 6
    CONFLICT = 7
    FAILED = 8
    UNKNOWN_OUTCOME = 9
    INTERRUPTED = 130


class EgretshedError(Exception):
    """Base class of all errors.

    Keyword arguments become attributes and fields of the JSON body::

        raise NotRun(reason="queue_full", retry_after_s=1.5)
    """

    code: ClassVar[str] = "internal"
    http_status: ClassVar[int] = 500
    exit_status: ClassVar[ExitStatus] = ExitStatus.ERROR

    def __init__(self, message: str = "", **fields: Any):
        self.message = message or self.code.replace("_", " ")
        self.fields = fields
        super().__init__(self.message)

    def __getattr__(self, name: str) -> Any:
        fields = self.__dict__.get("fields", {})
        if name in fields:
            return fields[name]
        raise AttributeError(name)

    def __str__(self) -> str:
        details = ", ".join(f"{k}={v!r}" for k, v in self.fields.items())
        return f"{self.message} ({details})" if details else self.message

    def to_body(self) -> dict[str, Any]:
        """Return the JSON object that is sent to a caller or operator."""
        return {"error": self.code, "message": self.message, **self.fields}


# Requests rejected before anything runs.


class InvalidRequest(EgretshedError):
    code = "invalid_request"
    http_status = 400
    exit_status = ExitStatus.USAGE


class BodyTooLarge(InvalidRequest):
    code = "body_too_large"
    http_status = 413


class HeadTooLarge(InvalidRequest):
    code = "head_too_large"
    http_status = 431


class RequestStalled(EgretshedError):
    """The rest of the request did not arrive in time; none of it was run."""

    code = "request_stalled"
    http_status = 408
    exit_status = ExitStatus.REFUSED


class DeadlinePassed(InvalidRequest):
    code = "deadline_passed"
    http_status = 400


class Unauthorized(EgretshedError):
    code = "unauthorized"
    http_status = 401
    exit_status = ExitStatus.REFUSED


class Forbidden(EgretshedError):
    code = "forbidden"
    http_status = 403
    exit_status = ExitStatus.REFUSED


class NotFound(EgretshedError):
    code = "not_found"
    http_status = 404
    exit_status = ExitStatus.REFUSED


class NotRun(EgretshedError):
    """Nothing was sent to any backend server.

    Fields: `reason` (str), `retry_after_s` (float, delay before a retry).
    """

    code = "not_run"
    http_status = 503
    exit_status = ExitStatus.REFUSED


class InputQuarantined(EgretshedError):
    """An input of the request crashes servers, so that it is not sent to any.

    Internal: an earlier attempt of the request decides whether it ends as `NotRun`.
    Fields: `input_id` (str), `retry_after_s` (float, time left of the quarantine).
    """

    code = "input_quarantined"


class NoReplicaAvailable(EgretshedError):
    """No replica can accept the call now.

    Internal: the call is retried, or the request fails with `NotRun`.
    """

    code = "no_replica_available"
    http_status = 503
    exit_status = ExitStatus.REFUSED


# Claims on the ids of requests that must not be repeated.


class AlreadyClaimed(EgretshedError):
    """Another submission claimed this request id first; this one does not run.

    Fields: `state` (running, done or unknown), `outcome` (dict or None), `node_id`.
    """

    code = "already_claimed"
    http_status = 409
    exit_status = ExitStatus.CONFLICT


class ClaimsUnavailable(NotRun):
    """The claim is undecided, so this submission does not run."""


# Outcomes of requests that ran.


class RequestFailed(EgretshedError):
    """The request ran but did not complete. Fields: `reason`, `stage`."""

    code = "failed"
    http_status = 502
    exit_status = ExitStatus.FAILED


class StageFailed(RequestFailed):
    """A stage that the request depends on failed. Fields: `reason`, `stage`.

    The request itself was not sent to any backend server.
    """

    code = "stage_failed"


class ResultsLost(StageFailed):
    """Stage results that the request needs are lost; the server did not run it."""

    code = "results_lost"


class DeadlineExceeded(RequestFailed):
    code = "failed"
    http_status = 504


class OutcomeUnknown(EgretshedError):
    """The request may have run and is not repeated."""

    code = "unknown"
    http_status = 409
    exit_status = ExitStatus.UNKNOWN_OUTCOME


class RequestCancelled(RequestFailed):
    code = "failed"
    http_status = 409


class NodeStopping(EgretshedError):
    """The node stopped before the request ended.

    Its outcome depends on whether it may have run and may be repeated.
    """

    code = "node_stopping"
    http_status = 503
    exit_status = ExitStatus.REFUSED


class EarlierSubmissionMayHaveRun(OutcomeUnknown):
    """This submission started nothing, but an earlier one of its id may have run.

    Fields: `reason`, `retry_after_s`.
    """


class CallerGone(EgretshedError):
    """The caller closed its connection and does not wait for the response."""

    code = "caller_gone"
    http_status = 499


class StreamGap(EgretshedError):
    """The requested events are no longer buffered. Field: `oldest_sequence`."""

    code = "stream_gap"
    http_status = 410
    exit_status = ExitStatus.FAILED


# Backend servers.


class BackendError(EgretshedError):
    """A call to a backend server did not succeed.

    Field `may_have_run` is False only if the server certainly did not start it.
    """

    code = "backend_error"
    http_status = 502

    @property
    def may_have_run(self) -> bool:
        return bool(self.fields.get("may_have_run", True))


class BackendUnreachable(BackendError):
    code = "backend_unreachable"


class BackendRejected(BackendError):
    code = "backend_rejected"


class ServerRefusedWork(BackendError):
    """The server proved that it did not run the request. Field: `status`."""

    code = "server_refused"


class BackendSilent(BackendError):
    code = "backend_silent"


class BackendSlow(BackendError):
    code = "backend_slow"


class StaleFencingNumber(EgretshedError):
    """The server has accepted a higher fencing number. Field: `highest`."""

    code = "stale_fencing_number"
    http_status = 409
    exit_status = ExitStatus.CONFLICT


# Platform services.


class TableConflict(EgretshedError):
    """A condition did not hold; nothing was written. Field: `keys`."""

    code = "table_conflict"
    http_status = 409
    exit_status = ExitStatus.CONFLICT


class PlatformUnavailable(EgretshedError):
    """The platform did not respond or refused the call; nothing was written."""

    code = "platform_unavailable"
    http_status = 503
    exit_status = ExitStatus.UNREACHABLE


class TableUnavailable(PlatformUnavailable):
    code = "table_unavailable"


class TooLargeForPeers(PlatformUnavailable):
    """The rows are too large for a peer to forward; they are read from the store."""

    code = "too_large_for_peers"


class HistoryLost(PlatformUnavailable):
    """The requested changes are no longer kept; the whole table must be read again."""

    code = "history_lost"


class TableOutcomeUnknown(EgretshedError):
    """The transaction may have been applied; only a read tells."""

    code = "table_outcome_unknown"
    http_status = 503
    exit_status = ExitStatus.UNKNOWN_OUTCOME


# Peers.


class PeerUnavailable(EgretshedError):
    """The peer did not reply in time. Field: `node_id`."""

    code = "peer_unavailable"
    http_status = 503
    exit_status = ExitStatus.UNREACHABLE


class PeerRejected(EgretshedError):
    """The peer's handler raised an error. Fields: `error` (its code), `node_id`."""

    code = "peer_rejected"
    http_status = 502


class PeerAuthenticationFailed(EgretshedError):
    code = "peer_authentication_failed"
    http_status = 401


class NodeSuperseded(EgretshedError):
    """A process with a higher incarnation uses this node id. Field: `incarnation`."""

    code = "node_superseded"
    http_status = 503
    exit_status = ExitStatus.CONFLICT


# Configuration and plans.


class ConfigurationInvalid(EgretshedError):
    """The configuration has errors. Field: `faults`, a list of {path, message}."""

    code = "configuration_invalid"
    http_status = 400
    exit_status = ExitStatus.BAD_CONFIGURATION


class SettingsInvalid(EgretshedError):
    """The settings have errors. Field: `faults`, a list of {path, message}."""

    code = "settings_invalid"
    exit_status = ExitStatus.BAD_SETTINGS


class VersionConflict(EgretshedError):
    """Another change was applied first. Fields: `version`, `operator`, `objects`."""

    code = "version_conflict"
    http_status = 409
    exit_status = ExitStatus.CONFLICT


class PlanRefused(EgretshedError):
    """The plan is not accepted.

    Fields: `reason` and, depending on it, `differences` or `conflicting_plan`.
    """

    code = "plan_refused"
    http_status = 409
    exit_status = ExitStatus.CONFLICT


class InvariantViolated(EgretshedError):
    """A change would have broken a guarantee of the system. Field: `invariant`."""

    code = "invariant_violated"
