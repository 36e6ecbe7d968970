"""Adapter for model engines with the streaming completions API of OpenAI."""

import asyncio
from typing import NoReturn

import msgspec
from tornado.httputil import HTTPInputError

from egretshed.backends.adapters import BACKEND_ADAPTERS
from egretshed.backends.http import (
    HttpBackend,
    Progress,
    await_with_progress_limit,
)
from egretshed.backends.interface import (
    BackendCall,
    BackendResult,
    OnTokens,
    TokenEvent,
)
from egretshed.errors import BackendError
from egretshed.untrusted_json import decode_untrusted

DATA_PREFIX = b"data: "
DONE_MARKER = b"[DONE]"
EVENT_SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024


class CallAbandoned(HTTPInputError):
    """Raised in the streaming callback to close the connection of an abandoned call.

    It derives from `HTTPInputError` since tornado logs any other exception of a
    streaming callback with a traceback.
    """


class _Choice(msgspec.Struct):
    text: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    cached_tokens: int = 0


class _CompletionEvent(msgspec.Struct):
    """Fields of an event that are used; others are ignored."""

    choices: tuple[_Choice, ...] | None = None
    usage: _Usage | None = None


class _CompletionStream:
    """Parses the server-sent events of one completion.

    The tokens of one chunk are passed to `on_tokens` together. Only tokens and the
    final event are progress. After a malformed event, `failure` is the reason and the
    connection is closed.
    """

    def __init__(self, progress: Progress, on_tokens: OnTokens):
        self.progress = progress
        self.on_tokens = on_tokens
        self.start_s = progress.last_progress_s
        self.first_token_s = 0.0
        self.token_count = 0
        self.usage = _Usage()
        self.done = False
        self.abandoned = False
        self.failure: BackendError | None = None
        self._buffer = b""

    def feed(self, chunk: bytes) -> None:
        if self.abandoned:
            raise CallAbandoned()
        *events, self._buffer = (self._buffer + chunk).split(EVENT_SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._fail("an event has no end")
        tokens: list[str] = []
        for event in events:
            self._parse_event(event.strip(), tokens)
        if tokens:
            self._emit(tokens)

    def _fail(self, reason: str) -> NoReturn:
        self._buffer = b""
        self.failure = BackendError(f"malformed completion stream: {reason}")
        raise CallAbandoned()

    def _parse_event(self, event: bytes, tokens: list[str]) -> None:
        if not event.startswith(DATA_PREFIX):
            return
        data = event[len(DATA_PREFIX) :]
        if data == DONE_MARKER:
            self.done = True
            self.progress.reset()
            return
        try:
            message = decode_untrusted(data, _CompletionEvent)
        except msgspec.DecodeError as error:
            self._fail(str(error))
        if message.usage:
            self.usage = message.usage
        tokens += [choice.text for choice in message.choices or () if choice.text]

    def _emit(self, tokens: list[str]) -> None:
        self.progress.reset()
        if not self.token_count:
            self.first_token_s = self.progress.last_progress_s - self.start_s
        self.on_tokens(TokenEvent(self.token_count, tuple(tokens)))
        self.token_count += len(tokens)


@BACKEND_ADAPTERS.register("openai_completions")
class OpenAiCompletionsBackend(HttpBackend):
    """Sends each call to ``POST /v1/completions`` with ``stream`` set."""

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
        # An abandoned call ends later, and nothing awaits it then; retrieving its
        # exception here keeps asyncio from logging it as never retrieved.
        work.add_done_callback(lambda f: f.cancelled() or f.exception())
        try:
            response = await await_with_progress_limit(
                self, work, progress, call.progress_limit_s
            )
        except BackendError as error:
            raise stream.failure or error from error
        finally:
            stream.abandoned = True
        self._raise_for_status(response)
        if not stream.done:
            raise BackendError("the completion stream ended without its final event")
        return self._result(call, stream)

    def _result(self, call: BackendCall, stream: _CompletionStream) -> BackendResult:
        usage = stream.usage
        now_s = self.env.clock.monotonic_s()
        return BackendResult(
            attempt_id=call.attempt_id,
            output={"tokens": stream.token_count},
            first_token_s=stream.first_token_s,
            total_s=now_s - stream.start_s,
            generated_tokens=stream.token_count,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
        )
