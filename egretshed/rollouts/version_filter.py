"""Decides which software versions may get a request during a rollout.

Load pattern: many nodes send the requests of one service, each a few a second, and may
not exchange a message for each. Every request falls on one side by a hash of its id, so
that the sum over all nodes keeps to the share however the requests are spread. A
repeated request goes to the old version, and so counts at the new one only once. A
share above 0 holds only while the owner's word is fresh; a node that hears nothing
sends nothing to the new version. The share goes to a few of the new servers, so that
each has about the load of an old one: some versions are bad only under load.
"""

import math
from collections.abc import (
    Iterable,
    Sequence,
)

import xxhash

from egretshed.rollouts.records import RolloutPhase

HASH_RANGE = 2.0**64
# Servers of the new version that get the share.
CANARY_SERVERS_SHARE = 1 / 6
LEAST_CANARY_SERVERS = 3


def is_canary(request_id: str, share: float) -> bool:
    """Return whether a request is among the share that goes to the new version."""
    return xxhash.xxh64_intdigest(request_id.encode()) / HASH_RANGE < share


def canary_servers(new_ids: Iterable[str]) -> frozenset[str]:
    """Return the servers of the new version that get the share, alike on all nodes."""
    ordered = sorted(new_ids, key=lambda i: xxhash.xxh64_intdigest(i.encode()))
    count = math.ceil(CANARY_SERVERS_SHARE * len(ordered))
    return frozenset(ordered[: max(LEAST_CANARY_SERVERS, count)])


def allowed_versions(
    phase: RolloutPhase,
    to_version: str,
    usable: Sequence[str],
    has_old: bool,
    goes_to_new: bool,
) -> frozenset[str]:
    """Return the versions that may get a new request.

    `usable` are the versions of the servers that could take it. `has_old` tells whether
    a server of another version is listed: without one the rollout has been completed by
    others, unless it was rolled back.

    Example::

        allowed_versions(RolloutPhase.CANARY, "v2", ["v1", "v2"], True, True)
        # frozenset({"v2"})
    """
    new = frozenset(usable) & {to_version}
    old = frozenset(usable) - {to_version}
    if phase is RolloutPhase.ROLLED_BACK:
        return old
    if not has_old:
        return new
    if phase is RolloutPhase.HOLD:
        return old
    if phase is RolloutPhase.CANARY:
        return (goes_to_new and new) or old
    return new or old


def may_send_to_new(phase: RolloutPhase, has_old: bool) -> bool:
    """Return whether a request may still go to the new version, for which it is."""
    if phase is RolloutPhase.HOLD:
        return not has_old
    return phase is not RolloutPhase.ROLLED_BACK


def may_resume(phase: RolloutPhase, to_version: str, bound_version: str) -> bool:
    """Return whether a stream of a version may go on at another server of it."""
    barred = (RolloutPhase.HOLD, RolloutPhase.ROLLED_BACK)
    return bound_version != to_version or phase not in barred
