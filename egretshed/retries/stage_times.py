"""Measured times of each pool as decaying quantiles, and what follows from them."""

import math
from typing import NamedTuple

from egretshed.environment import Environment

SMALLEST_S = 0.001
BUCKETS_PER_DOUBLING = 4  # quantiles are exact to 19%
BUCKETS = 80  # up to about 1000 s
HALF_LIFE_S = 20.0
# The assumed time of a pool nobody has measured; it counts as two samples, so a few
# real ones replace it.
PRIOR_S = 0.25
PRIOR_WEIGHT = 2.0
DIVISION_QUANTILE = 0.9
HEDGE_QUANTILE = 0.95


class DecayingHistogram:
    """Exponential buckets whose older samples lose half their weight per half-life.

    The weights decay only when a sample arrives, so an idle pool keeps its last shape.
    """

    def __init__(self, prior_s: float, now_s: float):
        self._weights = [0.0] * BUCKETS
        self._weights[_bucket(prior_s)] = PRIOR_WEIGHT
        self._total = PRIOR_WEIGHT
        self._decayed_s = now_s

    def add(self, value_s: float, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self._decayed_s) / HALF_LIFE_S)
        # Decaying at each sample would cost 80 multiplications a call.
        if factor < 0.95:
            self._weights = [weight * factor for weight in self._weights]
            self._total *= factor
            self._decayed_s = now_s
        self._weights[_bucket(value_s)] += 1.0
        self._total += 1.0

    def quantile_s(self, share: float) -> float:
        left = share * self._total
        for index, weight in enumerate(self._weights):
            left -= weight
            if left <= 0 and weight > 0:
                return _upper_s(index)
        return _upper_s(BUCKETS - 1)


class PoolTimes(NamedTuple):
    total: DecayingHistogram
    first_token: DecayingHistogram


class StageTimes:
    """Times of calls by pool, as this node observed them."""

    def __init__(self, env: Environment):
        self._clock = env.clock
        self._pools: dict[str, PoolTimes] = {}

    def observe(self, pool: str, total_s: float, first_token_s: float) -> None:
        """Add one completed call; times in seconds from the call's start."""
        now_s = self._clock.monotonic_s()
        times = self._pools.get(pool)
        if times is None:
            times = PoolTimes(
                DecayingHistogram(PRIOR_S, now_s), DecayingHistogram(PRIOR_S, now_s)
            )
            self._pools[pool] = times
        times.total.add(total_s, now_s)
        times.first_token.add(first_token_s, now_s)

    def estimate_s(self, pool: str, share: float = 0.5) -> float:
        """Return the quantile `share` of whole calls; `PRIOR_S` before any call."""
        times = self._pools.get(pool)
        return PRIOR_S if times is None else times.total.quantile_s(share)

    def estimate_first_token_s(self, pool: str, share: float = 0.5) -> float:
        times = self._pools.get(pool)
        return PRIOR_S if times is None else times.first_token.quantile_s(share)


def split_deadline(
    stage_times: StageTimes, pools: list[str], remaining_s: float
) -> list[float]:
    """Return the seconds each stage may take; they add up to `remaining_s`.

    Shares follow the slow quantile of each pool, so slack goes where calls vary most.
    Call it again after each stage with the time that is left.
    """
    estimates_s = [stage_times.estimate_s(pool, DIVISION_QUANTILE) for pool in pools]
    total_s = sum(estimates_s)
    return [max(0.0, remaining_s) * each_s / total_s for each_s in estimates_s]


def hedge_delay_s(
    stage_times: StageTimes,
    pool: str,
    remaining_s: float,
    repeatable: bool,
    enabled: bool,
) -> float | None:
    """Return when to start a second attempt, or None for no hedging.

    There is none when a usual call could not end in the time left after the delay.
    """
    if not enabled or not repeatable:
        return None
    delay_s = stage_times.estimate_s(pool, HEDGE_QUANTILE)
    usual_s = stage_times.estimate_s(pool)
    return delay_s if delay_s + usual_s <= remaining_s else None


def _bucket(value_s: float) -> int:
    if value_s <= SMALLEST_S:
        return 0
    index = math.ceil(math.log2(value_s / SMALLEST_S) * BUCKETS_PER_DOUBLING)
    return min(index, BUCKETS - 1)


def _upper_s(index: int) -> float:
    return SMALLEST_S * 2 ** (index / BUCKETS_PER_DOUBLING)
