"""Detects calls whose tokens arrive too slowly to complete before the deadline."""

import asyncio
from collections import deque
from typing import Any

from egretshed.clock import Clock
from egretshed.errors import BackendSlow

CHECK_PERIOD_S = 0.25
# Gaps between tokens over which a call's current token latency is averaged.
WINDOW_TOKENS = 8
# Fewer tokens would measure scheduling effects rather than the server.
MIN_TOKENS = 3
# A call is abandoned only if its token latency is this many times the pool's average,
# since the load of a server alone changes it by a factor of about 2.
SLOW_FACTOR = 4.0
EWMA_WEIGHT = 0.1


class PoolTokenLatencies:
    """Moving average of the seconds per token by pool, from calls that have ended."""

    def __init__(self) -> None:
        self._token_s: dict[str, float] = {}

    def observe(self, pool: str, tokens: int, decode_s: float) -> None:
        """Add a call whose `tokens` arrived over `decode_s`, the first one at 0 s."""
        if tokens < MIN_TOKENS:
            return
        token_s = decode_s / (tokens - 1)
        average_s = self._token_s.get(pool, token_s)
        self._token_s[pool] = average_s + (token_s - average_s) * EWMA_WEIGHT

    def token_s(self, pool: str) -> float | None:
        return self._token_s.get(pool)

    def generation_s(self, pool: str, tokens: int) -> float:
        """Return the expected time to generate `tokens`, 0 if nothing was measured."""
        return tokens * self._token_s.get(pool, 0.0)


class CallTokenLatency:
    """Token latency of one call that generates up to `expected_tokens` tokens.

    `deadline_at_s` is its deadline as a monotonic time, `average_token_s` the average
    of its pool, None if not known.
    """

    def __init__(
        self, expected_tokens: int, deadline_at_s: float, average_token_s: float | None
    ):
        self.expected_tokens = expected_tokens
        self.deadline_at_s = deadline_at_s
        self.average_token_s = average_token_s
        self._times_s: deque[float] = deque(maxlen=WINDOW_TOKENS + 1)
        self._token_count = 0

    def record(self, tokens: int, now_s: float) -> None:
        self._token_count += tokens
        self._times_s.extend([now_s] * min(tokens, WINDOW_TOKENS))

    def span(self) -> tuple[int, float]:
        """Return the number of tokens in the window and the seconds they span."""
        if not self._times_s:
            return 0, 0.0
        return len(self._times_s), self._times_s[-1] - self._times_s[0]

    def token_s(self, now_s: float) -> float | None:
        """Return the current seconds per token, or None for too few tokens.

        Includes the time since the last token, so that a stalled stream counts as slow.
        """
        if len(self._times_s) < MIN_TOKENS:
            return None
        gaps = len(self._times_s) - 1
        span_s = self._times_s[-1] - self._times_s[0]
        elapsed_s = now_s - self._times_s[0]
        return max(span_s / gaps, elapsed_s / (gaps + 1))

    def is_too_slow(self, now_s: float) -> bool:
        """Whether the call is far slower than average and will miss its deadline."""
        token_s = self.token_s(now_s)
        if token_s is None or self.average_token_s is None:
            return False
        if token_s < SLOW_FACTOR * self.average_token_s:
            return False
        remaining_tokens = self.expected_tokens - self._token_count
        return now_s + remaining_tokens * token_s > self.deadline_at_s


async def await_unless_too_slow(
    clock: Clock,
    work: asyncio.Future,
    latency: CallTokenLatency,
    could_complete_elsewhere,
) -> Any:
    """Return the result of `work`; cancel it and raise `BackendSlow` if too slow.

    `could_complete_elsewhere()` tells whether another server could still complete the
    call in time; if not, the call goes on.
    """
    try:
        while not work.done():
            timer = asyncio.ensure_future(clock.sleep(CHECK_PERIOD_S))
            try:
                await asyncio.wait({work, timer}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                timer.cancel()
            if work.done():
                break
            if latency.is_too_slow(clock.monotonic_s()) and could_complete_elsewhere():
                raise BackendSlow(
                    "the call cannot meet its deadline at its current token latency"
                )
        return await work
    finally:
        work.cancel()
