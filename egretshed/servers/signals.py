"""What a backend server says in its responses about the work that it takes."""

from typing import NamedTuple


class ServerSignals(NamedTuple):
    """Signals of one response.

    `rate_limit_per_s` bounds the requests that the server takes from all nodes
    together, None if the response names no limit. `is_leaving` tells that the server
    leaves, `pause_s` for how long it wants nothing more from this node. `malformed`
    holds the names of fields whose values cannot be used; nothing is known of those.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    malformed: tuple[str, ...] = ()


class RateLimit(NamedTuple):
    """A limit as this node knows it.

    `heard_s` is the monotonic time at which it was last confirmed.
    """

    rate_per_s: float
    heard_s: float
