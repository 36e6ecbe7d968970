"""Receives one request: collects its head and body, or refuses it."""

from enum import Enum

from tornado import httputil

from egretshed.errors import (
    BodyTooLarge,
    EgretshedError,
    HeadTooLarge,
    NotRun,
    RequestStalled,
)
from egretshed.held_bytes.account import HeldKind
from egretshed.ingress.connection_bound import (
    OpenConnection,
    OpenPhase,
)
from egretshed.ingress.heads import (
    exceeds,
    parsed_cost_bytes,
)
from egretshed.ingress.reply import (
    IncomingRequest,
    Reply,
)
from egretshed.ingress.streams import (
    answer_incomplete,
    has_buffered_bytes,
    has_unread_bytes,
)
from egretshed.logs import log_event
from egretshed.serving.schema import CallerLimits

# A body over the declared limit gets status 413; one over this many times the limit
# closes the connection.
HARD_BODY_LIMIT_FACTOR = 4
# A body must make progress of this many bytes within each idle timeout. A limit on the
# whole time would cut a large body on a slow link.
MIN_BODY_PROGRESS_BYTES = 1024
# Retry-After of requests whose bytes this node cannot hold now.
MEMORY_RETRY_AFTER_S = 0.5


class Awaited(Enum):
    """What is awaited from the caller of a request."""

    FIRST_BYTE = "first byte"
    HEAD = "head"
    BODY = "body"
    NOTHING = "nothing"
    # It was answered before it was complete; only its caller closes without a reset.
    CLOSE = "close"


PHASES = {
    Awaited.FIRST_BYTE: OpenPhase.IDLE,
    Awaited.HEAD: OpenPhase.HEAD,
    Awaited.BODY: OpenPhase.BODY,
    Awaited.NOTHING: OpenPhase.RUNNING,
    Awaited.CLOSE: OpenPhase.CLOSING,
}


class RequestDelegate(httputil.HTTPMessageDelegate):
    """Collects the head and body of one request, and then has it handled.

    It exists from the time when its connection begins to wait for the request. The
    server calls `check_progress` periodically.
    """

    def __init__(self, server, connection):
        self.server = server
        self.reply = Reply(connection, server.open_held(HeldKind.ANSWERS))
        self.connection = connection
        self.held = server.open_held(HeldKind.REQUESTS)
        self.held.give_up = self._give_up
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.body_limit_bytes = 0
        self.start_line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.received_s = 0.0
        # The head, if its fields are parsed when the request is complete.
        self.deferred_head: bytes | None = None
        self._counted_bytes = 0
        self._taken_bytes = 0
        connection.stream.arrived.give_up = self._give_up_arrived
        self._await(Awaited.FIRST_BYTE)

    def _await(self, awaited: Awaited) -> None:
        self._awaited = awaited
        self._since_s = self.server.env.clock.monotonic_s()

    def headers_received(self, start_line, headers) -> None:
        if self._awaited is Awaited.CLOSE:
            return
        self.start_line = start_line
        self.headers = headers
        self.deferred_head = self.connection.deferred_head
        self.held.add(len(self.deferred_head or b""))
        self.reply.can_chunk = start_line.version == "HTTP/1.1"
        self._await(Awaited.BODY)
        self.received_s = self._since_s
        self.server.receiving.add(self)
        limits = self.server.limits.highest()
        self.body_limit_bytes = limits.body_bytes
        self.connection.set_max_body_size(limits.body_bytes * HARD_BODY_LIMIT_FACTOR)
        if self.reply.is_started:  # given up as its head was counted
            return
        if self._is_head_over(limits.header_bytes):
            self._reject(HeadTooLarge())
            return
        length = headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.body_limit_bytes:
            self._reject(BodyTooLarge())

    def _is_head_over(self, limit_bytes: int) -> bool:
        if self.deferred_head is not None:
            return exceeds(self.deferred_head, limit_bytes)
        return _size_bytes(self.start_line, self.headers) > limit_bytes

    def data_received(self, chunk: bytes) -> None:
        self.size_bytes += len(chunk)
        if self.reply.is_started:
            return
        if self.size_bytes > self.body_limit_bytes:
            # The limit that was in force as the body began holds on if it is higher.
            limits = self.server.limits.highest()
            self.body_limit_bytes = max(self.body_limit_bytes, limits.body_bytes)
        if self.size_bytes > self.body_limit_bytes:
            self._reject(BodyTooLarge())
        elif self.server.reads_targets_only:
            return
        else:
            self.chunks.append(chunk)
            self.held.add(len(chunk))

    def _give_up(self) -> None:
        self._reject(_no_memory())

    def _give_up_arrived(self) -> None:
        """Refuse the request whose head, or body, fills the buffer of its stream."""
        if self._awaited is Awaited.BODY:
            if not self.reply.is_started:
                self._give_up()
            return
        self._answer_incomplete(_no_memory())

    def _reject(self, error: EgretshedError) -> None:
        self.chunks.clear()
        self.deferred_head = None
        self.held.close()
        status, headers, body = self.server.error_response(error)
        self.reply.start(status, [*headers, ("Connection", "close")], body)

    def check_progress(self, now_s: float, limits: CallerLimits) -> None:
        """End the request or its connection if the awaited part is overdue."""
        awaited = self._awaited
        limit_s = limits.idle_timeout_s
        if awaited is Awaited.NOTHING:
            self._check_answer(now_s, limit_s)
            return
        if awaited is Awaited.FIRST_BYTE:
            if has_buffered_bytes(self.connection.stream):
                self._await(Awaited.HEAD)
                return
        elif awaited is Awaited.HEAD:
            limit_s = limits.header_timeout_s
        elif awaited is Awaited.CLOSE:
            limit_s = 0.0
        elif self.size_bytes - self._counted_bytes >= MIN_BODY_PROGRESS_BYTES:
            self._counted_bytes = self.size_bytes
            self._since_s = now_s
            return
        if now_s - self._since_s >= limit_s and not self.has_arrivals():
            self._end_overdue(limit_s)

    def _check_answer(self, now_s: float, limit_s: float) -> None:
        """Close the connection of a caller that has stopped to read its answer."""
        stream = self.connection.stream
        taken_bytes = stream._total_write_done_index
        is_waiting = self.reply.is_finished and stream.writing()
        if not is_waiting or taken_bytes != self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._since_s = now_s
        elif now_s - self._since_s >= limit_s:
            log_event(
                self.server.env.logger, "answer_not_read", taken_bytes=taken_bytes
            )
            self.reply.abort()

    def open_connection(self) -> OpenConnection:
        """Return what decides whether this connection is closed for another one."""
        phase = PHASES[self._awaited]
        if self._awaited is Awaited.NOTHING and self.reply.is_finished:
            phase = OpenPhase.IDLE
            if self.connection.stream.writing():
                phase = OpenPhase.RUNNING
        return OpenConnection(phase, self._since_s, self)

    def has_arrivals(self) -> bool:
        """Return whether bytes of the request have arrived, but were not processed."""
        stream = self.connection.stream
        return self._awaited is not Awaited.CLOSE and has_unread_bytes(stream)

    def _end_overdue(self, limit_s: float) -> None:
        if self.connection.stream.closed():
            return  # by its caller, in this turn of the event loop
        if self._awaited in (Awaited.FIRST_BYTE, Awaited.CLOSE):
            self.connection.close()
            return
        log_event(
            self.server.env.logger,
            "request_stalled",
            awaited=self._awaited.value,
            received_bytes=self.size_bytes,
            progress_bytes=self.size_bytes - self._counted_bytes,
            window_s=limit_s,
        )
        if self.reply.is_started:
            self.reply.abort()
            return
        self._answer_incomplete(RequestStalled())

    def _answer_incomplete(self, error: EgretshedError) -> None:
        # What still arrives of the request must not be run after this answer.
        self.reply.is_started = True
        self._end_receiving(Awaited.CLOSE)
        stream = self.connection.stream
        answer_incomplete(stream, *self.server.error_response(error))
        stream.discard()

    def is_answer_due(self) -> bool:
        """Return whether the request has arrived and its answer was not sent yet."""
        if self._awaited is Awaited.NOTHING:
            is_due = not self.reply.is_finished
        else:
            is_due = self.has_arrivals()
        return is_due or self.connection.stream.writing()

    def _end_receiving(self, then: Awaited = Awaited.NOTHING) -> None:
        self.server.receiving.discard(self)
        if self._awaited is not Awaited.CLOSE:
            self._await(then)

    def finish(self) -> None:
        self._end_receiving()
        if self.reply.is_started:
            return
        self.connection.set_close_callback(self.reply.disconnected.set)
        self.connection.stream.arrived.give_up = None
        if self.deferred_head is None or self.server.reads_targets_only:
            self.server.spawn(self._run(self.headers), self.reply, self.held)
            return
        self.held.add(parsed_cost_bytes(self.deferred_head))
        if not self.reply.is_started:
            self.server.spawn(self._run_deferred(), self.reply, self.held)

    async def _run_deferred(self) -> None:
        """Parse the rest of the head when it is its turn, and run the request."""
        headers = await self.server.parse_deferred(self.deferred_head)
        if headers is None:
            self.reply.start(400, [("Connection", "close")], b"")
        elif not self.reply.is_started:
            await self._run(headers)

    async def _run(self, headers: httputil.HTTPHeaders) -> None:
        # From here on the request is run, and not rejected any more.
        self.held.give_up = None
        self.deferred_head = None
        request = IncomingRequest(
            self.start_line.method,
            self.start_line.path,
            headers,
            b"".join(self.chunks),
            self.received_s,
        )
        self.chunks.clear()
        await self.server.handler(request, self.reply)

    def on_connection_close(self) -> None:
        self._end_receiving()
        self.held.close()
        self.reply.disconnected.set()


def _no_memory() -> NotRun:
    return NotRun(
        "this node holds too many bytes of requests",
        reason="memory",
        retry_after_s=MEMORY_RETRY_AFTER_S,
    )


def _size_bytes(start_line, headers: httputil.HTTPHeaders) -> int:
    """Return the size of a head, without optional white space."""
    lines = [" ".join(start_line), "", *(f"{n}: {v}" for n, v in headers.get_all())]
    return sum(len(line) + len("\r\n") for line in lines)
