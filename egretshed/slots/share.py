"""How much of a limit an owner may lend, given whom it reaches and since when."""

from collections import deque
from typing import (
    NamedTuple,
    Protocol,
)


class Share(Protocol):
    """`membership.lending_share`: counts of entry nodes and the rounding side."""

    reachable: int
    listed: int
    rounds_up: bool


def scaled(limit: int, share: Share | None) -> int:
    """Return `limit * reachable / listed` in slots, rounded as the share says.

    Amounts lent in disjoint partitions sum to at most `limit`, since at most one of
    them rounds up.
    """
    if share is None or share.listed <= 0:
        return 0
    reachable = min(share.reachable, share.listed)
    whole, rest = divmod(limit * reachable, share.listed)
    return whole + (1 if rest and share.rounds_up else 0)


class _Period(NamedTuple):
    since_s: float
    share: Share | None


class ShareWindow:
    """Shares of the recent past; None stands for not lending.

    A lower share applies at once, a higher one only after the wait, when every node
    that lent by another view has stopped. Calls lent by such a node may outlast its
    loans. After a take-over they are counted by load reports; a rise from a lower
    share waits for them instead, as its own calls make the reports ambiguous.
    """

    def __init__(self, now_s: float, wait_s: float):
        self.wait_s = wait_s
        self.resumes_s = now_s + wait_s
        self._periods = deque([_Period(now_s, None)])

    def record(self, now_s: float, share: Share | None) -> None:
        last = self._periods[-1]
        if last.share is None:
            self.resumes_s = now_s + self.wait_s
        if last.share != share:
            self._periods.append(_Period(now_s, share))

    def interrupt(self, now_s: float) -> None:
        """Record that lending stopped at `now_s`, however short the stop."""
        self.record(now_s, None)
        self.resumes_s = now_s + self.wait_s

    @property
    def share(self) -> Share | None:
        return self._periods[-1].share

    def is_steady(self, limit: int, now_s: float, max_call_s: float) -> bool:
        """Return whether the whole present share of `limit` may be lent now."""
        whole = scaled(limit, self.share)
        return whole > 0 and self.lendable(limit, now_s, max_call_s) == whole

    def continue_from(self, share: Share, now_s: float) -> None:
        """Lend at once, as far as the earlier owner's `share` allows as well."""
        self.resumes_s = now_s
        self._periods = deque([_Period(now_s, share), _Period(now_s, self.share)])

    def lends_after_s(self, limit: int, now_s: float, max_call_s: float) -> float:
        """Return for how long nothing can be lent at the least.

        A share that rounds down to nothing rises only after the wait.
        """
        if now_s < self.resumes_s:
            return self.resumes_s - now_s
        return 0.0 if self.lendable(limit, now_s, max_call_s) else self.wait_s

    def lendable(self, limit: int, now_s: float, max_call_s: float) -> int:
        """Return the slots that may be lent now."""
        if now_s < self.resumes_s:
            return 0
        amounts = [scaled(limit, self._periods[-1].share)]
        kept = [self._periods[-1]]
        periods = list(self._periods)
        for period, following in zip(periods, periods[1:]):
            if period.share is None:
                continue
            if following.since_s + self.wait_s + max_call_s > now_s:
                amounts.append(scaled(limit, period.share))
                kept.insert(-1, period)
        self._periods = deque(kept)
        return min(amounts)
