"""Share of this node in the request rate that a server takes from all nodes together.

Load pattern: a server in need names a low rate while callers go on as before at every
node. If each node kept to the rate by itself, or waited for a share of its own at 195
nodes, the server would get either far too much or, from each node, one request in
minutes. Rendezvous hashing selects some nodes, which share the whole rate evenly. They
are as many as may send at the same moment without a peak that matters, so that a
request finds a selected node likely enough. Nodes that disagree about the members for a
moment exceed the rate by a few requests.
"""

import math

from egretshed.servers.node_ranking import first_ranked_nodes

# A server that names a limit of 0 still gets a request now and then: only its response
# shows that the limit has ended.
MIN_RATE_PER_S = 0.1
# Selected nodes: a fixed number and more with the rate. All of them may send at once.
BASE_NODES = 2
NODES_PER_RATE_S = 1.5


def send_interval_s(
    server_id: str, node_id: str, node_ids: tuple[str, ...], limit_per_s: float
) -> float:
    """Return the least time between requests of a node; infinite if it may send none.

    With one node it may use the whole limit::

        send_interval_s("s1", "n1", ("n1",), 4.0)  # 0.25
    """
    rate_per_s = max(MIN_RATE_PER_S, limit_per_s)
    count = min(len(node_ids), BASE_NODES + int(NODES_PER_RATE_S * rate_per_s))
    if node_id not in first_ranked_nodes(server_id, node_ids, count):
        return math.inf
    return count / rate_per_s
