"""Division among the nodes of what a cold server can carry.

Load pattern: a server comes back cold while all nodes have requests waiting, and each
node alone would find it free. The limit is a rate summed over all nodes, so a few
nodes, chosen by hashing, may each send one request a period; the others leave the
server out. No message is needed, and nodes that disagree for a moment about who is
alive exceed the rate by little, for which the limit has room.
"""

from functools import lru_cache

import xxhash

# One request a period and chosen node; a little over a second, since the limit counts
# any second and a request takes a while to arrive.
PERIOD_S = 1.1
# Part of the declared rate that is handed out; the rest covers disagreement.
SHARE_OF_RATE = 0.9
# Cold servers are few; their rankings change only with the members.
RANKINGS_KEPT = 128


@lru_cache(maxsize=RANKINGS_KEPT)
def nodes_allowed_to_send(
    server_id: str, node_ids: tuple[str, ...], rate_per_s: float
) -> frozenset[str]:
    """Return the nodes that may send to a cold server, by rendezvous hashing."""
    count = max(1, int(rate_per_s * SHARE_OF_RATE))
    ranked = sorted(
        node_ids,
        key=lambda node_id: xxhash.xxh64_intdigest(f"{server_id}/{node_id}".encode()),
    )
    return frozenset(ranked[:count])


def may_send(
    server_id: str,
    node_id: str,
    node_ids: tuple[str, ...],
    rate_per_s: float,
    sends_s: list[float],
    now_s: float,
) -> bool:
    """Return whether `node_id` may send one more request at `now_s`."""
    if sends_s and now_s - sends_s[-1] < PERIOD_S:
        return False
    return node_id in nodes_allowed_to_send(server_id, node_ids, rate_per_s)
