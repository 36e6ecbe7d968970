"""Max-min fair allocation of a replica's slots to its borrowers."""

from collections.abc import Mapping
from typing import TypeVar

Key = TypeVar("Key")


def allocate_fairly(
    slots: int, wanted: Mapping[Key, int], rotation: int = 0
) -> dict[Key, int]:
    """Return the slots of each borrower by max-min fairness.

    No borrower gets more than it wants, and what it does not want goes to the others.
    The remainder of an uneven division goes to borrowers in sorted order, starting at
    index `rotation`, which callers advance so that each borrower gets it in turn.

    Example::

        allocate_fairly(5, {"a": 1, "b": 9, "c": 9})  # {"a": 1, "b": 2, "c": 2}
    """
    allocation = dict.fromkeys(wanted, 0)
    unmet_keys = [key for key in sorted(wanted) if wanted[key] > 0]
    left = max(0, slots)
    while unmet_keys and left >= len(unmet_keys):
        least = min(wanted[key] - allocation[key] for key in unmet_keys)
        increment = min(left // len(unmet_keys), least)
        for key in unmet_keys:
            allocation[key] += increment
        left -= increment * len(unmet_keys)
        unmet_keys = [key for key in unmet_keys if allocation[key] < wanted[key]]
    for index in range(min(left, len(unmet_keys))):
        allocation[unmet_keys[(rotation + index) % len(unmet_keys)]] += 1
    return allocation
