"""Limits on requests of callers, with those that were replaced shortly before."""

from collections.abc import Callable

from egretshed.clock import Clock
from egretshed.serving.schema import CallerLimits

# A changed configuration reaches all nodes and callers within about this time. Callers
# that do not know it yet still send by the one before.
KNOWN_AFTER_S = 2.0


class AllowedLimits:
    """Highest limits by which callers may still send.

    A raised limit applies at once, a lowered one after `KNOWN_AFTER_S`. `in_force`
    returns the limits of the active configuration; `update` is called as it changes.
    """

    def __init__(self, clock: Clock, in_force: Callable[[], CallerLimits]):
        self._clock = clock
        self._in_force = in_force
        self._current = in_force()
        self._replaced: list[tuple[float, CallerLimits]] = []

    def update(self) -> None:
        """Take over the limits in force, and forget those that callers do not know."""
        now_s = self._clock.monotonic_s()
        self._replaced = [
            (replaced_s, limits)
            for replaced_s, limits in self._replaced
            if now_s - replaced_s < KNOWN_AFTER_S
        ]
        limits = self._in_force()
        if limits != self._current:
            self._replaced.append((now_s, self._current))
            self._current = limits

    def highest(self) -> CallerLimits:
        """Return the highest value of each limit that callers may count on."""
        if not self._replaced:
            return self._current
        known = (self._current, *(limits for _, limits in self._replaced))
        return CallerLimits(*map(max, zip(*known, strict=True)))
