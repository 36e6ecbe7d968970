"""Quantiles of measured call times per pool, and the timing decisions based on them."""

import math
from typing import NamedTuple

from egretshed.environment import Environment

MIN_DURATION_S = 0.001
BUCKETS_PER_DOUBLING = 4  # A quantile is at most 19% too high.
BUCKETS = 80  # The last bucket ends at about 1000 s.
HALF_LIFE_S = 20.0
# Assumed duration of calls to a pool without measurements. It has the weight of two
# samples, so that a few measurements outweigh it.
PRIOR_DURATION_S = 0.25
PRIOR_WEIGHT = 2.0
DEADLINE_SPLIT_QUANTILE = 0.9
HEDGE_QUANTILE = 0.95


class DecayingHistogram:
    """Histogram with exponential buckets, in which samples decay with a half-life.

    Weights decay only when a sample is added, so the quantiles of an idle pool stay as
    they are.
    """

    def __init__(self, prior_s: float, now_s: float):
        self._weights = [0.0] * BUCKETS
        self._weights[_bucket_index(prior_s)] = PRIOR_WEIGHT
        self._total = PRIOR_WEIGHT
        self._decayed_at_s = now_s

    def add(self, value_s: float, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self._decayed_at_s) / HALF_LIFE_S)
        # Decaying on every sample would cost 80 multiplications per call.
        if factor < 0.95:
            self._weights = [weight * factor for weight in self._weights]
            self._total *= factor
            self._decayed_at_s = now_s
        self._weights[_bucket_index(value_s)] += 1.0
        self._total += 1.0

    def quantile_s(self, share: float) -> float:
        remaining = share * self._total
        for index, weight in enumerate(self._weights):
            remaining -= weight
            if remaining <= 0 and weight > 0:
                return _bucket_limit_s(index)
        return _bucket_limit_s(BUCKETS - 1)


class PoolTimes(NamedTuple):
    total: DecayingHistogram
    first_token: DecayingHistogram


class StageTimes:
    """Durations of calls by pool, as observed by this node."""

    def __init__(self, env: Environment):
        self._clock = env.clock
        self._pools: dict[str, PoolTimes] = {}

    def observe(self, pool: str, total_s: float, first_token_s: float) -> None:
        """Add a completed call; both times are in seconds from its start."""
        now_s = self._clock.monotonic_s()
        times = self._pools.get(pool)
        if times is None:
            times = PoolTimes(
                DecayingHistogram(PRIOR_DURATION_S, now_s),
                DecayingHistogram(PRIOR_DURATION_S, now_s),
            )
            self._pools[pool] = times
        times.total.add(total_s, now_s)
        times.first_token.add(first_token_s, now_s)

    def estimate_s(self, pool: str, share: float = 0.5) -> float:
        """Return the quantile `share` of the total time of calls.

        It is `PRIOR_DURATION_S` before the first call.
        """
        times = self._pools.get(pool)
        return PRIOR_DURATION_S if times is None else times.total.quantile_s(share)

    def estimate_first_token_s(self, pool: str, share: float = 0.5) -> float:
        times = self._pools.get(pool)
        return (
            PRIOR_DURATION_S if times is None else times.first_token.quantile_s(share)
        )


def split_deadline(
    stage_times: StageTimes, pools: list[str], remaining_s: float
) -> list[float]:
    """Return the seconds that each stage may take; their sum is `remaining_s`.

    The time is split in proportion to a high quantile of each pool, so pools with
    varying call times get more slack. After each stage, split the remaining time again.
    """
    estimates_s = [
        stage_times.estimate_s(pool, DEADLINE_SPLIT_QUANTILE) for pool in pools
    ]
    total_s = sum(estimates_s)
    return [max(0.0, remaining_s) * estimate_s / total_s for estimate_s in estimates_s]


def hedge_delay_s(
    stage_times: StageTimes,
    pool: str,
    remaining_s: float,
    repeatable: bool,
    enabled: bool,
) -> float | None:
    """Return the delay before a hedged second attempt, or None for no hedging.

    There is no hedging if a call of median duration could not complete in the time left
    after the delay.
    """
    if not enabled or not repeatable:
        return None
    delay_s = stage_times.estimate_s(pool, HEDGE_QUANTILE)
    median_s = stage_times.estimate_s(pool)
    return delay_s if delay_s + median_s <= remaining_s else None


def _bucket_index(value_s: float) -> int:
    if value_s <= MIN_DURATION_S:
        return 0
    index = math.ceil(math.log2(value_s / MIN_DURATION_S) * BUCKETS_PER_DOUBLING)
    return min(index, BUCKETS - 1)


def _bucket_limit_s(index: int) -> float:
    return MIN_DURATION_S * 2 ** (index / BUCKETS_PER_DOUBLING)
