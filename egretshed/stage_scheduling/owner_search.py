"""Decides which node is asked next to run the stages of a request.

Load pattern: most nodes lose power at once, or two failure domains cannot reach each
other, while requests go on to arrive at the others. The first nodes of the ranking do
not answer. A node that runs its own jobs then is one more owner that knows nothing of
the others: its small calls take the slots of the stage servers, and its results take
memory that the others count as free. So a node of a large fleet that hears from other
nodes asks more of them before it runs its jobs itself. One that hears from nobody is
cut off, and asks few; in a small fleet few can be owners beside each other.
"""

import math
from typing import NamedTuple

from egretshed.stage_scheduling.job_leases import ACCEPT_TIMEOUT_S

# Nodes that are asked in any case before a node runs its own jobs.
MIN_OWNERS_TRIED = 2
MAX_OWNERS_TRIED = 6
# Nodes of the fleet for each one that is asked.
NODES_PER_TRY = 10
# Share of a job's time that the search may take.
SEARCH_SHARE = 0.15
# A node that accepted a job at most this long ago shows that this one is not cut off.
CONNECTED_AGE_S = 2.0


class OwnerSearch(NamedTuple):
    """State of the search for one job.

    `ranked` are the nodes that may own it, the owner first, without those that did not
    answer a moment ago. `accepted_age_s` is the time since another node accepted a job
    of this one, `left_s` the time until the deadline, `fleet_size` the number of
    all listed or reachable nodes.
    """

    ranked: tuple[str, ...]
    own_id: str
    tried_ids: frozenset[str]
    left_s: float
    accepted_age_s: float
    fleet_size: int


def next_owner(search: OwnerSearch) -> str:
    """Return the node that gets the job next, this node's own id as the last resort.

    For example, with 9 s left, six of 60 nodes are asked in turn if another node
    accepted a job a second ago, and two if none did for 3 s, or of nine nodes.
    """
    tried = len(search.tried_ids)
    limit = MIN_OWNERS_TRIED
    if search.accepted_age_s <= CONNECTED_AGE_S:
        share = math.ceil(search.fleet_size / NODES_PER_TRY)
        limit = min(MAX_OWNERS_TRIED, max(MIN_OWNERS_TRIED, share))
    has_time = (tried + 1) * ACCEPT_TIMEOUT_S <= SEARCH_SHARE * search.left_s
    if tried >= limit or (tried >= MIN_OWNERS_TRIED and not has_time):
        return search.own_id
    untried = (node_id for node_id in search.ranked if node_id not in search.tried_ids)
    return next(untried, search.own_id)
