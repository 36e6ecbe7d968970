"""Client side of one request, with the retries that `docs/api.md` asks of callers.

A `not_run` request is sent again after `retry_after_s`. A failed request is sent again
under a new request id if its answer has a `retry_after_s`, which only repeatable kinds
get. After a lost connection the stream is resumed at another node. No retry starts
after the deadline.
"""

from typing import Any

import msgspec

from bench.addresses import (
    AddressCache,
    EntryNode,
)
from bench.http_stream import (
    ConnectionLost,
    Response,
    exchange,
)
from bench.records import (
    MICROSECONDS_PER_S,
    Answer,
    RequestRecord,
)
from bench.schedule import (
    KindProfile,
    PlannedRequest,
)
from bench.sse import (
    SseEvent,
    SseParser,
)
from egretshed.clock import Clock

SILENCE_LIMIT_S = 5.0
RECONNECT_S = 0.1
OUTCOMES = frozenset({"complete", "not_run", "failed", "unknown"})


class Caller:
    """Runs planned requests with the key of one customer."""

    def __init__(self, clock: Clock, addresses: AddressCache, key: str):
        self.clock = clock
        self.addresses = addresses
        self.key = key

    async def run(
        self, planned: PlannedRequest, profile: KindProfile, start_s: float
    ) -> RequestRecord:
        """Run one request and return its record.

        `start_s` is the monotonic time at which the schedule starts.
        """
        at_s = start_s + planned.at_s
        record = RequestRecord(
            planned.customer_id, planned.kind, at_s, at_s + profile.deadline_s
        )
        record.started_s = self.clock.monotonic_s()
        submission = _Submission(self, planned, profile, record)
        while self.clock.monotonic_s() < record.end_s:
            wait_s = await submission.submit_once()
            if wait_s is None or self.clock.monotonic_s() + wait_s >= record.end_s:
                break
            await self.clock.sleep(wait_s)
        return record


class _Submission:
    """State of one request across its submissions."""

    def __init__(self, caller: Caller, planned, profile: KindProfile, record) -> None:
        self.caller = caller
        self.clock = caller.clock
        self.planned = planned
        self.profile = profile
        self.record = record
        self.final: dict[str, Any] | None = None
        self.tokens: list[str] = []
        self.stream_id = ""
        self.sequence = 0
        self.last_token_s: float | None = None
        self.parser = SseParser()
        self.record.request_id = planned.request_id

    async def submit_once(self) -> float | None:
        """Submit the request once.

        Returns the delay in seconds before the next submission, or None if the outcome
        is final.
        """
        sent_s = self.clock.monotonic_s()
        node = None
        try:
            node = await self.caller.addresses.choose()
            response = await self._send(node)
        except ConnectionLost as lost:
            if node is not None:
                self.caller.addresses.avoid(node)
            self._record_answer(node, sent_s, "lost", str(lost), None)
            return RECONNECT_S
        answer = self.final or _read_answer(response)
        outcome = answer.get("outcome") or answer.get("error")
        outcome = outcome if outcome in OUTCOMES else "refused"
        reason = answer.get("reason") or answer.get("error") or ""
        retry_after_s = answer.get("retry_after_s")
        self._record_answer(node, sent_s, outcome, reason, retry_after_s)
        if outcome == "complete":
            self._check_answer(answer)
        if outcome in ("not_run", "failed") and retry_after_s is not None:
            self._prepare_retry(outcome)
            return retry_after_s
        return None

    async def _send(self, node: EntryNode) -> Response:
        self.parser = SseParser()
        self.final = None
        response = await exchange(
            self.clock,
            node.address,
            "POST",
            "/v1/requests",
            {"Authorization": f"Bearer {self.caller.key}"},
            msgspec.json.encode(self._body()),
            SILENCE_LIMIT_S,
            on_headers=self._on_headers,
            on_events=self._on_events,
        )
        if response.status == 200 and self.final is None:
            raise ConnectionLost("the stream ended without a final answer")
        return response

    def _body(self) -> dict[str, Any]:
        body = {
            "request_id": self.record.request_id,
            "kind": self.planned.kind,
            "body": self.planned.body,
            "stream": True,
            "deadline_s": max(0.001, self.record.end_s - self.clock.monotonic_s()),
        }
        if any(answer.outcome == "lost" for answer in self.record.answers):
            body["resubmission"] = True
        if self.stream_id:
            body["resume"] = {
                "stream_id": self.stream_id,
                "after_sequence": self.sequence,
            }
        return body

    def _on_headers(self, headers) -> None:
        self.stream_id = headers.get("X-Stream-Id", self.stream_id)

    def _on_events(self, chunk: bytes) -> None:
        for event in self.parser.feed(chunk):
            self._on_event(event)

    def _on_event(self, event: SseEvent) -> None:
        self.sequence = event.sequence
        if event.event == "tokens":
            self._on_tokens(event.data["tokens"])
        elif event.event == "reset":
            self.tokens.clear()
            self.record.resets += 1
        elif event.event == "final":
            self.final = event.data

    def _on_tokens(self, tokens: list[str]) -> None:
        now_s = self.clock.monotonic_s()
        record = self.record
        if record.first_token_s is None:
            record.first_token_s = now_s
        if self.last_token_s is not None:
            gap_s = now_s - self.last_token_s
            record.token_gaps_us.append(int(gap_s * MICROSECONDS_PER_S))
        record.token_gaps_us += [1] * (len(tokens) - 1)
        self.last_token_s = now_s
        self.tokens += tokens

    def _record_answer(self, node, sent_s, outcome, reason, retry_after_s) -> None:
        record = self.record
        now_s = self.clock.monotonic_s()
        node_id = node.node_id if node is not None else ""
        record.answers.append(
            Answer(
                record.request_id,
                node_id,
                sent_s,
                now_s,
                outcome,
                reason,
                retry_after_s,
            )
        )
        record.outcome = "no_answer" if outcome == "lost" else outcome
        record.answered_s = None if outcome == "lost" else now_s
        record.tokens = len(self.tokens)

    def _prepare_retry(self, outcome: str) -> None:
        """Discard the partial output and the stream position.

        To the system a retry is a new request, which joins no earlier stream. The
        outcome of a failed request id is final, so its retry gets a new id.
        """
        self.tokens.clear()
        self.stream_id = ""
        self.sequence = 0
        if outcome == "failed":
            submissions = len(self.record.answers)
            self.record.request_id = f"{self.planned.request_id}-{submissions}"

    def _check_answer(self, answer: dict[str, Any]) -> None:
        """Record a fault if the answer is not this request's complete output."""
        request_id = self.record.request_id
        if not self.profile.max_tokens:
            given = answer.get("output", {}).get("request_id")
            if given != request_id:
                self.record.faults.append(f"answer belongs to request {given!r}")
            return
        expected = [f"{request_id}:{i} " for i in range(self.profile.max_tokens)]
        if self.tokens != expected:
            self.record.faults.append(
                f"got {len(self.tokens)} of {len(expected)} tokens, first difference "
                f"at index {_first_difference(self.tokens, expected)}"
            )


def _read_answer(response: Response) -> dict[str, Any]:
    try:
        return msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        return {"error": f"status {response.status}"}


def _first_difference(given: list[str], expected: list[str]) -> int:
    for index, (left, right) in enumerate(zip(given, expected, strict=False)):
        if left != right:
            return index
    return min(len(given), len(expected))
