"""Adapter for model engines that speak the OpenAI-style streaming completions API."""

import asyncio
from typing import Any

import msgspec
from tornado.httputil import HTTPInputError

from egretshed.backends.adapters import BACKEND_ADAPTERS
from egretshed.backends.http import (
    HttpBackend,
    Progress,
    within_progress_limit,
)
from egretshed.backends.interface import (
    BackendCall,
    BackendResult,
    OnTokens,
    TokenEvent,
)
from egretshed.errors import BackendError

DATA_PREFIX = b"data: "
DONE = b"[DONE]"
EVENT_END = b"\n\n"


class CallAbandoned(HTTPInputError):
    """Closes the connection of a call whose result nobody waits for.

    tornado logs any other exception of a streaming callback with its traceback.
    """


class _CompletionStream:
    """Parses the event stream of one completion.

    Tokens that arrive in one chunk are handed on together.
    """

    def __init__(self, progress: Progress, on_tokens: OnTokens):
        self.progress = progress
        self.on_tokens = on_tokens
        self.start_s = progress.last_s
        self.first_token_s = 0.0
        self.count = 0
        self.usage: dict[str, Any] = {}
        self.done = False
        self.abandoned = False
        self._rest = b""

    def feed(self, chunk: bytes) -> None:
        if self.abandoned:
            raise CallAbandoned()
        self.progress.note()
        *events, self._rest = (self._rest + chunk).split(EVENT_END)
        tokens: list[str] = []
        for event in events:
            self._read_event(event.strip(), tokens)
        if tokens:
            self._hand_on(tokens)

    def _read_event(self, event: bytes, tokens: list[str]) -> None:
        if not event.startswith(DATA_PREFIX):
            return
        data = event[len(DATA_PREFIX) :]
        if data == DONE:
            self.done = True
            return
        message = msgspec.json.decode(data)
        if message.get("usage"):
            self.usage = message["usage"]
        for choice in message.get("choices", ()):
            if choice.get("text"):
                tokens.append(choice["text"])

    def _hand_on(self, tokens: list[str]) -> None:
        if not self.count:
            self.first_token_s = self.progress.last_s - self.start_s
        self.on_tokens(TokenEvent(self.count, tuple(tokens)))
        self.count += len(tokens)


@BACKEND_ADAPTERS.register("openai_completions")
class OpenAiCompletionsBackend(HttpBackend):
    """POSTs to ``/v1/completions`` with ``stream`` set."""

    async def call(self, call: BackendCall, on_tokens: OnTokens) -> BackendResult:
        progress = Progress(self.env)
        stream = _CompletionStream(progress, on_tokens)
        work = asyncio.ensure_future(
            self.fetch(
                "POST",
                "/v1/completions",
                {**call.payload, "model": call.model, "stream": True},
                self.call_headers(call),
                call.remaining_s,
                on_chunk=stream.feed,
            )
        )
        # An abandoned call ends by itself later; its failure then has no reader.
        work.add_done_callback(lambda f: f.cancelled() or f.exception())
        try:
            response = await within_progress_limit(
                self, work, progress, call.progress_limit_s
            )
        finally:
            stream.abandoned = True
        self._raise_for_status(response)
        if not stream.done:
            raise BackendError("the completion stream ended early")
        return self._result(call, stream)

    def _result(self, call: BackendCall, stream: _CompletionStream) -> BackendResult:
        usage = stream.usage
        now_s = self.env.clock.monotonic_s()
        return BackendResult(
            attempt_id=call.attempt_id,
            output={"tokens": stream.count},
            first_token_s=stream.first_token_s,
            total_s=now_s - stream.start_s,
            generated_tokens=stream.count,
            prompt_tokens=usage.get("prompt_tokens", 0),
            cached_tokens=usage.get("cached_tokens", 0),
        )
