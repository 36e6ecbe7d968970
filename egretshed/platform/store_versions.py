"""Versions of the store's rows that stay in order when the store is restored.

A store that is restored from a copy gives out the same versions again, and counts its
eras. The two are combined, so that whatever was read in a later era is newer::

    combine(era=2, version=30)  # 2_000_000_000_030
"""

ERA_FACTOR = 10**12


def combine(era: int, version: int) -> int:
    """Return a version that is ordered by era first; a store without eras has 0."""
    return era * ERA_FACTOR + version


def era_of(version: int) -> int:
    """Return the era in which a combined version was given out."""
    return version // ERA_FACTOR


def version_in_store(version: int) -> int:
    """Return a combined version as the store knows it in that era."""
    return version % ERA_FACTOR
