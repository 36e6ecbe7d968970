"""Usual times of a replica, and the signs that it has turned cold."""

from egretshed.backends.interface import BackendResult

WEIGHT = 0.1
MIN_CALLS = 5
# Long prompts take many times the time of short ones, so a first token is compared with
# the latest of recent calls. A server that loads weights again goes far beyond that.
LATE_FACTOR = 3.0
# Below this, a late first token may be an effect of scheduling on this node.
LATE_MIN_S = 0.05
HIGH_DECAY = 0.98
EXPECTED_MATCH = 0.9


class ReplicaTimes:
    """Moving averages of one replica's calls and the recent highest, in seconds."""

    def __init__(self) -> None:
        self.calls = 0
        self.first_token_s = 0.0
        self.first_token_high_s = 0.0
        self.total_s = 0.0

    def observe(self, result: BackendResult) -> None:
        self.calls += 1
        weight = max(WEIGHT, 1 / self.calls)
        self.first_token_s += (result.first_token_s - self.first_token_s) * weight
        self.total_s += (result.total_s - self.total_s) * weight
        kept_s = self.first_token_high_s * HIGH_DECAY
        self.first_token_high_s = max(kept_s, result.first_token_s)

    def observe_slow(self, taken_s: float) -> None:
        """Rank a server by a call that was given up as too slow after `taken_s`."""
        self.first_token_s = max(self.first_token_s, taken_s)

    def observe_late(self) -> None:
        """Raise the high mark, so that a server slow for good is not cold for good."""
        self.first_token_high_s *= 2

    def is_late(self, first_token_s: float) -> bool:
        if self.calls < MIN_CALLS or first_token_s < LATE_MIN_S:
            return False
        return first_token_s > LATE_FACTOR * self.first_token_high_s


def lost_prefix(result: BackendResult, prefix_match: float) -> bool:
    """Return whether nothing was cached although the whole prefix was expected.

    Only a result with a prompt counts: other servers report no cached tokens at all.
    """
    expected = prefix_match >= EXPECTED_MATCH and result.prompt_tokens > 0
    return expected and result.cached_tokens == 0
