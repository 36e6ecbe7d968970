"""HTTP client of one backend server; each failure raises a typed error.

Each call opens its own connection, so that a retry never waits for a connection that
no longer responds.
"""

import asyncio
from typing import Any
from urllib.parse import quote

import msgspec
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.iostream import (
    StreamClosedError,
    UnsatisfiableReadError,
)
from tornado.simple_httpclient import HTTPTimeoutError

from egretshed.backends.interface import (
    BackendCall,
    BackendOrder,
    CacheEvent,
    LoadReport,
    OrderResult,
)
from egretshed.configuration.schema import (
    Pool,
    Replica,
)
from egretshed.environment import Environment
from egretshed.errors import (
    BackendError,
    BackendRejected,
    BackendSilent,
    BackendUnreachable,
    StaleFencingNumber,
)
from egretshed.untrusted_json import decode_untrusted

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 1.0  # for all calls but inference and orders
ORDER_TIMEOUT_S = 30.0
MAX_CLIENTS = 2000
REJECTED_STATUSES = frozenset({429, 503})
STALE_FENCING_STATUS = 409


def make_http_client() -> AsyncHTTPClient:
    """Return a client with a higher limit than tornado's default of 10 open calls."""
    return AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)


class HttpBackend:
    """Base of the HTTP adapters: load, orders, cancellation and cache transfer."""

    def __init__(self, env: Environment, pool: Pool, replica: Replica):
        self.env = env
        self.pool = pool
        self.replica = replica
        self.client = make_http_client()

    def call_headers(self, call: BackendCall) -> dict[str, str]:
        return {
            "Content-Type": "application/json",
            "X-Attempt-Id": call.attempt_id,
            "X-Request-Id": call.request_id,
            "X-Customer-Id": call.customer_id,
            "X-Priority": str(call.priority),
        }

    async def load(self) -> LoadReport:
        result = await self._control("GET", "/load", None, CONTROL_TIMEOUT_S)
        try:
            values = tuple(result[field] for field in LoadReport._fields)
            return msgspec.convert(values, LoadReport)
        except (KeyError, msgspec.ValidationError) as error:
            raise BackendError("backend server sent a malformed load report") from error

    async def cancel(self, attempt_id: str) -> bool:
        body = {"attempt_id": attempt_id}
        result = await self._control("POST", "/cancel", body, CONTROL_TIMEOUT_S)
        return bool(result.get("cancelled"))

    async def order(self, order: BackendOrder) -> OrderResult:
        response = await self.fetch(
            "POST", "/order", order._asdict(), {}, ORDER_TIMEOUT_S
        )
        fields = decode_object(response)
        if response.code == STALE_FENCING_STATUS:
            raise StaleFencingNumber(
                "the backend server has accepted a higher fencing number", **fields
            )
        self._raise_for_status(response)
        return _make_record(OrderResult, fields)

    async def cache_events(self, after: int) -> list[CacheEvent]:
        path = f"/cache/events?after={after}"
        response = await self.fetch("GET", path, None, {}, CONTROL_TIMEOUT_S)
        self._raise_for_status(response)
        events = _decode(response, list[dict[str, Any]])
        return [_make_record(CacheEvent, event) for event in events]

    async def export_cache(self, prefix: str) -> bytes | None:
        body = {"prefix": prefix}
        response = await self.fetch(
            "POST", "/cache/export", body, {}, CONTROL_TIMEOUT_S
        )
        return response.body if response.code == 200 else None

    async def import_cache(self, prefix: str, body: bytes) -> bool:
        path = f"/cache/import?prefix={quote(prefix, safe='')}"
        response = await self.fetch("POST", path, body, {}, CONTROL_TIMEOUT_S)
        return response.code == 200 and decode_object(response)["imported"]

    async def fetch(
        self,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
        timeout_s: float,
        on_chunk=None,
    ) -> HTTPResponse:
        """Return the response, whatever its status; raise a typed error if none came.

        A `body` of bytes is sent unchanged, any other is encoded as JSON. The response
        body is passed to `on_chunk` as it arrives, if that is given.
        """
        if body is not None and not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        request = HTTPRequest(
            self.replica.url + path,
            method=method,
            body=body,
            headers=headers,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            streaming_callback=on_chunk,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            raise self._error(BackendUnreachable, "refused", False) from error
        except HTTPTimeoutError as error:
            connecting = "connecting" in str(error) or "queue" in str(error)
            error_type = BackendUnreachable if connecting else BackendSilent
            raise self._error(error_type, str(error), not connecting) from error
        except (
            HTTPClientError,
            StreamClosedError,
            UnsatisfiableReadError,
            OSError,
        ) as error:
            raise self._error(BackendUnreachable, str(error), True) from error

    def _error(self, error_type, reason: str, may_have_run: bool) -> BackendError:
        return error_type(
            f"backend server {self.replica.replica_id}: {reason}",
            replica_id=self.replica.replica_id,
            may_have_run=may_have_run,
        )

    def _raise_for_status(self, response: HTTPResponse) -> None:
        if response.code in REJECTED_STATUSES:
            raise self._error(BackendRejected, f"status {response.code}", False)
        if response.code != 200:
            raise self._error(BackendError, f"status {response.code}", True)

    async def _control(self, method: str, path: str, body: Any, timeout_s: float):
        response = await self.fetch(method, path, body, {}, timeout_s)
        self._raise_for_status(response)
        return decode_object(response)


def decode_object(response: HTTPResponse) -> dict[str, Any]:
    """Return the decoded JSON object; raise `BackendError` if the body is not one."""
    return _decode(response, dict[str, Any])


def _decode(response: HTTPResponse, expected_type: Any) -> Any:
    try:
        return decode_untrusted(response.body, expected_type)
    except msgspec.DecodeError as error:
        raise BackendError("backend server sent malformed JSON") from error


def _make_record(record_type: Any, fields: dict[str, Any]) -> Any:
    try:
        return record_type(**fields)
    except TypeError as error:
        raise BackendError(f"backend server sent wrong fields: {error}") from error


async def await_with_progress_limit(
    backend: HttpBackend,
    work: asyncio.Future,
    progress: "Progress",
    limit_s: float,
) -> Any:
    """Return the result of `work`; raise `BackendSilent` if it stalls for `limit_s`.

    `work` itself is not cancelled then.
    """
    while True:
        wait_s = limit_s - progress.idle_s()
        if wait_s <= 0:
            raise backend._error(BackendSilent, f"no progress for {limit_s} s", True)
        done, _ = await asyncio.wait({work}, timeout=wait_s)
        if done:
            return work.result()


class Progress:
    """Measures the time since a call last made progress."""

    def __init__(self, env: Environment):
        self.clock = env.clock
        self.last_progress_s = env.clock.monotonic_s()

    def reset(self) -> None:
        self.last_progress_s = self.clock.monotonic_s()

    def idle_s(self) -> float:
        return self.clock.monotonic_s() - self.last_progress_s
