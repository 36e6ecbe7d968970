"""What a backend server says in its responses about the work that it takes."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Load of a server at the time of one response.

    `waiting` counts the requests that no slot has taken yet. `slowness` is how long
    work takes on the server's machine at this moment, as a multiple of the usual time;
    1.0 if the server does not tell it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0

    @property
    def busy(self) -> int:
        return self.running + self.waiting


class ServerSignals(NamedTuple):
    """Signals of one response.

    `rate_limit_per_s` bounds the requests that the server takes from all nodes
    together, None if the response names no limit. `is_leaving` tells that the server
    leaves, `pause_s` for how long it wants nothing more from this node. `load` is None
    if the response does not report it. `malformed` holds the names of fields whose
    values cannot be used; nothing is known of those.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    load: LoadReport | None = None
    malformed: tuple[str, ...] = ()


class RateLimit(NamedTuple):
    """A limit as this node knows it.

    `heard_s` is the monotonic time at which it was last confirmed.
    """

    rate_per_s: float
    heard_s: float
