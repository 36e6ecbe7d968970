"""Submits a request and writes its answer to the terminal as it arrives."""

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
    HTTP_OK,
    CommandFailed,
    read_answer,
)
from egretshed.cli.events import (
    EventReader,
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
GRACE_S = 5.0
STREAM_HEADER = "x-stream-id"
OUTCOME_STATUS = {
    "complete": ExitStatus.SUCCESS,
    "not_run": ExitStatus.REFUSED,
    "failed": ExitStatus.FAILED,
    "unknown": ExitStatus.UNKNOWN_OUTCOME,
}


@cappa.command(name="send", help="Submit a request and stream its answer.")
@dataclass
class Send:
    kind: str
    body: Annotated[str, cappa.Arg(long="--body", help="JSON body.")] = "{}"
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
        return await _Sending(session, submission, self.deadline_s).run()


class _Sending:
    """One submission; a broken stream is taken up at the next node by request id."""

    def __init__(self, session: Session, submission: dict[str, Any], deadline_s: float):
        self.session = session
        self.submission = submission
        self.end_s = session.client.env.now() + deadline_s
        self.stream_id = ""
        self.last_id = 0
        self.final: dict[str, Any] | None = None
        self.submitted = False

    async def run(self) -> ExitStatus:
        last: Exception | None = None
        for url in self.session.client.urls:
            try:
                await self._stream(url)
            except OSError as error:
                last = error
            except HTTPClientError as error:
                # The node may have received the request.
                self.submitted = True
                last = error
            if self.final is not None:
                return self._finish(self.final)
        kind = OutcomeUnknown if self.submitted else PeerUnavailable
        failure = kind(f"the stream ended without an outcome ({last})")
        raise CommandFailed(failure.exit_status, failure.to_body())

    async def _stream(self, url: str) -> None:
        client = self.session.client
        remaining_s = self.end_s - client.env.now()
        if remaining_s <= 0:
            return
        reader = EventReader(self._take)
        request = client.request(
            url,
            "POST",
            "/v1/requests",
            self._body(remaining_s),
            request_timeout=remaining_s + GRACE_S,
            streaming_callback=reader.feed,
            header_callback=self._note_header,
        )
        response = await client.env.http.fetch(request, raise_error=False)
        self.submitted = True
        if response.code >= HTTP_OK:
            response._body = reader.raw
            read_answer(response)

    def _body(self, remaining_s: float) -> dict[str, Any]:
        body = {**self.submission, "deadline_s": remaining_s}
        # Otherwise a refusal by the next node could hide that this one ran it.
        body["resubmission"] = self.submitted
        if self.stream_id:
            body["resume"] = {
                "stream_id": self.stream_id,
                "after_sequence": self.last_id,
            }
        return body

    def _note_header(self, line: str) -> None:
        name, _, value = line.partition(":")
        if name.lower() == STREAM_HEADER:
            self.stream_id = value.strip()

    def _take(self, event: ServerEvent) -> None:
        self.submitted = True
        self.last_id = int(event.id or self.last_id)
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
            printer.note("\nThe answer starts again; disregard the text so far.")

    def _finish(self, final: dict[str, Any]) -> ExitStatus:
        outcome = final["outcome"]
        name = outcome["outcome"] if isinstance(outcome, dict) else outcome
        if not self.session.printer.is_json:
            self.session.printer.line("")
            details = msgspec.json.encode(final).decode()
            self.session.printer.note(f"{self.submission['request_id']}: {details}")
        return OUTCOME_STATUS.get(name, ExitStatus.ERROR)
