"""Stand-in backend servers over HTTP: engines, pools and plain services.

Engines answer `POST /v1/completions` with a stream of server-sent events; the headers
X-Attempt-Id, X-Request-Id, X-Customer-Id and X-Priority name the call, the body field
`cache_prefix` the shared part of the prompt, and `resume_from` the first token wanted.
Other roles answer `POST /call`. All answer `GET /load`, `POST /order`, `POST /cancel`,
`GET /cache/events?after=N`, `POST /cache/export` ({prefix}; answers the cache's bytes
or 404), `POST /cache/import?prefix=P` (the bytes; answers {imported}), and for tests
`GET /record` and `POST /fault`, whose fields are those of `BackendFault` and `cold`,
`leaving` and `out`.
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
    WORK,
    prompt_tokens,
    shared_tokens,
    token,
)
from standins.http_server import (
    JsonHandler,
    LoopbackServer,
)

CONFLICT = 409
FAILED = 500
NOT_FOUND = 404
UNAVAILABLE = 503
SILENCE_CHECK_S = 0.05


class CallEnded(Exception):
    """The call stops before its end; `outcome` is as in `CallRecord`."""

    def __init__(self, outcome: str):
        super().__init__(outcome)
        self.outcome = outcome


class BackendServer:
    """One server on a loopback port; `state` holds all that it does and records."""

    def __init__(self, spec: BackendSpec, clock: Clock | None = None, seed: int = 1):
        self.spec = spec
        self.clock = clock or SystemClock()
        self.state = BackendState(spec, self.clock, seed)
        shared = {"server": self}
        routes = [
            (r"/v1/completions", CompletionsHandler, shared),
            (r"/call", CallHandler, shared),
            (r"/load", LoadHandler, shared),
            (r"/order", OrderHandler, shared),
            (r"/cancel", CancelHandler, shared),
            (r"/cache/events", CacheEventsHandler, shared),
            (r"/cache/export", CacheExportHandler, shared),
            (r"/cache/import", CacheImportHandler, shared),
            (r"/record", RecordHandler, shared),
            (r"/fault", FaultHandler, shared),
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
    """Handler that a server which is down or silent does not answer."""

    def initialize(self, server: BackendServer) -> None:
        self.server = server
        self.state = server.state

    async def is_unreachable(self) -> bool:
        """Act out the fault on anything but a call; return whether there was one."""
        if self.state.fault.silent:
            await self.stay_silent()
            return True
        if self.state.fault.down:
            self.drop_reply()
            return True
        return False


class WorkHandler(BackendHandler):
    """Runs one call under the server's load, warmth and faults."""

    async def run(self, call: CallRecord, body: dict[str, Any]) -> None:
        state = self.state
        if state.fault.down:
            self.drop_reply()
            return
        state.begin(call)
        outcome = "failed"
        try:
            if state.rejects():
                raise CallEnded("rejected")
            fails = state.random.random() < state.fault.fail_share
            await self.compute(call, body, fails)
            outcome = "completed"
        except CallEnded as ended:
            outcome = ended.outcome
            self.end_early(outcome)
        finally:
            state.end(call, outcome)

    async def compute(self, call: CallRecord, body: dict, fails: bool) -> None:
        raise NotImplementedError

    async def work(self, call: CallRecord, seconds: float) -> None:
        """Spend time on a call; raise `CallEnded` if it is not to go on."""
        await self.server.clock.sleep(seconds * self.state.slowdown())
        while call.silenced and not self.is_stopped(call):
            await self.server.clock.sleep(SILENCE_CHECK_S)
        if self.is_stopped(call):
            raise CallEnded("cancelled")
        if self.state.fault.down:
            raise CallEnded("failed")

    def is_stopped(self, call: CallRecord) -> bool:
        return call.cancel_requested or self.is_connection_closed

    def end_early(self, outcome: str) -> None:
        """Answer as far as the response allows it."""
        if self.is_connection_closed:
            return
        if self._headers_written or self.state.fault.down:
            self.drop_reply()
            return
        status = UNAVAILABLE if outcome == "rejected" else FAILED
        self.answer({"error": outcome}, status)


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
        call.prompt_tokens = prompt_tokens(body)
        cached = self.state.cache.cached_tokens(prefix)
        call.cached_tokens = min(cached, shared_tokens(body))
        uncached = call.prompt_tokens - call.cached_tokens
        await self.work(call, uncached * self.state.timing.prompt_token_s)
        self.state.cache.add(prefix, shared_tokens(body))
        self.set_header("Content-Type", "text/event-stream")
        first, end = body.get("resume_from", 0), body.get("max_tokens", 16)
        for index in range(first, end):
            await self.work(call, self.state.step_s())
            if fails and index >= (first + end) // 2:
                raise CallEnded("failed")
            call.tokens += 1
            await self.send({"text": token(call.request_id, index)}, {})
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
        await self.work(call, self.state.timing.call_s)
        if fails:
            raise CallEnded("failed")
        work = WORK.get(self.state.role)
        payload = body.get("payload") or {}
        output = work(call.request_id, call.customer_id, payload)
        self.answer({"output": output})


class LoadHandler(BackendHandler):
    async def get(self) -> None:
        if not await self.is_unreachable():
            self.answer(to_object(self.state.load()))


class OrderHandler(BackendHandler):
    async def post(self) -> None:
        if await self.is_unreachable():
            return
        try:
            result = await self.state.order(BackendOrder(**self.body()))
        except StaleFencingNumber as error:
            self.answer(error.to_body(), CONFLICT)
            return
        self.answer(to_object(result))


class CancelHandler(BackendHandler):
    async def post(self) -> None:
        if not await self.is_unreachable():
            self.answer({"cancelled": self.state.cancel(self.body()["attempt_id"])})


class CacheEventsHandler(BackendHandler):
    async def get(self) -> None:
        if not await self.is_unreachable():
            after = int(self.get_query_argument("after", "0"))
            self.answer(to_object(self.state.cache.events(after)))


class CacheExportHandler(BackendHandler):
    async def post(self) -> None:
        if await self.is_unreachable():
            return
        exported = self.state.cache.export(self.body()["prefix"])
        self.set_status(NOT_FOUND if exported is None else 200)
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(exported or b"")


class CacheImportHandler(BackendHandler):
    async def post(self) -> None:
        if await self.is_unreachable():
            return
        prefix = self.get_query_argument("prefix")
        tokens = self.request.body
        if tokens.isdigit():
            self.state.cache.add(prefix, int(tokens))
        self.answer({"imported": tokens.isdigit()})


class RecordHandler(JsonHandler):
    def initialize(self, server: BackendServer) -> None:
        self.server = server

    def get(self) -> None:
        self.answer(self.server.state.to_record())


class FaultHandler(JsonHandler):
    def initialize(self, server: BackendServer) -> None:
        self.server = server

    def post(self) -> None:
        self.server.state.set_fault(self.body())
        self.answer({})
