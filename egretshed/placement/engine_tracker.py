"""Estimates of each engine's prefix cache, prefill backlog and speed.

All estimates are inferred from the placements made on this node and from the times of
their first events. A restarted engine is listed as a new one with an empty cache. An
engine that lost its memory under the same id is noticed by answers that come as late as
if nothing had been cached.
"""

import math
from dataclasses import (
    dataclass,
    field,
)
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.placement.cached_parts import (
    AskRates,
    CachedParts,
)
from egretshed.placement.waiting_cost import (
    FIRST_EVENT_BASE_S,
    spread_gain_s,
)
from egretshed.relay.request import PromptPart
from egretshed.serving.schema import EngineLimits

# Prefill speed until the first measurement.
PREFILL_TOKENS_PER_S = 45_000.0
SPEED_LIMITS_TOKENS_PER_S = (4_000.0, 1_000_000.0)
# Share of an engine's token capacity that its prefix cache is expected to keep.
CACHE_SHARE = 0.7
SLOWNESS_EWMA_WEIGHT = 0.25
SLOWNESS_LIMITS = (0.6, 8.0)
# Half-life with which an engine's slowness decays to 1 without new observations.
SLOWNESS_HALF_LIFE_S = 4.0
# Prefills of fewer tokens are too short to measure the speed.
MIN_MEASURED_TOKENS = 2_500
# Cached tokens from which on a late answer tells that they were not cached after all.
MIN_DOUBTED_TOKENS = 5_000
# Share of the time without a cache from which on an answer counts as such.
UNCACHED_SHARE = 0.8
# Time after a doubt in which answers that come late for parts read since then tell that
# the engine is slow.
DOUBT_PERIOD_S = 30.0
# Such answers in a row after which an engine is believed to have lost its memory.
DOUBTS_UNTIL_FORGOTTEN = 2
# A placement whose end was not reported is dropped this long after its deadline.
EXPIRY_GRACE_S = 1.0


@dataclass
class _Engine:
    cached: CachedParts = field(default_factory=CachedParts)
    running_tokens: int = 0
    doubts: int = 0
    doubted_at_s: float = -math.inf  # when the prompt of the first doubt was placed
    busy_until_s: float = 0.0
    prefilling: set[tuple] = field(default_factory=set)
    running: set[tuple] = field(default_factory=set)
    slowness: float = 1.0
    slowness_at_s: float = 0.0


class ActivePlacement(NamedTuple):
    """A placement that has not ended, with the estimates at the time it was made."""

    server_id: str
    placed_at_s: float
    expected_first_event_s: float
    was_idle: bool
    was_alone: bool  # no other prompt was waiting for its first event
    uncached_tokens: int
    drop_at_s: float
    backlog_share_s: float  # by which the placement has extended the backlog
    parts: tuple[PromptPart, ...]
    added: tuple[str, ...]  # parts that the engine was not believed to have
    believed_since_s: float  # when the oldest belief in a part was confirmed

    @property
    def tokens(self) -> int:
        return sum(part.tokens for part in self.parts)


class EngineTracker:
    """Tracks the engines of one service through the placements on them."""

    def __init__(self, env: Environment):
        self.env = env
        self.tokens_per_s = PREFILL_TOKENS_PER_S
        self.rates = AskRates()
        self.arrivals = AskRates()
        self.losses = 0
        self._engines: dict[str, _Engine] = {}
        self._placed: dict[tuple, ActivePlacement] = {}

    def _engine(self, server_id: str) -> _Engine:
        engine = self._engines.get(server_id)
        if engine is None:
            engine = self._engines[server_id] = _Engine()
        return engine

    def uncached_tokens(self, server_id: str, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens to prefill: all from the first part that is not cached."""
        cached = self._engine(server_id).cached
        for index, part in enumerate(parts):
            if part.part_id not in cached:
                return sum(rest.tokens for rest in parts[index:])
        return 0

    def prefill_s(self, server_id: str, parts: tuple[PromptPart, ...]) -> float:
        """Return the expected prefill time, with beliefs weighed by their age."""
        now_s = self.env.clock.monotonic_s()
        cached = self._engine(server_id).cached
        return cached.expected_uncached(parts, now_s) / self.tokens_per_s

    def dropped_s(self, server_id: str, parts, cache_limit_tokens: int) -> float:
        """Return the prefill time that others lose by what the prompt pushes out.

        Each dropped part counts by how likely it is asked for soon, and the less the
        more engines have it.
        """
        limit_tokens = int(cache_limit_tokens * CACHE_SHARE)
        dropped = self._engine(server_id).cached.dropped_by(parts, limit_tokens)
        if not dropped:
            return 0.0
        now_s, lost_tokens = self.env.clock.monotonic_s(), 0.0
        for part_id, tokens in dropped:
            asks = min(1.0, self.rates.asks_soon(part_id, now_s))
            if asks > 0:
                lost_tokens += tokens * asks / max(1, len(self._holders(part_id)))
        return lost_tokens / self.tokens_per_s

    def spread_s(self, shared: tuple[PromptPart, ...], limits: EngineLimits) -> float:
        """Return what a copy of the shared parts on one more engine saves."""
        if not shared:
            return 0.0
        part_id = shared[-1].part_id
        fullness = [
            max(
                len(engine.running) / limits.slots,
                engine.running_tokens / limits.cache_tokens,
            )
            for engine in self._holders(part_id)
        ]
        asks = self.rates.asks_soon(part_id, self.env.clock.monotonic_s())
        shared_s = sum(part.tokens for part in shared) / self.tokens_per_s
        return spread_gain_s(shared_s, asks, fullness)

    def _holders(self, part_id: str) -> list[_Engine]:
        return [e for e in self._engines.values() if part_id in e.cached]

    def has_part(self, server_id: str, part_id: str) -> bool:
        return part_id in self._engine(server_id).cached

    def arrivals_per_s(self, engines: int) -> float:
        """Return the placements per second on an average one of `engines` engines."""
        now_s = self.env.clock.monotonic_s()
        return self.arrivals.per_s("placements", now_s) / max(1, engines)

    def utilisation(self, engines: int) -> float:
        """Return the share of the time that one of `engines` engines prefills."""
        now_s = self.env.clock.monotonic_s()
        return self.arrivals.per_s("prefill_s", now_s) / max(1, engines)

    def queued(self, server_id: str) -> int:
        return len(self._engine(server_id).prefilling)

    def backlog_s(self, server_id: str) -> float:
        now_s = self.env.clock.monotonic_s()
        return max(0.0, self._engine(server_id).busy_until_s - now_s)

    def running(self, server_id: str) -> int:
        return len(self._engine(server_id).running)

    def slowness(self, server_id: str) -> float:
        """Return measured over expected first event time, decayed to 1 with age."""
        engine = self._engine(server_id)
        if engine.slowness == 1.0:
            return 1.0
        age_s = self.env.clock.monotonic_s() - engine.slowness_at_s
        trust = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (engine.slowness - 1.0) * trust

    def place(
        self,
        key: tuple,
        server_id: str,
        parts: tuple[PromptPart, ...],
        cache_limit_tokens: int,
        deadline_s: float,
    ) -> None:
        """Record a placement in the engine's backlog, cache and running requests."""
        now_s = self.env.clock.monotonic_s()
        engine = self._engine(server_id)
        uncached = self.uncached_tokens(server_id, parts)
        prefill_s = uncached / self.tokens_per_s
        was_idle = engine.busy_until_s <= now_s
        begins_at_s = max(now_s, engine.busy_until_s)
        backlog_share_s = prefill_s * self.slowness(server_id)
        engine.busy_until_s = begins_at_s + backlog_share_s
        was_alone = not engine.prefilling
        engine.prefilling.add(key)
        engine.running.add(key)
        engine.running_tokens += sum(part.tokens for part in parts)
        believed_since_s = engine.cached.oldest_confirmed_s(parts, now_s)
        added = engine.cached.add(parts, now_s, int(cache_limit_tokens * CACHE_SHARE))
        for part in parts[:-1]:
            self.rates.record(part.part_id, now_s)
        self.arrivals.record("placements", now_s)
        self.arrivals.record("prefill_s", now_s, backlog_share_s)
        self._placed[key] = ActivePlacement(
            server_id,
            now_s,
            engine.busy_until_s - now_s + FIRST_EVENT_BASE_S,
            was_idle,
            was_alone,
            uncached,
            now_s + deadline_s + EXPIRY_GRACE_S,
            backlog_share_s,
            parts,
            tuple(added),
            believed_since_s,
        )

    def note_first_event(self, key: tuple) -> None:
        """Record that a placed request got its first event: its prefill is done."""
        placed = self._placed.get(key)
        if placed is None:
            return
        now_s = self.env.clock.monotonic_s()
        engine = self._engine(placed.server_id)
        if key not in engine.prefilling:
            return
        engine.prefilling.discard(key)
        if not engine.prefilling:
            engine.busy_until_s = min(engine.busy_until_s, now_s)
        if not self._is_doubtful(engine, placed, now_s):
            self._update_speed(engine, placed, now_s - placed.placed_at_s)
        engine.cached.confirm(placed.parts, now_s)

    def _is_doubtful(
        self, engine: _Engine, placed: ActivePlacement, now_s: float
    ) -> bool:
        """Return whether an answer came as late as if nothing had been cached.

        Behind others a prompt may be late for their sake, so that only one that was
        alone raises the first doubt. If it is late for parts that were read since the
        last doubt, the engine is slow.
        """
        cached_tokens = placed.tokens - placed.uncached_tokens
        is_recent = now_s - engine.doubted_at_s < DOUBT_PERIOD_S
        if not is_recent:
            engine.doubts = 0
        if (
            not (placed.was_alone or engine.doubts)
            or cached_tokens < MIN_DOUBTED_TOKENS
            or (is_recent and placed.believed_since_s >= engine.doubted_at_s)
        ):
            return False
        uncached_s = placed.expected_first_event_s
        uncached_s += (
            cached_tokens / self.tokens_per_s * self.slowness(placed.server_id)
        )
        if now_s - placed.placed_at_s < UNCACHED_SHARE * uncached_s:
            if placed.was_alone:
                engine.doubts = 0
            return False
        self._note_doubt(engine, placed)
        return True

    def _note_doubt(self, engine: _Engine, placed: ActivePlacement) -> None:
        if engine.doubts == 0:
            engine.doubted_at_s = placed.placed_at_s
        engine.doubts += 1
        if engine.doubts >= DOUBTS_UNTIL_FORGOTTEN:
            forgotten = engine.cached.forget_older(engine.doubted_at_s)
            engine.doubts = 0
            self.losses += 1
            self.env.metrics.counter(
                "engine_memory_losses_total",
                "Engines believed to have lost the parts of prompts they had cached",
            ).inc()
            log_event(
                self.env.logger,
                "engine_memory_lost",
                server_id=placed.server_id,
                forgotten_parts=forgotten,
                kept_parts=len(engine.cached.parts),
            )

    def _update_speed(
        self, engine: _Engine, placed: ActivePlacement, took_s: float
    ) -> None:
        low, high = SLOWNESS_LIMITS
        observed = min(high, max(low, took_s / placed.expected_first_event_s))
        age_s = self.env.clock.monotonic_s() - engine.slowness_at_s
        trust = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        known = 1.0 + (engine.slowness - 1.0) * trust
        engine.slowness = known + SLOWNESS_EWMA_WEIGHT * (observed * known - known)
        engine.slowness = min(high, max(low, engine.slowness))
        engine.slowness_at_s = self.env.clock.monotonic_s()
        if placed.was_idle and placed.uncached_tokens >= MIN_MEASURED_TOKENS:
            speed = placed.uncached_tokens / max(0.001, took_s - FIRST_EVENT_BASE_S)
            least, most = SPEED_LIMITS_TOKENS_PER_S
            speed = min(most, max(least, speed))
            self.tokens_per_s += 0.1 * (speed - self.tokens_per_s)

    def parts_of(self, key: tuple) -> tuple[PromptPart, ...]:
        """Return the parts of a placed prompt, none if its placement has ended."""
        placed = self._placed.get(key)
        return placed.parts if placed is not None else ()

    def note_end(self, key: tuple) -> None:
        """Record that a placed request has ended, whatever its outcome."""
        placed = self._placed.pop(key, None)
        if placed is None:
            return
        engine = self._engines.get(placed.server_id)
        if engine is None:
            return
        engine.running.discard(key)
        engine.running_tokens -= placed.tokens
        if key in engine.prefilling:
            engine.prefilling.discard(key)
            self._forget_unread(engine, placed)
            engine.busy_until_s -= placed.backlog_share_s
            if not engine.prefilling:
                engine.busy_until_s = min(
                    engine.busy_until_s, self.env.clock.monotonic_s()
                )

    def _forget_unread(self, engine: _Engine, placed: ActivePlacement) -> None:
        """Forget parts that were not read, unless another prompt has them read."""
        others = (self._placed.get(key) for key in engine.prefilling)
        read = {p.part_id for other in others if other for p in other.parts}
        engine.cached.forget(part for part in placed.added if part not in read)

    def prune(self, server_ids: set[str]) -> None:
        """Drop engines not in `server_ids` with their placements, and expired ones."""
        now_s = self.env.clock.monotonic_s()
        for server_id in list(self._engines):
            if server_id not in server_ids:
                del self._engines[server_id]
        for key, placed in list(self._placed.items()):
            if placed.drop_at_s < now_s or placed.server_id not in server_ids:
                self.note_end(key)
