"""One caller's handling of one request, as `docs/api.md` asks of callers.

A refused request is sent again after `retry_after_s`, a repeatable failed one too but
with a new id, and a lost connection is resumed at another node, each while the deadline
allows it.
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
    KindRules,
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
    """Runs planned requests of one customer key."""

    def __init__(self, clock: Clock, book: AddressCache, key: str):
        self.clock = clock
        self.book = book
        self.key = key

    async def run(
        self, planned: PlannedRequest, rules: KindRules, start_s: float
    ) -> RequestRecord:
        """Return the record; `start_s` is the monotonic start of the schedule."""
        at_s = start_s + planned.at_s
        record = RequestRecord(
            planned.customer_id, planned.kind, at_s, at_s + rules.deadline_s
        )
        record.started_s = self.clock.monotonic_s()
        submission = _Submission(self, planned, rules, record)
        while self.clock.monotonic_s() < record.end_s:
            wait_s = await submission.try_once()
            if wait_s is None or self.clock.monotonic_s() + wait_s >= record.end_s:
                break
            await self.clock.sleep(wait_s)
        return record


class _Submission:
    """State of one request over its tries."""

    def __init__(self, caller: Caller, planned, rules: KindRules, record) -> None:
        self.caller = caller
        self.clock = caller.clock
        self.planned = planned
        self.rules = rules
        self.record = record
        self.final: dict[str, Any] | None = None
        self.tokens: list[str] = []
        self.stream_id = ""
        self.sequence = 0
        self.last_token_s: float | None = None
        self.parser = SseParser()
        self.record.request_id = planned.request_id

    async def try_once(self) -> float | None:
        """Send the request; return when to try again, or None if that was final."""
        sent_s = self.clock.monotonic_s()
        node = None
        try:
            node = await self.caller.book.choose()
            response = await self._send(node)
        except ConnectionLost as lost:
            if node is not None:
                self.caller.book.avoid(node)
            self._note(node, sent_s, "lost", str(lost), None)
            return RECONNECT_S
        answer = self.final or _read_answer(response)
        outcome = answer.get("outcome") or answer.get("error")
        outcome = outcome if outcome in OUTCOMES else "refused"
        reason = answer.get("reason") or answer.get("error") or ""
        retry_after_s = answer.get("retry_after_s")
        self._note(node, sent_s, outcome, reason, retry_after_s)
        if outcome == "complete":
            self._check_answer(answer)
        if outcome in ("not_run", "failed") and retry_after_s is not None:
            self._start_again(outcome)
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

    def _note(self, node, sent_s, outcome, reason, retry_after_s) -> None:
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

    def _start_again(self, outcome: str) -> None:
        """Forget a partial answer; a failed id is done, so its retry needs a new one.

        A retry is a new request to the system: it joins no earlier stream.
        """
        self.tokens.clear()
        self.stream_id = ""
        self.sequence = 0
        if outcome == "failed":
            tries = len(self.record.answers)
            self.record.request_id = f"{self.planned.request_id}-{tries}"

    def _check_answer(self, answer: dict[str, Any]) -> None:
        """Note as a fault any difference from the request's own whole answer."""
        request_id = self.record.request_id
        if not self.rules.max_tokens:
            given = answer.get("output", {}).get("request_id")
            if given != request_id:
                self.record.faults.append(f"answer is of request {given!r}")
            return
        expected = [f"{request_id}:{i} " for i in range(self.rules.max_tokens)]
        if self.tokens != expected:
            self.record.faults.append(
                f"{len(self.tokens)} tokens instead of {len(expected)}, first "
                f"difference at {_first_difference(self.tokens, expected)}"
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
