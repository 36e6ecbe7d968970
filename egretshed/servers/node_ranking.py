"""Ranks the nodes for a server by rendezvous hashing, alike on all nodes."""

from functools import lru_cache

import xxhash

# Few servers are cold or limited at a time; rankings change only with the members.
MAX_CACHED_RANKINGS = 128


@lru_cache(maxsize=MAX_CACHED_RANKINGS)
def first_ranked_nodes(
    server_id: str, node_ids: tuple[str, ...], count: int
) -> frozenset[str]:
    """Return the `count` nodes that rank first for a server."""
    ranked_ids = sorted(
        node_ids,
        key=lambda node_id: xxhash.xxh64_intdigest(f"{server_id}/{node_id}".encode()),
    )
    return frozenset(ranked_ids[:count])
