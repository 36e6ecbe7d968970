"""Chooses the software versions that may begin a stream that can be resumed.

Load pattern: a release, in which the first servers of a version come and the last ones
of another leave while streams begin. A stream goes on only at its version, so that one
begun at a version with a single server cannot go on if that server is lost.
"""

from collections import Counter
from collections.abc import Iterable

from egretshed.servers.records import (
    ListedServer,
    ServerPhase,
)


def lone_versions(listed: Iterable[ListedServer]) -> frozenset[str]:
    """Return the versions with one ready server, if another version has more."""
    counts = Counter(s.version for s in listed if s.phase is ServerPhase.READY)
    if max(counts.values(), default=0) < 2:
        return frozenset()
    return frozenset(version for version, count in counts.items() if count == 1)
