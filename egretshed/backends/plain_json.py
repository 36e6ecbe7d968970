"""Adapter for pools and services that return one JSON object per call."""

import asyncio

from egretshed.backends.adapters import BACKEND_ADAPTERS
from egretshed.backends.http import (
    HttpBackend,
    decode_object,
)
from egretshed.backends.interface import (
    BackendCall,
    BackendResult,
    OnTokens,
)
from egretshed.errors import (
    BackendError,
    BackendSilent,
)


@BACKEND_ADAPTERS.register("plain_json")
class PlainJsonBackend(HttpBackend):
    """Sends each call to ``POST /call``, which returns ``{"output": {...}}``."""

    async def call(self, call: BackendCall, on_tokens: OnTokens) -> BackendResult:
        clock = self.env.clock
        start_s = clock.monotonic_s()
        body = call._asdict()
        limit_s = min(call.remaining_s, call.progress_limit_s)
        try:
            async with asyncio.timeout(limit_s):
                response = await self.fetch(
                    "POST", "/call", body, self.call_headers(call), limit_s
                )
        except TimeoutError as error:
            raise self._error(
                BackendSilent, "no response within the time limit", True
            ) from error
        self._raise_for_status(response)
        output = decode_object(response).get("output")
        if not isinstance(output, dict):
            raise BackendError(
                "the response of the backend server has no output object"
            )
        total_s = clock.monotonic_s() - start_s
        return BackendResult(call.attempt_id, output, total_s, total_s)
