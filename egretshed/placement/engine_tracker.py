"""What the placing node knows of each engine: its cache, backlog and speed.

All of it is inferred from the placements made here and from what came of them. An
engine that restarted is another one with an empty cache.
"""

from collections import OrderedDict
from dataclasses import (
    dataclass,
    field,
)
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.relay.request import PromptPart

# Reading speed of an engine until it was measured.
PROMPT_TOKENS_PER_S = 45_000.0
SPEED_LIMITS_TOKENS_PER_S = (4_000.0, 1_000_000.0)
# Part of an engine's memory that its cache is expected to keep.
CACHE_SHARE = 0.7
OBSERVATION_SHARE = 0.25
SLOWNESS_LIMITS = (0.6, 8.0)
# What was measured of an engine's slowness is doubted after this time without news.
SLOWNESS_MEMORY_S = 4.0
# A reading of fewer tokens says little of the speed.
LEAST_MEASURED_TOKENS = 2_500
# Time to a first event that does not grow with the prompt.
BASE_S = 0.03
# A placement without an end is dropped this long after its deadline.
LOST_NOTE_S = 1.0


@dataclass
class _Engine:
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    busy_until_s: float = 0.0
    reading: set[tuple] = field(default_factory=set)
    running: set[tuple] = field(default_factory=set)
    slowness: float = 1.0
    slowness_at_s: float = 0.0


class Placed(NamedTuple):
    """One placement that has not ended."""

    server_id: str
    placed_s: float
    expected_first_s: float
    was_idle: bool
    uncached_tokens: int
    drop_at_s: float


class EngineBook:
    """Placements and engines of one service."""

    def __init__(self, env: Environment):
        self.env = env
        self.tokens_per_s = PROMPT_TOKENS_PER_S
        self._engines: dict[str, _Engine] = {}
        self._placed: dict[tuple, Placed] = {}

    def _engine(self, server_id: str) -> _Engine:
        return self._engines.setdefault(server_id, _Engine())

    def uncached_tokens(self, server_id: str, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens to read: all from the first part that is not kept."""
        cached = self._engine(server_id).cached
        for index, part in enumerate(parts):
            if part.part_id not in cached:
                return sum(rest.tokens for rest in parts[index:])
        return 0

    def reading_s(self, server_id: str, parts: tuple[PromptPart, ...]) -> float:
        return self.uncached_tokens(server_id, parts) / self.tokens_per_s

    def backlog_s(self, server_id: str) -> float:
        now_s = self.env.clock.monotonic_s()
        return max(0.0, self._engine(server_id).busy_until_s - now_s)

    def running(self, server_id: str) -> int:
        return len(self._engine(server_id).running)

    def slowness(self, server_id: str) -> float:
        """Return first event times by expected ones, doubted with age."""
        engine = self._engine(server_id)
        age_s = self.env.clock.monotonic_s() - engine.slowness_at_s
        trust = 0.5 ** (age_s / SLOWNESS_MEMORY_S)
        return 1.0 + (engine.slowness - 1.0) * trust

    def place(
        self,
        key: tuple,
        server_id: str,
        parts: tuple[PromptPart, ...],
        cache_limit_tokens: int,
        deadline_s: float,
    ) -> None:
        """Record that a request was placed on an engine."""
        now_s = self.env.clock.monotonic_s()
        engine = self._engine(server_id)
        uncached = self.uncached_tokens(server_id, parts)
        reading_s = uncached / self.tokens_per_s
        was_idle = engine.busy_until_s <= now_s
        begin_s = max(now_s, engine.busy_until_s)
        engine.busy_until_s = begin_s + reading_s * self.slowness(server_id)
        engine.reading.add(key)
        engine.running.add(key)
        self._remember(engine, parts, int(cache_limit_tokens * CACHE_SHARE))
        self._placed[key] = Placed(
            server_id,
            now_s,
            engine.busy_until_s - now_s + BASE_S,
            was_idle,
            uncached,
            now_s + deadline_s + LOST_NOTE_S,
        )

    def _remember(self, engine: _Engine, parts, limit_tokens: int) -> None:
        for part in parts:
            if part.part_id in engine.cached:
                engine.cached.move_to_end(part.part_id)
            else:
                engine.cached[part.part_id] = part.tokens
                engine.cached_tokens += part.tokens
        while engine.cached_tokens > limit_tokens and len(engine.cached) > 1:
            _, tokens = engine.cached.popitem(last=False)
            engine.cached_tokens -= tokens

    def note_first_event(self, key: tuple) -> None:
        """A placed request got its first event: its prompt was read."""
        placed = self._placed.get(key)
        if placed is None:
            return
        now_s = self.env.clock.monotonic_s()
        engine = self._engine(placed.server_id)
        if key not in engine.reading:
            return
        engine.reading.discard(key)
        if not engine.reading:
            engine.busy_until_s = min(engine.busy_until_s, now_s)
        self._measure(engine, placed, now_s - placed.placed_s)

    def _measure(self, engine: _Engine, placed: Placed, took_s: float) -> None:
        low, high = SLOWNESS_LIMITS
        observed = min(high, max(low, took_s / placed.expected_first_s))
        age_s = self.env.clock.monotonic_s() - engine.slowness_at_s
        trust = 0.5 ** (age_s / SLOWNESS_MEMORY_S)
        known = 1.0 + (engine.slowness - 1.0) * trust
        engine.slowness = known + OBSERVATION_SHARE * (observed * known - known)
        engine.slowness = min(high, max(low, engine.slowness))
        engine.slowness_at_s = self.env.clock.monotonic_s()
        if placed.was_idle and placed.uncached_tokens >= LEAST_MEASURED_TOKENS:
            speed = placed.uncached_tokens / max(0.001, took_s - BASE_S)
            least, most = SPEED_LIMITS_TOKENS_PER_S
            speed = min(most, max(least, speed))
            self.tokens_per_s += 0.1 * (speed - self.tokens_per_s)

    def note_end(self, key: tuple) -> None:
        """A placed request has ended, however."""
        placed = self._placed.pop(key, None)
        if placed is None:
            return
        engine = self._engine(placed.server_id)
        engine.running.discard(key)
        if key in engine.reading:
            engine.reading.discard(key)
            unread_s = placed.uncached_tokens / self.tokens_per_s
            engine.busy_until_s -= unread_s
            if not engine.reading:
                engine.busy_until_s = min(
                    engine.busy_until_s, self.env.clock.monotonic_s()
                )

    def forget(self, server_ids: set[str]) -> None:
        """Drop engines that are not in `server_ids`, and placements without news."""
        now_s = self.env.clock.monotonic_s()
        for server_id in list(self._engines):
            if server_id not in server_ids:
                del self._engines[server_id]
        for key, placed in list(self._placed.items()):
            if placed.drop_at_s < now_s or placed.server_id not in server_ids:
                self.note_end(key)
