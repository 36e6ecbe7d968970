"""Latency averages of a replica, and signs that its server has turned cold."""

from egretshed.backends.interface import BackendResult

AVERAGE_WEIGHT = 0.1
MIN_CALLS = 5
# The time to first token is late if it exceeds this multiple of the recent peak. Peaks
# are kept by prompt length: with a single one, the first long prompts after short ones
# made a warm server seem cold. Reloading weights takes far longer than this multiple.
LATE_FACTOR = 3.0
# Shorter delays may be caused by scheduling on this node.
LATE_MIN_S = 0.05
PEAK_DECAY = 0.98
FULL_MATCH = 1.0
# A run of cache misses is a sign of a cold server if its probability is below this.
# Taking each single miss as a sign gave 74 false signs in 40 s at half load.
MAX_CHANCE_PROBABILITY = 1e-4
INITIAL_MISS_RATE = 0.1
MIN_MISS_RATE = 0.02
MISS_RATE_WEIGHT = 0.05


class PeakLatency:
    """Decaying peak of the time to first token, for one class of prompt lengths."""

    def __init__(self) -> None:
        self.calls = 0
        self.peak_s = 0.0

    def observe(self, first_token_s: float) -> None:
        self.calls += 1
        self.peak_s = max(self.peak_s * PEAK_DECAY, first_token_s)


class ReplicaLatency:
    """Moving averages and peaks of the latency of one replica, in seconds."""

    def __init__(self) -> None:
        self.calls = 0
        self.first_token_s = 0.0
        self.total_s = 0.0
        self._peaks: dict[int, PeakLatency] = {}

    def observe(self, result: BackendResult) -> None:
        self.calls += 1
        weight = max(AVERAGE_WEIGHT, 1 / self.calls)
        self.first_token_s += (result.first_token_s - self.first_token_s) * weight
        self.total_s += (result.total_s - self.total_s) * weight
        self._peak(result).observe(result.first_token_s)

    def observe_slow(self, taken_s: float) -> None:
        """Raise the first token average to the `taken_s` of an abandoned slow call."""
        self.first_token_s = max(self.first_token_s, taken_s)

    def raise_peak(self, result: BackendResult) -> None:
        """Double the peak, so that a permanently slow server stops seeming cold."""
        self._peak(result).peak_s *= 2

    def is_late(self, result: BackendResult) -> bool:
        peak = self._peak(result)
        if peak.calls < MIN_CALLS or result.first_token_s < LATE_MIN_S:
            return False
        return result.first_token_s > LATE_FACTOR * peak.peak_s

    def _peak(self, result: BackendResult) -> PeakLatency:
        """Return the peak for prompts whose length has the same number of bits."""
        return self._peaks.setdefault(result.prompt_tokens.bit_length(), PeakLatency())


class PrefixMisses:
    """Distinguishes an emptied prefix cache from the eviction of single prefixes.

    Hints lag behind evictions, so a busy engine often misses a prefix that it was
    expected to hold. An engine that turned cold misses all of them: its sign is a run
    of misses whose probability at the usual rate is below `MAX_CHANCE_PROBABILITY`.
    """

    def __init__(self) -> None:
        self.usual_miss_rate = INITIAL_MISS_RATE
        self.consecutive_misses = 0

    def suggests_empty_cache(self, result: BackendResult, prefix_match: float) -> bool:
        """Record a result; return whether the cache of the engine seems empty.

        Only results with a prompt whose whole prefix was expected to be cached count.
        After a partial match no cached token is expected: the prefix keys of two
        sessions have a long common part, but their prompts do not.
        """
        if prefix_match < FULL_MATCH or not result.prompt_tokens:
            return False
        if result.cached_tokens:
            self._update_miss_rate()
            return False
        self.consecutive_misses += 1
        if self.usual_miss_rate**self.consecutive_misses >= MAX_CHANCE_PROBABILITY:
            return False
        self.consecutive_misses = 0
        return True

    def _update_miss_rate(self) -> None:
        """Add the misses of the run, and the hit that ended it, to the miss rate."""
        for lost in (1.0,) * self.consecutive_misses + (0.0,):
            self.usual_miss_rate += (lost - self.usual_miss_rate) * MISS_RATE_WEIGHT
        self.usual_miss_rate = max(MIN_MISS_RATE, self.usual_miss_rate)
        self.consecutive_misses = 0
