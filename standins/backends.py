"""Simulated backend servers over HTTP: engines, pipeline stages and plain services.

Engines respond to `POST /v1/completions` with a stream of server-sent events. The
headers X-Attempt-Id, X-Request-Id, X-Customer-Id and X-Priority identify the call. The
body field `cache_prefix` identifies the shared prefix of the prompt, and `resume_from`
is the index of the first token to send. Other roles respond to `POST /call`.

All roles serve

- `GET /load`, `POST /order` and `POST /cancel`
- `GET /cache/events?after=N`
- `POST /cache/export` with the body {prefix}: returns the cached bytes, or 404
- `POST /cache/import?prefix=P` with these bytes as body: returns {imported}
- `GET /record`, for tests
- `POST /fault`, for tests, with the fields of `BackendFault`, `cold`, `leaving` and
  `out`
"""

from typing import Any

import msgspec

from egretshed.backends.interface import BackendOrder
from egretshed.clock import (
    Clock,
    SystemClock,
)
from egretshed.errors import StaleFencingNumber
from egretshed.records import to_object
from standins.backend_spec import (
    BackendSpec,
    CallRecord,
)
from standins.backend_state import BackendState
from standins.backend_work import (
    OUTPUT_FUNCTIONS,
    count_prompt_tokens,
    count_shared_tokens,
    token_text,
)
from standins.http_server import (
    JsonHandler,
    LoopbackServer,
)

CONFLICT = 409
INTERNAL_ERROR = 500
NOT_FOUND = 404
UNAVAILABLE = 503
SILENCE_POLL_S = 0.05


class CallInterrupted(Exception):
    """Ends a call before completion; `outcome` is as in `CallRecord`."""

    def __init__(self, outcome: str):
        super().__init__(outcome)
        self.outcome = outcome


class BackendServer:
    """HTTP server of one backend on a loopback port; `state` holds its behaviour."""

    def __init__(self, spec: BackendSpec, clock: Clock | None = None, seed: int = 1):
        self.spec = spec
        self.clock = clock or SystemClock()
        self.state = BackendState(spec, self.clock, seed)
        options = {"server": self}
        routes = [
            (r"/v1/completions", CompletionsHandler, options),
            (r"/call", CallHandler, options),
            (r"/load", LoadHandler, options),
            (r"/order", OrderHandler, options),
            (r"/cancel", CancelHandler, options),
            (r"/cache/events", CacheEventsHandler, options),
            (r"/cache/export", CacheExportHandler, options),
            (r"/cache/import", CacheImportHandler, options),
            (r"/record", RecordHandler, options),
            (r"/fault", FaultHandler, options),
        ]
        self._http = LoopbackServer(routes, spec.port)

    @property
    def url(self) -> str:
        return self._http.url

    async def start(self) -> None:
        await self._http.start()

    async def stop(self) -> None:
        await self._http.stop()


class BackendHandler(JsonHandler):
    """Base of all handlers that are subject to the `down` and `silent` faults."""

    def initialize(self, server: BackendServer) -> None:
        self.server = server
        self.state = server.state

    async def apply_fault(self) -> bool:
        """Apply `silent` or `down` to a request other than a call.

        Returns True if one of them was set, so that no response may be sent.
        """
        if self.state.fault.silent:
            await self.wait_for_close()
            return True
        if self.state.fault.down:
            self.close_without_reply()
            return True
        return False


class WorkHandler(BackendHandler):
    """Runs one call, subject to the server's load, warm-up and faults."""

    async def run(self, call: CallRecord, body: dict[str, Any]) -> None:
        state = self.state
        if state.fault.down:
            self.close_without_reply()
            return
        state.begin_call(call)
        outcome = "failed"
        try:
            if state.should_reject():
                raise CallInterrupted("rejected")
            fails = state.random.random() < state.fault.fail_share
            await self.compute(call, body, fails)
            outcome = "completed"
        except CallInterrupted as interruption:
            outcome = interruption.outcome
            self.respond_interrupted(outcome)
        finally:
            state.end_call(call, outcome)

    async def compute(self, call: CallRecord, body: dict, fails: bool) -> None:
        raise NotImplementedError

    async def simulate_work(self, call: CallRecord, seconds: float) -> None:
        """Sleep for `seconds`, scaled by the server's present slowdown.

        A silenced call then waits until it is cancelled. Raises `CallInterrupted`
        if the call was cancelled or the server is down.
        """
        await self.server.clock.sleep(seconds * self.state.slowdown())
        while call.silenced and not self.is_cancelled(call):
            await self.server.clock.sleep(SILENCE_POLL_S)
        if self.is_cancelled(call):
            raise CallInterrupted("cancelled")
        if self.state.fault.down:
            raise CallInterrupted("failed")

    def is_cancelled(self, call: CallRecord) -> bool:
        return call.cancel_requested or self.is_connection_closed

    def respond_interrupted(self, outcome: str) -> None:
        """Send an error status, or close the connection.

        The connection is closed if the response has begun or the server is down.
        """
        if self.is_connection_closed:
            return
        if self._headers_written or self.state.fault.down:
            self.close_without_reply()
            return
        status = UNAVAILABLE if outcome == "rejected" else INTERNAL_ERROR
        self.send_json({"error": outcome}, status)


class CompletionsHandler(WorkHandler):
    async def post(self) -> None:
        headers = self.request.headers
        call = CallRecord(
            headers.get("X-Attempt-Id", ""),
            headers.get("X-Request-Id", ""),
            headers.get("X-Customer-Id", ""),
            self.server.clock.monotonic_s(),
        )
        await self.run(call, self.body())

    async def compute(self, call: CallRecord, body: dict, fails: bool) -> None:
        prefix = body.get("cache_prefix") or ""
        call.prompt_tokens = count_prompt_tokens(body)
        cached = self.state.cache.cached_tokens(prefix)
        call.cached_tokens = min(cached, count_shared_tokens(body))
        uncached = call.prompt_tokens - call.cached_tokens
        await self.simulate_work(call, uncached * self.state.timing.prompt_token_s)
        self.state.cache.add(prefix, count_shared_tokens(body))
        self.set_header("Content-Type", "text/event-stream")
        first, end = body.get("resume_from", 0), body.get("max_tokens", 16)
        for index in range(first, end):
            await self.simulate_work(call, self.state.step_s())
            if fails and index >= (first + end) // 2:
                raise CallInterrupted("failed")
            call.tokens += 1
            await self.send({"text": token_text(call.request_id, index)}, {})
        usage = {
            "prompt_tokens": call.prompt_tokens,
            "completion_tokens": call.tokens,
            "cached_tokens": call.cached_tokens,
        }
        final = {"text": "", "finish_reason": "length"}
        await self.send(final, {"usage": usage})
        self.write(b"data: [DONE]\n\n")
        await self.finish()

    async def send(self, choice: dict[str, Any], fields: dict[str, Any]) -> None:
        event = {"choices": [{"index": 0, **choice}], **fields}
        self.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
        await self.flush()


class CallHandler(WorkHandler):
    async def post(self) -> None:
        body = self.body()
        call = CallRecord(
            body["attempt_id"],
            body["request_id"],
            body.get("customer_id", ""),
            self.server.clock.monotonic_s(),
        )
        call.stage = body.get("stage", "")
        await self.run(call, body)

    async def compute(self, call: CallRecord, body: dict, fails: bool) -> None:
        await self.simulate_work(call, self.state.timing.call_s)
        if fails:
            raise CallInterrupted("failed")
        output_function = OUTPUT_FUNCTIONS.get(self.state.role)
        payload = body.get("payload") or {}
        output = output_function(call.request_id, call.customer_id, payload)
        self.send_json({"output": output})


class LoadHandler(BackendHandler):
    async def get(self) -> None:
        if not await self.apply_fault():
            self.send_json(to_object(self.state.load()))


class OrderHandler(BackendHandler):
    async def post(self) -> None:
        if await self.apply_fault():
            return
        try:
            result = await self.state.order(BackendOrder(**self.body()))
        except StaleFencingNumber as error:
            self.send_json(error.to_body(), CONFLICT)
            return
        self.send_json(to_object(result))


class CancelHandler(BackendHandler):
    async def post(self) -> None:
        if not await self.apply_fault():
            self.send_json({"cancelled": self.state.cancel(self.body()["attempt_id"])})


class CacheEventsHandler(BackendHandler):
    async def get(self) -> None:
        if not await self.apply_fault():
            after = int(self.get_query_argument("after", "0"))
            self.send_json(to_object(self.state.cache.events(after)))


class CacheExportHandler(BackendHandler):
    async def post(self) -> None:
        if await self.apply_fault():
            return
        exported = self.state.cache.export(self.body()["prefix"])
        self.set_status(NOT_FOUND if exported is None else 200)
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(exported or b"")


class CacheImportHandler(BackendHandler):
    async def post(self) -> None:
        if await self.apply_fault():
            return
        prefix = self.get_query_argument("prefix")
        tokens = self.request.body
        if tokens.isdigit():
            self.state.cache.add(prefix, int(tokens))
        self.send_json({"imported": tokens.isdigit()})


class RecordHandler(JsonHandler):
    def initialize(self, server: BackendServer) -> None:
        self.server = server

    def get(self) -> None:
        self.send_json(self.server.state.to_record())


class FaultHandler(JsonHandler):
    def initialize(self, server: BackendServer) -> None:
        self.server = server

    def post(self) -> None:
        self.server.state.set_fault(self.body())
        self.send_json({})
