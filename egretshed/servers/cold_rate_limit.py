"""Rate limit for requests to a cold server, shared by all nodes without messages.

When a server restarts cold, all nodes may have queued requests, and to each of them the
server looks idle. The limit applies to the sum over all nodes. Rendezvous hashing
therefore selects a few nodes, each of which may send one request a period; the other
nodes do not use the server. Nodes that disagree briefly about the members exceed the
rate by a small amount, which the limit allows for.
"""

from egretshed.servers.node_ranking import first_ranked_nodes

# Time between requests of one selected node. Longer than 1 s, since the limit applies
# to any interval of 1 s and the time until a request arrives varies.
PERIOD_S = 1.1
# Share of the declared rate that is used; the rest covers nodes that disagree about the
# members.
USED_RATE_SHARE = 0.9


def nodes_allowed_to_send(
    server_id: str, node_ids: tuple[str, ...], rate_per_s: float
) -> frozenset[str]:
    """Return the nodes that may send to a cold server, by rendezvous hashing."""
    count = max(1, int(rate_per_s * USED_RATE_SHARE))
    return first_ranked_nodes(server_id, node_ids, count)


def may_send_to_cold(
    server_id: str,
    node_id: str,
    node_ids: tuple[str, ...],
    rate_per_s: float,
    sent_times_s: list[float],
    now_s: float,
) -> bool:
    """Return whether `node_id` may send another request to a cold server now.

    `sent_times_s` holds the times of its earlier requests to that server.
    """
    if sent_times_s and now_s - sent_times_s[-1] < PERIOD_S:
        return False
    return node_id in nodes_allowed_to_send(server_id, node_ids, rate_per_s)
