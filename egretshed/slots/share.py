"""Share of a replica's limit that an owner may lend.

Nodes in different partitions may each see themselves as the owner of a replica. Each
lends only the share of the limit that corresponds to the nodes it reaches.
"""

from collections import deque
from typing import (
    NamedTuple,
    Protocol,
)


class Share(Protocol):
    """Result of `membership.lending_share`.

    `reachable` of the `listed` nodes are reachable; `rounds_up` is true in at most one
    of several disjoint partitions.
    """

    reachable: int
    listed: int
    rounds_up: bool


def scale_to_share(limit: int, share: Share | None) -> int:
    """Return `limit * reachable / listed` in slots, rounded up if `share.rounds_up`.

    The slots lent in disjoint partitions sum to at most `limit`, since at most one of
    the partitions rounds up.
    """
    if share is None or share.listed <= 0:
        return 0
    reachable = min(share.reachable, share.listed)
    slots, remainder = divmod(limit * reachable, share.listed)
    return slots + (1 if remainder and share.rounds_up else 0)


class _Period(NamedTuple):
    since_s: float
    share: Share | None


class ShareWindow:
    """Recent shares of an owner; None stands for not lending.

    A lower share applies at once. A higher share applies only after `wait_s`, when
    every node that lent under a different membership view has stopped lending. Calls of
    such a node may outlast its loans. After a take-over, load reports show them. After
    a rise from a lower share the reports also contain calls of this owner's loans, so
    the rise waits for the longest call as well.
    """

    def __init__(self, now_s: float, wait_s: float):
        self.wait_s = wait_s
        self.lending_resumes_s = now_s + wait_s
        self._periods = deque([_Period(now_s, None)])

    def record(self, now_s: float, share: Share | None) -> None:
        latest = self._periods[-1]
        if latest.share is None:
            self.lending_resumes_s = now_s + self.wait_s
        if latest.share != share:
            self._periods.append(_Period(now_s, share))

    def interrupt(self, now_s: float) -> None:
        """Record that lending was interrupted; it resumes after the whole wait."""
        self.record(now_s, None)
        self.lending_resumes_s = now_s + self.wait_s

    @property
    def share(self) -> Share | None:
        return self._periods[-1].share

    def is_steady(self, limit: int, now_s: float, max_call_s: float) -> bool:
        """Return whether the present share of `limit` may be lent in full."""
        slots = scale_to_share(limit, self.share)
        return slots > 0 and self.lendable(limit, now_s, max_call_s) == slots

    def continue_from(self, share: Share, now_s: float) -> None:
        """Lend at once, up to the smaller of this share and the earlier owner's."""
        self.lending_resumes_s = now_s
        self._periods = deque([_Period(now_s, share), _Period(now_s, self.share)])

    def lends_after_s(self, limit: int, now_s: float, max_call_s: float) -> float:
        """Return the minimum time until slots can be lent, 0 if they can be now.

        A share that rounds down to 0 slots rises only after the wait.
        """
        if now_s < self.lending_resumes_s:
            return self.lending_resumes_s - now_s
        return 0.0 if self.lendable(limit, now_s, max_call_s) else self.wait_s

    def lendable(self, limit: int, now_s: float, max_call_s: float) -> int:
        """Return the slots that may be lent now: the least of all shares that apply."""
        if now_s < self.lending_resumes_s:
            return 0
        slot_limits = [scale_to_share(limit, self._periods[-1].share)]
        kept_periods = [self._periods[-1]]
        periods = list(self._periods)
        for period, next_period in zip(periods, periods[1:]):
            if period.share is None:
                continue
            if next_period.since_s + self.wait_s + max_call_s > now_s:
                slot_limits.append(scale_to_share(limit, period.share))
                kept_periods.insert(-1, period)
        self._periods = deque(kept_periods)
        return min(slot_limits)
