"""Beliefs about the prompt parts that engines have cached, and how often they're asked.

Load pattern: engines drop their least recently used parts as their memory fills up, and
all of them at once when they lose it; nobody reports either in time. A belief therefore
has an age, at which it is trusted less, and an answer that comes too late for a cached
part ends all older ones.
"""

from collections import OrderedDict
from typing import NamedTuple

# Age at which a belief is half as likely as when it was confirmed.
BELIEF_HALF_LIFE_S = 120.0
# Time within which a part that is asked for again counts as asked for soon.
LOOK_AHEAD_S = 20.0
# Time over which the asks for a part are averaged.
RATE_WINDOW_S = 20.0
MAX_RATED_PARTS = 20_000
# Dropped parts that are looked at for one prompt.
MAX_DROPPED_PARTS = 8


class CachedPart(NamedTuple):
    """A part that an engine is believed to have."""

    tokens: int
    confirmed_s: float


class CachedParts:
    """The parts that one engine is believed to have, least recently used first."""

    def __init__(self):
        self.parts: OrderedDict[str, CachedPart] = OrderedDict()
        self.tokens = 0

    def __contains__(self, part_id: str) -> bool:
        return part_id in self.parts

    def expected_uncached(self, parts, now_s: float) -> float:
        """Return the tokens to prefill, with each belief weighed by its age."""
        expected, trust = 0.0, 1.0
        for part in parts:
            known = self.parts.get(part.part_id) if trust else None
            if known is None:
                trust = 0.0
            else:
                trust *= 0.5 ** ((now_s - known.confirmed_s) / BELIEF_HALF_LIFE_S)
            expected += part.tokens * (1.0 - trust)
        return expected

    def oldest_confirmed_s(self, parts, now_s: float) -> float:
        known = (self.parts.get(part.part_id) for part in parts)
        return min((k.confirmed_s for k in known if k), default=now_s)

    def add(self, parts, now_s: float, limit_tokens: int) -> list[str]:
        """Record parts as read now, drop what no longer fits; return the new ones."""
        added = [part.part_id for part in parts if part.part_id not in self.parts]
        for part in parts:
            self.forget((part.part_id,))
            self.parts[part.part_id] = CachedPart(part.tokens, now_s)
            self.tokens += part.tokens
        while self.tokens > limit_tokens and len(self.parts) > 1:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped.tokens
        return added

    def dropped_by(self, parts, limit_tokens: int) -> list[tuple[str, int]]:
        """Return the parts that `parts` would push out, with the tokens they lose.

        A part of which only a share is lost counts by that share: the room that its
        rest leaves spares the next one.
        """
        if self.tokens + sum(part.tokens for part in parts) <= limit_tokens:
            return []
        own_ids = {part.part_id for part in parts}
        new = sum(p.tokens for p in parts if p.part_id not in self.parts)
        excess = self.tokens + new - limit_tokens
        dropped = []
        if new == 0 or excess <= 0:
            return dropped
        for part_id, known in self.parts.items():
            if excess <= 0 or len(dropped) >= MAX_DROPPED_PARTS:
                break
            if part_id not in own_ids:
                dropped.append((part_id, min(known.tokens, excess)))
                excess -= known.tokens
        return dropped

    def confirm(self, parts, now_s: float) -> None:
        for part in parts:
            if part.part_id in self.parts:
                self.parts[part.part_id] = CachedPart(part.tokens, now_s)

    def forget(self, part_ids) -> None:
        for part_id in part_ids:
            known = self.parts.pop(part_id, None)
            if known is not None:
                self.tokens -= known.tokens

    def forget_older(self, than_s: float) -> int:
        """Forget what was confirmed before `than_s`; return how many parts."""
        older = [i for i, known in self.parts.items() if known.confirmed_s < than_s]
        self.forget(older)
        return len(older)


class AskRates:
    """Averages how often the prompts of one service ask for each part."""

    def __init__(self):
        self._rates: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def record(self, part_id: str, now_s: float, amount: float = 1.0) -> None:
        rate_per_s = self.per_s(part_id, now_s) + amount / RATE_WINDOW_S
        self._rates[part_id] = (rate_per_s, now_s)
        self._rates.move_to_end(part_id)
        while len(self._rates) > MAX_RATED_PARTS:
            self._rates.popitem(last=False)

    def per_s(self, part_id: str, now_s: float) -> float:
        rate_per_s, at_s = self._rates.get(part_id, (0.0, now_s))
        return rate_per_s * max(0.0, 1.0 - (now_s - at_s) / RATE_WINDOW_S)

    def asks_soon(self, part_id: str, now_s: float) -> float:
        """Return how many prompts are expected to ask for the part soon."""
        return self.per_s(part_id, now_s) * LOOK_AHEAD_S
