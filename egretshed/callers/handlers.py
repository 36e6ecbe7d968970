"""Handlers of the callers' HTTP interface, which `docs/api.md` describes.

Every error is answered by `CallerHandler.write_error`, with the HTTP status and JSON
body that `egretshed.errors` defines for its type.
"""

import asyncio
import contextlib
from typing import (
    Any,
    NamedTuple,
)

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import (
    HTTPError,
    RequestHandler,
)

from egretshed.callers.events import (
    StreamLost,
    StreamProxy,
    encode_event,
    local_batches,
)
from egretshed.callers.keys import CustomerAuthenticator
from egretshed.callers.responses import ResponseTracker
from egretshed.claims.service import ClaimService
from egretshed.configuration.service import ConfigurationService
from egretshed.environment import Environment
from egretshed.errors import (
    ClaimsUnavailable,
    EgretshedError,
    InvalidRequest,
    NotFound,
)
from egretshed.logs import log_event
from egretshed.membership.service import MembershipService
from egretshed.requests.outcomes import http_status_of
from egretshed.requests.runner import RequestRunner
from egretshed.requests.stream import RequestStream
from egretshed.requests.submission import (
    MAX_SEQUENCE,
    Submission,
    read_submission,
)

KEEP_ALIVE_COMMENT = b": keep-alive\n\n"
DEFAULT_ADDRESS_COUNT = 3
MAX_ADDRESS_COUNT = 16
DEFAULT_ISSUED_ID_COUNT = 0
MAX_ISSUED_ID_COUNT = 100


class CallerServices(NamedTuple):
    """Dependencies of the handlers."""

    env: Environment
    configuration: ConfigurationService
    membership: MembershipService
    runner: RequestRunner
    streams: StreamProxy
    claims: ClaimService
    authenticator: CustomerAuthenticator
    responses: ResponseTracker


class CallerHandler(RequestHandler):
    """Base of the handlers: authentication, JSON responses and errors."""

    def initialize(self, services: CallerServices) -> None:
        self.services = services

    def prepare(self) -> None:
        if self.services.responses.is_closing:
            self.set_header("Connection", "close")

    def customer_id(self) -> str:
        return self.services.authenticator.authenticate(self)

    def write_json(self, body: Any, status: int = 200) -> asyncio.Future:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if isinstance(body, dict) and "retry_after_s" in body:
            self.set_header("Retry-After", str(max(1, round(body["retry_after_s"]))))
        return self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, EgretshedError):
            self.write_json(error.to_body(), error.http_status)
        elif isinstance(error, HTTPError):
            body = {"error": "invalid_request", "message": self._reason}
            self.write_json(body, status_code)
        else:
            self.write_json({"error": "internal", "message": "internal error"}, 500)

    def log_exception(self, typ, value, tb) -> None:
        if isinstance(value, (EgretshedError, HTTPError)):
            return
        log_event(self.services.env.logger, "handler_fault", error=repr(value))

    def int_argument(self, name: str, default: int, maximum: int) -> int:
        raw = self.get_query_argument(name, str(default))
        if not raw.isascii() or not raw.isdigit() or int(raw) > maximum:
            raise InvalidRequest(
                f"{name} must be an integer from 0 to {maximum}", path=name
            )
        return int(raw)


class AddressesHandler(CallerHandler):
    """``GET /v1/addresses``: entry nodes for the caller to use, and for how long.

    Also issues request ids if the query argument ``issue_ids`` asks for them.
    """

    def get(self) -> None:
        services = self.services
        count = self.int_argument("count", DEFAULT_ADDRESS_COUNT, MAX_ADDRESS_COUNT)
        id_count = self.int_argument(
            "issue_ids", DEFAULT_ISSUED_ID_COUNT, MAX_ISSUED_ID_COUNT
        )
        addresses = services.membership.addresses(count or 1)
        body: dict[str, Any] = {
            "addresses": [address._asdict() for address in addresses],
            "keep_s": services.env.settings.membership.address_keep_s,
        }
        if id_count:
            customer_id = self.customer_id()
            body["request_ids"] = services.claims.issue_ids(customer_id, id_count)
        self.write_json(body)


class SubmitHandler(CallerHandler):
    """``POST /v1/requests``: run a request; respond with JSON or an event stream."""

    async def post(self) -> None:
        with self.services.responses:
            await self._submit()

    async def _submit(self) -> None:
        services = self.services
        submission = read_submission(
            self.request.body,
            self.customer_id(),
            services.configuration.current,
            services.env.settings.http.body_limit_bytes,
        )
        if submission.resume is not None and submission.stream:
            await self._resume(submission)
            return
        stream = services.runner.submit(submission)
        await self._respond(submission, stream)

    async def _resume(self, submission: Submission) -> None:
        """Resume the stream on the node that runs it, else run the request again.

        Once events have been written, the request is not run again: the caller gets the
        error.
        """
        point = submission.resume
        batches = self.services.streams.batches(
            submission.customer_id, point.stream_id, point.after_sequence
        )
        try:
            await send_events(self, batches)
            return
        except (StreamLost, NotFound):
            if self._headers_written:
                raise
        stream = self.services.runner.submit(submission, begins_with_reset=True)
        await self._respond(submission, stream)

    async def _respond(self, submission: Submission, stream: RequestStream) -> None:
        if submission.stream:
            self.set_header("X-Stream-Id", stream.stream_id)
            settings = self.services.env.settings.streams
            await send_events(self, local_batches(stream, 0, settings.coalesce_s))
            return
        while not stream.finished:
            await stream.wait_for_item_after(stream.sequence)
        outcome = dict(stream.outcome)
        if outcome["outcome"] == "complete" and stream.has_tokens:
            outcome["output"] = {**outcome["output"], "text": stream.text()}
        await self.write_json(outcome, http_status_of(outcome))


class StreamHandler(CallerHandler):
    """``/v1/streams/<stream_id>``: ``GET`` resumes and ``DELETE`` cancels a stream."""

    async def get(self, stream_id: str) -> None:
        after = self.int_argument("after", self._last_event_id(), MAX_SEQUENCE)
        customer_id = self.customer_id()
        streams = self.services.streams
        with self.services.responses:
            await send_events(self, streams.batches(customer_id, stream_id, after))

    async def delete(self, stream_id: str) -> None:
        with self.services.responses:
            await self.services.streams.cancel(self.customer_id(), stream_id)
            await self.write_json({"cancelled": stream_id})

    def _last_event_id(self) -> int:
        raw = self.request.headers.get("Last-Event-ID", "0")
        if not raw.isascii() or not raw.isdigit():
            raise InvalidRequest("Last-Event-ID must be a non-negative integer")
        return min(int(raw), MAX_SEQUENCE)


class OutcomeHandler(CallerHandler):
    """``GET /v1/requests/<request_id>``: the outcome, whichever node ran it."""

    async def get(self, request_id: str) -> None:
        customer_id = self.customer_id()
        with self.services.responses:
            outcome = await find_outcome(self.services, customer_id, request_id)
            if outcome is None:
                raise NotFound(f"unknown request {request_id!r}")
            await self.write_json(outcome)


async def find_outcome(
    services: CallerServices, customer_id: str, request_id: str
) -> dict[str, Any] | None:
    """Return a request's outcome or running state, or None if it is unknown.

    Looks in this node's memory, then in the claims, then on a limited number of peers.
    """
    outcome = services.streams.local_outcome(customer_id, request_id)
    if outcome is not None:
        return outcome
    try:
        stored = await services.claims.outcome(customer_id, request_id)
    except ClaimsUnavailable:
        stored = None
    if stored is not None and stored.state != "issued_elsewhere":
        running = {"outcome": stored.state, "request_id": request_id}
        return stored.outcome or running
    own = services.env.identity.node_id
    peers = [m.node_id for m in services.membership.reachable() if m.node_id != own]
    return await services.streams.outcome(customer_id, request_id, peers)


async def send_events(handler: CallerHandler, batches) -> None:
    """Write `batches` as server-sent events, an empty list as a keep-alive comment.

    Closes the connection of a caller that reads nothing for `caller_silence_limit_s`.
    """
    limit_s = handler.services.env.settings.streams.caller_silence_limit_s
    try:
        async with contextlib.aclosing(batches):
            async for events in batches:
                body = b"".join(map(encode_event, events)) or KEEP_ALIVE_COMMENT
                if not handler._headers_written:
                    handler.set_header("Content-Type", "text/event-stream")
                    handler.set_header("Cache-Control", "no-store")
                handler.write(body)
                async with asyncio.timeout(limit_s):
                    await handler.flush()
        await handler.finish()
    except (StreamClosedError, TimeoutError):
        close_connection(handler)


def close_connection(handler: CallerHandler) -> None:
    """Close the connection of a caller that no longer reads the response."""
    if handler.request.connection is not None:
        handler.request.connection.close()


def caller_routes(services: CallerServices) -> list[tuple]:
    """Return the routes of the callers' interface for a tornado application."""
    arguments = {"services": services}
    return [
        (r"/v1/addresses", AddressesHandler, arguments),
        (r"/v1/requests", SubmitHandler, arguments),
        (r"/v1/requests/([^/]{1,400})", OutcomeHandler, arguments),
        (r"/v1/streams/([^/]{1,400})", StreamHandler, arguments),
    ]
