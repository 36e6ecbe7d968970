"""Fair division of a replica's slots among its borrowers."""

from collections.abc import Mapping
from typing import TypeVar

Key = TypeVar("Key")


def allocate_fairly(
    slots: int, wanted: Mapping[Key, int], turn: int = 0
) -> dict[Key, int]:
    """Return each borrower's part by max-min fairness.

    No borrower gets more than it wants, and what one leaves goes to the others. Slots
    that cannot be divided evenly go to borrowers in order from `turn`; a rising `turn`
    lets each have them for a while.

    Example::

        allocate_fairly(5, {"a": 1, "b": 9, "c": 9})  # {"a": 1, "b": 2, "c": 2}
    """
    parts = dict.fromkeys(wanted, 0)
    open_keys = [key for key in sorted(wanted) if wanted[key] > 0]
    left = max(0, slots)
    while open_keys and left >= len(open_keys):
        least = min(wanted[key] - parts[key] for key in open_keys)
        step = min(left // len(open_keys), least)
        for key in open_keys:
            parts[key] += step
        left -= step * len(open_keys)
        open_keys = [key for key in open_keys if parts[key] < wanted[key]]
    for index in range(min(left, len(open_keys))):
        parts[open_keys[(turn + index) % len(open_keys)]] += 1
    return parts
