"""Retry budgets, which limit retries to a share of the calls whatever the failures."""

from collections import OrderedDict

from egretshed.environment import Environment

MAX_BUCKETS = 16_384  # 4,100 customers with 4 stages each


class RetryBudgets:
    """Token buckets per customer and stage, and one per stage for all customers.

    Each call adds `budget_share` of a token to both buckets, and each retry takes a
    token from both. The bucket per stage limits retries when an overload is spread over
    many customers.
    """

    def __init__(self, env: Environment):
        self._settings = env.settings.retries
        self._buckets: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._refused = env.metrics.counter(
            "retries_refused_total", "Retries refused by a budget", ("stage",)
        )

    def record_call(self, customer_id: str, stage: str) -> None:
        """Record a first attempt, which adds to the budget."""
        deposit = self._settings.budget_share
        for key in _keys(customer_id, stage):
            self._set_tokens(key, self._tokens(key) + deposit)

    def can_retry(self, customer_id: str, stage: str) -> bool:
        """Return whether the budget allows a retry now, without taking a token."""
        return all(self._tokens(key) >= 1.0 for key in _keys(customer_id, stage))

    def try_acquire(self, customer_id: str, stage: str) -> bool:
        """Take the tokens of one retry.

        Returns False and takes nothing if the budget does not allow the retry.
        """
        keys = _keys(customer_id, stage)
        if not self.can_retry(customer_id, stage):
            self._refused.labels(stage).inc()
            return False
        for key in keys:
            self._set_tokens(key, self._tokens(key) - 1.0)
        return True

    def _tokens(self, key: tuple[str, str]) -> float:
        return self._buckets.get(key, float(self._settings.budget_burst))

    def _set_tokens(self, key: tuple[str, str], tokens: float) -> None:
        self._buckets[key] = min(tokens, float(self._settings.budget_burst))
        self._buckets.move_to_end(key)
        if len(self._buckets) > MAX_BUCKETS:
            self._buckets.popitem(last=False)


def _keys(customer_id: str, stage: str) -> tuple[tuple[str, str], tuple[str, str]]:
    # Customer ids are never empty, so the empty id stands for all customers.
    return (customer_id, stage), ("", stage)
