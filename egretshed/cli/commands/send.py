"""Command that submits a request and prints its response as it is streamed."""

import uuid
from dataclasses import dataclass
from typing import (
    Annotated,
    Any,
)

import cappa
import msgspec
from tornado.httpclient import HTTPClientError

from egretshed.cli.client import (
    MIN_FAILURE_STATUS,
    CommandFailed,
    decode_response,
    may_have_been_sent,
)
from egretshed.cli.events import (
    EventParser,
    ServerEvent,
)
from egretshed.cli.session import (
    Session,
    usage_error,
)
from egretshed.errors import (
    ExitStatus,
    OutcomeUnknown,
    PeerUnavailable,
)

DEFAULT_DEADLINE_S = 60.0
# Time after the deadline within which a node may still send the outcome.
RESPONSE_GRACE_S = 5.0
STREAM_HEADER = "x-stream-id"
EXIT_STATUS_BY_OUTCOME = {
    "complete": ExitStatus.SUCCESS,
    "not_run": ExitStatus.REFUSED,
    "failed": ExitStatus.FAILED,
    "unknown": ExitStatus.UNKNOWN_OUTCOME,
}


@cappa.command(name="send", help="Submit a request and stream its response.")
@dataclass
class Send:
    kind: str
    body: Annotated[
        str, cappa.Arg(long="--body", help="Body of the request as JSON.")
    ] = "{}"
    request_id: Annotated[str, cappa.Arg(long="--request-id")] = ""
    deadline_s: Annotated[float, cappa.Arg(long="--deadline-s")] = DEFAULT_DEADLINE_S

    async def run(self, session: Session) -> ExitStatus:
        try:
            body = msgspec.json.decode(self.body)
        except msgspec.DecodeError as error:
            raise usage_error(f"--body is not JSON: {error}") from None
        submission = {
            "request_id": self.request_id or f"cli-{uuid.uuid4()}",
            "kind": self.kind,
            "body": body,
            "stream": True,
        }
        return await _Submission(session, submission, self.deadline_s).run()


class _Submission:
    """Submission of one request.

    If the stream breaks, it is resumed at the next node, where the request has the same
    request id.
    """

    def __init__(self, session: Session, submission: dict[str, Any], deadline_s: float):
        self.session = session
        self.submission = submission
        self.deadline_at_s = session.client.env.now() + deadline_s
        self.stream_id = ""
        self.last_sequence = 0
        self.final: dict[str, Any] | None = None
        self.submitted = False

    async def run(self) -> ExitStatus:
        last_error: Exception | None = None
        for url in self.session.client.urls:
            try:
                await self._stream(url)
            except (OSError, HTTPClientError) as error:
                self.submitted |= may_have_been_sent(error)
                last_error = error
            if self.final is not None:
                return self._print_outcome(self.final)
        error_type = OutcomeUnknown if self.submitted else PeerUnavailable
        failure = error_type(f"the stream ended without an outcome ({last_error})")
        raise CommandFailed(failure.exit_status, failure.to_body())

    async def _stream(self, url: str) -> None:
        client = self.session.client
        remaining_s = self.deadline_at_s - client.env.now()
        if remaining_s <= 0:
            return
        parser = EventParser(self._handle_event)
        request = client.build_request(
            url,
            "POST",
            "/v1/requests",
            self._request_body(remaining_s),
            request_timeout=remaining_s + RESPONSE_GRACE_S,
            streaming_callback=parser.feed,
            header_callback=self._read_header,
        )
        response = await client.env.http.fetch(request, raise_error=False)
        self.submitted = True
        if response.code >= MIN_FAILURE_STATUS:
            response._body = parser.remainder
            decode_response(response)

    def _request_body(self, remaining_s: float) -> dict[str, Any]:
        body = {**self.submission, "deadline_s": remaining_s}
        # Makes a node that refuses the request report its outcome as unknown, not as
        # not_run, if an earlier node may have run it.
        body["resubmission"] = self.submitted
        if self.stream_id:
            body["resume"] = {
                "stream_id": self.stream_id,
                "after_sequence": self.last_sequence,
            }
        return body

    def _read_header(self, line: str) -> None:
        name, _, value = line.partition(":")
        if name.lower() == STREAM_HEADER:
            self.stream_id = value.strip()

    def _handle_event(self, event: ServerEvent) -> None:
        self.submitted = True
        self.last_sequence = int(event.id or self.last_sequence)
        data = msgspec.json.decode(event.data or "{}")
        printer = self.session.printer
        if event.event == "final":
            self.final = data
        if printer.is_json:
            line = {"id": event.id, "event": event.event, "data": data}
            printer.line(msgspec.json.encode(line).decode())
        elif event.event == "tokens":
            printer.env.stdout.write("".join(data["tokens"]))
            printer.env.stdout.flush()
        elif event.event == "reset":
            printer.error_line("\nThe response starts again; ignore the text so far.")

    def _print_outcome(self, final: dict[str, Any]) -> ExitStatus:
        outcome = final["outcome"]
        outcome_name = outcome["outcome"] if isinstance(outcome, dict) else outcome
        if not self.session.printer.is_json:
            self.session.printer.line("")
            details = msgspec.json.encode(final).decode()
            self.session.printer.error_line(
                f"{self.submission['request_id']}: {details}"
            )
        return EXIT_STATUS_BY_OUTCOME.get(outcome_name, ExitStatus.ERROR)
