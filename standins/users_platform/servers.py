"""Simulated backend servers of the users' platform: plain, stage and engine servers.

Each one records what it ran, for tests to check.
"""

import asyncio
import itertools
import json
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import (
    dataclass,
    field,
)
from typing import NamedTuple

from tornado.iostream import StreamClosedError
from tornado.web import (
    Application,
    RequestHandler,
)

_HANDLE_NUMBERS = itertools.count(1)
# Handles of the results that the stage servers of this process hold for engines.
STORED_RESULTS: set[str] = set()
ERROR_STATUSES = {"error": 500, "late_503": 503}
DRIP_S = 0.1
DRIP_EVENTS = 2
# Time from the beginning of a run to the crash that it causes.
CRASH_AFTER_S = 0.06
SLOW_EVENT_S = 0.55
LATE_REFUSAL_S = 0.6
ENDLESS_CHUNK_BYTES = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class UnframedEnd(NamedTuple):
    """How a response that is delimited by its connection ends.

    `kept_bytes` bounds the part of the body that is sent, counted from its end if it is
    negative; None is the whole body.
    """

    kept_bytes: int | None = None
    is_reset: bool = False


UNFRAMED_ENDS = {
    "unframed": UnframedEnd(),
    "unframed_cut": UnframedEnd(kept_bytes=-9),
    "unframed_cut_in_end": UnframedEnd(kept_bytes=-1),
    "unframed_reset": UnframedEnd(kept_bytes=-9, is_reset=True),
    "unframed_reset_at_end": UnframedEnd(is_reset=True),
    "unframed_empty": UnframedEnd(kept_bytes=0),
}


class Silence(NamedTuple):
    """A time for which a sound server sends nothing.

    It begins before the response, or before event `before_event` of a stream. A server
    falls silent once for each request.
    """

    for_s: float
    before_event: int = 0


CUT_HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nContent-Length: 4\r\n"
    "Replica-Signature: sig-{request_id}\r\nContent-Type: text/event-stream\r\n"
)
# The last text of the head that is sent before the server closes, by mode.
CUT_HEADS = {
    "cut_in_status": "HTTP/1.1 2",
    "cut_after_status": "200 OK\r\n",
    "cut_in_name": "Content-Le",
    "cut_in_length": "Content-Length: ",
    "cut_after_signature": "sig-{request_id}\r\n",
    "cut_before_end": "event-stream\r\n",
}


@dataclass
class ServerState:
    """State and present fault of one server.

    `mode` is one of

    - ``ok``
    - ``full``: responds with 503 and the proof that the request was not run.
    - ``full_late``: the same, `LATE_REFUSAL_S` after the request arrived.
    - ``error``: runs the request and responds with 500.
    - ``hang``: runs the request and responds only after 60 s.
    - ``cut``: runs the request and closes the connection within the event stream.
    - ``other``: responds with 421, as for a request meant for another server.
    - ``gone``: reports missing inputs the first time that a piece is run.
    - ``lost``: runs the request and closes the connection without a response.
    - ``late_503``: runs the request and responds with 503.
    - ``drip``: sends two events and then a byte each 0.1 s, without end.
    - ``endless``: sends an event without end as fast as it is read.
    - ``slow``: sends its events `SLOW_EVENT_S` apart, each in two parts.
    - a key of `UNFRAMED_ENDS`: sends neither a length nor chunks and ends that way.
    - a key of `CUT_HEADS`: runs the request and closes within the head of the response.
    - ``cut_in_chunks``: ends the stream inside an event, with a valid final chunk.

    An engine crashes when it begins to respond to a prompt with `crash_part`: it sends
    the head of the response, and then `crash` ends it. A server crashes
    `CRASH_AFTER_S` after it began to run a request of customer `crash_customer` for
    the target `crash_target`; an engine has sent `events_before_crash` events by then.
    A stage server does so with pieces whose key is `crash_key`.

    Events name the request and `version`, that of the server's software.

    With `silence` the server is sound but silent for a time. While its link is silent,
    until `link_back_s`, it sends nothing either.

    All responses have the headers in `signals`. `arrival_times_s` are monotonic.

    `run_counts` is by request ID, `piece_run_counts` by (request ID, stage, segment).
    `run_began_s` is when it began to work on a request, `work_ends_s` when it stopped,
    by request ID.
    """

    server_id: str
    service: str
    domain: str
    kind: str
    version: str = "v1"
    born_ms: int = 1
    address: str = ""
    mode: str = "ok"
    work_s: float = 0.01
    events: int = 5
    event_s: float = 0.01
    run_counts: Counter = field(default_factory=Counter)
    disconnected: set[str] = field(default_factory=set)
    run_began_s: dict[str, float] = field(default_factory=dict)
    piece_run_counts: Counter = field(default_factory=Counter)
    results: set[str] = field(default_factory=set)
    seen_headers: dict[str, dict] = field(default_factory=dict)
    crash_part: str = ""
    crash_target: str = ""
    crash_customer: str = ""
    crash_key: str = ""
    events_before_crash: int = 0
    crash: Callable[["ServerState"], None] | None = None
    silence: Silence | None = None
    silenced: set[str] = field(default_factory=set)
    link_back_s: float = 0.0
    signals: dict[str, str] = field(default_factory=dict)
    arrival_times_s: list[float] = field(default_factory=list)
    work_ends_s: dict[str, float] = field(default_factory=dict)

    def entry(self, status: str = "ready") -> dict:
        """Return the server's entry in the platform's server table."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": self.version,
            "slots": 8,
            "state": status,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        }


def event_text(number: int, request_id: str, version: str = "v1") -> str:
    return f"id: {number}\ndata: {request_id} {version}\n\n"


class _ServerHandler(RequestHandler):
    def initialize(self, state: ServerState) -> None:
        self.state = state

    def prepare(self) -> None:
        self.state.arrival_times_s.append(time.monotonic())
        for name, value in self.state.signals.items():
            self.set_header(name, value)


class _RouteHandler(_ServerHandler):
    async def get(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    async def _serve(self) -> None:
        state = self.state
        request_id = self.request.headers.get("Request-Id", "")
        expected = self.request.headers.get("Expect-Replica", state.server_id)
        self.set_header("Request-Id", request_id)
        if state.mode == "other" or expected != state.server_id:
            self.set_status(421)
            return
        if state.mode in ("full", "full_late"):
            if state.mode == "full_late":
                await asyncio.sleep(LATE_REFUSAL_S)
            self.set_status(503)
            self.set_header("Not-Executed", "1")
            return
        if not self._has_inputs():
            self.set_status(409)
            self.set_header("Not-Executed", "1")
            return
        state.run_counts[request_id] += 1
        state.run_began_s[request_id] = time.monotonic()
        state.seen_headers[request_id] = dict(self.request.headers)
        self.set_header("Replica-Signature", f"sig-{request_id}")
        if self._crashes_server():
            await self._crash_after_events(request_id)
            return
        if state.mode == "hang":
            await asyncio.sleep(60)
        if state.silence is not None and not state.silence.before_event:
            await self._be_silent(request_id)
        if state.mode == "lost":
            await asyncio.sleep(state.work_s)
            self.request.connection.stream.close()
            return
        if state.mode in ERROR_STATUSES:
            self.set_status(ERROR_STATUSES[state.mode])
            self.write("failed")
            return
        if state.mode in CUT_HEADS:
            await self._send_cut_head(request_id, CUT_HEADS[state.mode])
        elif state.mode in UNFRAMED_ENDS:
            await self._send_unframed(request_id, UNFRAMED_ENDS[state.mode])
        elif state.kind == "engine":
            await self._stream(request_id)
        else:
            await asyncio.sleep(state.work_s)
            await self._await_link()
            self.write(self._plain_body(request_id))

    async def _be_silent(self, request_id: str) -> None:
        if request_id not in self.state.silenced:
            self.state.silenced.add(request_id)
            await asyncio.sleep(self.state.silence.for_s)

    async def _await_link(self) -> None:
        await asyncio.sleep(max(0.0, self.state.link_back_s - time.monotonic()))

    def _crashes_server(self) -> bool:
        customer = self.request.headers.get("Tenant", "")
        wanted = (self.state.crash_target, self.state.crash_customer)
        return (self.request.uri, customer) == wanted

    async def _crash_after_events(self, request_id: str) -> None:
        state = self.state
        try:
            if state.events_before_crash:
                self.set_header("Content-Type", "text/event-stream")
                for number in range(1, state.events_before_crash + 1):
                    self.write(event_text(number, request_id, state.version))
                await self.flush()
            await asyncio.sleep(CRASH_AFTER_S)
        except StreamClosedError:
            state.disconnected.add(request_id)
        state.crash(state)
        self.request.connection.stream.close()

    def _plain_body(self, request_id: str) -> str:
        return f"answer to {request_id} {self.request.uri}"

    def _prompt_part_ids(self) -> list[str]:
        parts = self.request.headers.get("Prefix-Hash", "").split(",")
        return [part.partition(":")[0] for part in parts]

    def _first_event_number(self) -> int:
        return int(self.request.headers.get("Last-Event-Id", "0")) + 1

    async def _send_cut_head(self, request_id: str, last_text: str) -> None:
        head = CUT_HEAD.format(request_id=request_id)
        last_text = last_text.format(request_id=request_id)
        stream = self.detach()
        await stream.write(head[: head.index(last_text) + len(last_text)].encode())
        stream.close()

    async def _send_unframed(self, request_id: str, end: UnframedEnd) -> None:
        body = self._plain_body(request_id)
        if self.state.kind == "engine":
            numbers = range(self._first_event_number(), self.state.events + 1)
            body = "".join(
                event_text(n, request_id, self.state.version) for n in numbers
            )
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Replica-Signature: sig-{request_id}\r\n"
        )
        head += "".join(f"{n}: {v}\r\n" for n, v in self.state.signals.items())
        stream = self.detach()
        await stream.write(head.encode() + b"\r\n" + body.encode()[: end.kept_bytes])
        # The bytes reach the node before the connection ends.
        await asyncio.sleep(self.state.work_s)
        if end.is_reset:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        stream.close()

    def _has_inputs(self) -> bool:
        """Return whether all stage results named by the request are still stored."""
        named = self.request.headers.get("Inputs", "")
        return all(handle in STORED_RESULTS for handle in named.split(",") if handle)

    async def _stream(self, request_id: str) -> None:
        state = self.state
        self.set_header("Content-Type", "text/event-stream")
        try:
            if state.crash_part and state.crash_part in self._prompt_part_ids():
                await self.flush()
                state.crash(state)
                self.request.connection.stream.close()
                return
            for number in range(self._first_event_number(), state.events + 1):
                await asyncio.sleep(state.event_s)
                await self._await_link()
                if state.silence is not None and state.silence.before_event == number:
                    await self._be_silent(request_id)
                if state.mode == "endless":
                    await self._send_without_end(b"d" * ENDLESS_CHUNK_BYTES, 0)
                if state.mode == "drip" and number > DRIP_EVENTS:
                    await self._send_without_end(b":", DRIP_S)
                if state.mode == "slow":
                    self.write(f"id: {number}\n")
                    await self.flush()
                    await asyncio.sleep(SLOW_EVENT_S)
                    self.write(f"data: {request_id}\n\n")
                    await self.flush()
                    continue
                if state.mode == "cut" and number == state.events - 1:
                    self.write(f"id: {number}\nda")
                    await self.flush()
                    self.request.connection.stream.close()
                    return
                if state.mode == "cut_in_chunks" and number == state.events - 1:
                    self.write(f"id: {number}\nda")
                    return
                self.write(event_text(number, request_id, state.version))
                await self.flush()
        except StreamClosedError:
            state.disconnected.add(request_id)

    async def _send_without_end(self, content: bytes, pause_s: float) -> None:
        while True:
            self.write(content)
            await self.flush()
            await asyncio.sleep(pause_s)

    def on_finish(self) -> None:
        self._note_end_of_work()

    def on_connection_close(self) -> None:
        self.state.disconnected.add(self.request.headers.get("Request-Id", ""))
        self._note_end_of_work()

    def _note_end_of_work(self) -> None:
        request_id = self.request.headers.get("Request-Id", "")
        self.state.work_ends_s.setdefault(request_id, time.monotonic())


class _ReportHandler(_ServerHandler):
    def get(self) -> None:
        self.write(
            {"queued": 0, "active": 0, "sequence": 1, "born": self.state.born_ms}
        )


class _StageRunHandler(_ServerHandler):
    async def post(self) -> None:
        state = self.state
        if state.mode == "full":
            self.set_status(503)
            self.set_header("Not-Executed", "1")
            return
        entries = json.loads(self.request.body)["entries"]
        keys = {entry.get("key") for entry in entries}
        if state.crash_key and state.crash_key in keys:
            await asyncio.sleep(CRASH_AFTER_S)
            state.crash(state)
            self.request.connection.stream.close()
            return
        await asyncio.sleep(state.work_s)
        results = []
        for entry in entries:
            piece = (entry["id"], entry["stage"], entry["segment"])
            state.piece_run_counts[piece] += 1
            if state.mode == "error":
                results.append({"reason": "error"})
                continue
            if state.mode == "gone" and state.piece_run_counts[piece] == 1:
                results.append({"reason": "gone"})
                continue
            handle = f"{state.address}/{next(_HANDLE_NUMBERS)}"
            state.results.add(handle)
            STORED_RESULTS.add(handle)
            results.append({"handle": handle})
        self.write({"entries": results})


class _StageFreeHandler(_ServerHandler):
    def post(self) -> None:
        handles = set(json.loads(self.request.body)["handles"])
        self.state.results -= handles
        STORED_RESULTS.difference_update(handles)
        self.write({})


def server_application(state: ServerState) -> Application:
    """Return the HTTP application of a server."""
    options = {"state": state}
    return Application(
        [
            ("/report", _ReportHandler, options),
            ("/stage-run", _StageRunHandler, options),
            ("/stage-free", _StageFreeHandler, options),
            ("/.*", _RouteHandler, options),
        ],
        log_function=lambda handler: None,
    )
