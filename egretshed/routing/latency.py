"""Usual times of a replica, and the signs that it has turned cold."""

from egretshed.backends.interface import BackendResult

WEIGHT = 0.1
MIN_CALLS = 5
# A first token is compared with the latest of recent calls with prompts of about the
# same length, since long ones take many times the time of short ones: without that, the
# first long prompts after short ones made a warm server seem cold. A server that loads
# weights again goes far beyond that.
LATE_FACTOR = 3.0
# Below this, a late first token may be an effect of scheduling on this node.
LATE_MIN_S = 0.05
HIGH_DECAY = 0.98
WHOLE_PREFIX = 1.0
# Single losses taken as signs made 74 false ones in a run of 40 s at half load.
CHANCE = 1e-4
FIRST_LOSS_SHARE = 0.1
LEAST_LOSS_SHARE = 0.02
LOSS_WEIGHT = 0.05


class HighMark:
    """Recent highest first token time of prompts of about the same length."""

    def __init__(self) -> None:
        self.calls = 0
        self.high_s = 0.0

    def observe(self, first_token_s: float) -> None:
        self.calls += 1
        self.high_s = max(self.high_s * HIGH_DECAY, first_token_s)


class ReplicaTimes:
    """Moving averages of one replica's calls and the recent highest, in seconds."""

    def __init__(self) -> None:
        self.calls = 0
        self.first_token_s = 0.0
        self.total_s = 0.0
        self._marks: dict[int, HighMark] = {}

    def observe(self, result: BackendResult) -> None:
        self.calls += 1
        weight = max(WEIGHT, 1 / self.calls)
        self.first_token_s += (result.first_token_s - self.first_token_s) * weight
        self.total_s += (result.total_s - self.total_s) * weight
        self._mark(result).observe(result.first_token_s)

    def observe_slow(self, taken_s: float) -> None:
        """Rank a server by a call that was given up as too slow after `taken_s`."""
        self.first_token_s = max(self.first_token_s, taken_s)

    def observe_late(self, result: BackendResult) -> None:
        """Raise the high mark, so that a server slow for good is not cold for good."""
        self._mark(result).high_s *= 2

    def is_late(self, result: BackendResult) -> bool:
        mark = self._mark(result)
        if mark.calls < MIN_CALLS or result.first_token_s < LATE_MIN_S:
            return False
        return result.first_token_s > LATE_FACTOR * mark.high_s

    def _mark(self, result: BackendResult) -> HighMark:
        """Return the mark of prompts between two powers of 2 in length."""
        return self._marks.setdefault(result.prompt_tokens.bit_length(), HighMark())


class PrefixLosses:
    """Tells an emptied cache from single prefixes that its engine evicted.

    Hints lag behind evictions, so a busy engine often lacks a prefix that it was
    expected to hold. One that turned cold lacks every one: the sign is a run of losses
    that would come by chance less than once in `1 / CHANCE` calls.
    """

    def __init__(self) -> None:
        self.usual_share = FIRST_LOSS_SHARE
        self.in_a_row = 0

    def seems_empty(self, result: BackendResult, prefix_match: float) -> bool:
        """Count a result; only one with a prompt and the whole prefix expected counts.

        A part of the prefix is no reason to expect any: keys of two sessions have a
        long common part, but their prompts do not.
        """
        if prefix_match < WHOLE_PREFIX or not result.prompt_tokens:
            return False
        if result.cached_tokens:
            self._end_run()
            return False
        self.in_a_row += 1
        if self.usual_share**self.in_a_row >= CHANCE:
            return False
        self.in_a_row = 0
        return True

    def _end_run(self) -> None:
        """Count the losses of the run and the prefix that was there."""
        for lost in (1.0,) * self.in_a_row + (0.0,):
            self.usual_share += (lost - self.usual_share) * LOSS_WEIGHT
        self.usual_share = max(LEAST_LOSS_SHARE, self.usual_share)
        self.in_a_row = 0
