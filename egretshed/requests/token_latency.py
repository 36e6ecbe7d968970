"""Notices a call whose tokens come too slowly to end in time."""

import asyncio
from collections import deque
from typing import Any

from egretshed.clock import Clock
from egretshed.errors import BackendSlow

CHECK_S = 0.25
# Tokens whose time tells the present pace; fewer are an effect of scheduling.
WINDOW_TOKENS = 8
MIN_TOKENS = 3
# A call is abandoned only on a server this many times slower than is usual. Pace varies
# by about 2 with the load that a server carries.
SLOW_FACTOR = 4.0
PACE_WEIGHT = 0.1


class UsualPaces:
    """Usual seconds per token by pool, from completed calls."""

    def __init__(self) -> None:
        self._token_s: dict[str, float] = {}

    def observe(self, pool: str, tokens: int, after_first_s: float) -> None:
        """Add a call that made `tokens` in `after_first_s` after its first token."""
        if tokens < MIN_TOKENS:
            return
        token_s = after_first_s / (tokens - 1)
        usual_s = self._token_s.get(pool, token_s)
        self._token_s[pool] = usual_s + (token_s - usual_s) * PACE_WEIGHT

    def token_s(self, pool: str) -> float | None:
        return self._token_s.get(pool)

    def tokens_take_s(self, pool: str, tokens: int) -> float:
        """Return the usual time of so many tokens, 0 before any was measured."""
        return tokens * self._token_s.get(pool, 0.0)


class CallPace:
    """Pace of one call that should make at most `expected_tokens` by `end_s`."""

    def __init__(self, expected_tokens: int, end_s: float, usual_token_s: float | None):
        self.expected_tokens = expected_tokens
        self.end_s = end_s
        self.usual_token_s = usual_token_s
        self._times_s: deque[float] = deque(maxlen=WINDOW_TOKENS + 1)
        self._count = 0

    def note(self, tokens: int, now_s: float) -> None:
        self._count += tokens
        self._times_s.extend([now_s] * min(tokens, WINDOW_TOKENS))

    def span(self) -> tuple[int, float]:
        """Return the last tokens counted and the seconds from their first to last."""
        if not self._times_s:
            return 0, 0.0
        return len(self._times_s), self._times_s[-1] - self._times_s[0]

    def token_s(self, now_s: float) -> float | None:
        """Return the present seconds per token, the wait for the next one included."""
        if len(self._times_s) < MIN_TOKENS:
            return None
        gaps = len(self._times_s) - 1
        last_s = self._times_s[-1] - self._times_s[0]
        with_wait_s = now_s - self._times_s[0]
        return max(last_s / gaps, with_wait_s / (gaps + 1))

    def is_too_slow(self, now_s: float) -> bool:
        """Whether the call cannot end in time here, but could on a usual server."""
        token_s = self.token_s(now_s)
        if token_s is None or self.usual_token_s is None:
            return False
        if token_s < SLOW_FACTOR * self.usual_token_s:
            return False
        left = self.expected_tokens - self._count
        return now_s + left * token_s > self.end_s


async def within_pace(
    clock: Clock, work: asyncio.Future, pace: CallPace, could_move
) -> Any:
    """Return the result of `work`; raise `BackendSlow` once it is too slow.

    `could_move()` says whether another server could still complete the call.
    """
    try:
        while not work.done():
            timer = asyncio.ensure_future(clock.sleep(CHECK_S))
            try:
                await asyncio.wait({work, timer}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                timer.cancel()
            if work.done():
                break
            if pace.is_too_slow(clock.monotonic_s()) and could_move():
                raise BackendSlow("the call cannot end in time at its present pace")
        return await work
    finally:
        work.cancel()
