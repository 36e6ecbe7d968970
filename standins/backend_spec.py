"""Settings, faults and call records of one simulated backend server."""

from typing import (
    Any,
    NamedTuple,
)


class Timing(NamedTuple):
    """Service times, reporting delays and overload behaviour of a server.

    A decoding step generates one token for every call in flight. It takes `token_s`
    plus `batch_growth * token_s` for each call beyond the first. All times are
    multiplied by `cold_factor` while the server is cold and by `overload_factor` while
    more calls are in flight than its limit; with `overload_fails` a call that would
    exceed the limit is rejected. Load reports and cache events are delayed by
    `load_lag_s` and `cache_event_lag_s`.
    """

    token_s: float = 0.008
    batch_growth: float = 0.05
    prompt_token_s: float = 0.0001
    call_s: float = 0.02
    cold_factor: float = 2.0
    overload_factor: float = 20.0
    overload_fails: bool = False
    load_lag_s: float = 0.3
    cache_prefixes: int = 16
    cache_event_lag_s: float = 0.5
    cache_event_gap_share: float = 0.1
    load_bytes_per_s: float = 2e9


class BackendSpec(NamedTuple):
    """Settings of one server.

    `role` is as in `egretshed.configuration.schema.Pool`. The server turns warm after
    `warm_up_calls` completed calls. With port 0 a free port is chosen.
    """

    replica_id: str
    role: str
    cold_slots: int
    warm_slots: int
    warm_up_calls: int = 20
    pool: str = ""
    failure_domain: str = ""
    model: str = ""
    model_version: str = ""
    checks_fencing: bool = True
    starts_warm: bool = True
    timing: Timing = Timing()
    port: int = 0


class BackendFault(NamedTuple):
    """Faults of a server.

    `slow_factor` multiplies all times, `fail_share` is the probability that a call
    fails, an engine's call halfway through its output, and `down` closes connections
    without a reply. `silent` stops all replies: calls in flight, or received while it
    is set, never continue, even after the fault is cleared; later calls work again.
    """

    slow_factor: float = 1.0
    fail_share: float = 0.0
    silent: bool = False
    down: bool = False


class CallRecord:
    """One attempt as the server saw it; times are on its monotonic clock.

    `after_leaving_s` and `after_out_s` say how long after the server began to leave,
    and after its failure domain was taken out of service, the call arrived.
    """

    def __init__(
        self, attempt_id: str, request_id: str, customer_id: str, start_s: float
    ):
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.customer_id = customer_id
        self.stage = ""
        self.start_s = start_s
        self.end_s: float | None = None
        # One of running, completed, cancelled, failed and rejected.
        self.outcome = "running"
        self.tokens = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.while_cold = False
        self.cancel_requested = False
        self.silenced = False
        self.after_leaving_s: float | None = None
        self.after_out_s: float | None = None

    def to_body(self) -> dict[str, Any]:
        return dict(vars(self))


class ServerRecord:
    """Counters of one server, kept independently of callers and nodes.

    The maximum number of calls in flight includes rejected calls. A cold period lists
    each call that started above the limit as a pair (seconds since the period began,
    calls in flight).
    """

    def __init__(self) -> None:
        self.calls: list[CallRecord] = []
        self.busy_s = 0.0
        self.max_in_flight_cold = 0
        self.max_in_flight_warm = 0
        self.overloaded_calls = 0
        self.orders: list[dict[str, Any]] = []
        self.cold_periods: list[dict[str, Any]] = []

    def record_start(
        self, now_s: float, in_flight: int, cold: bool, limit: int
    ) -> None:
        if cold:
            self.max_in_flight_cold = max(self.max_in_flight_cold, in_flight)
        else:
            self.max_in_flight_warm = max(self.max_in_flight_warm, in_flight)
        if in_flight <= limit:
            return
        self.overloaded_calls += 1
        if cold:
            period = self.cold_periods[-1]
            start = (now_s - period["start_s"], in_flight)
            period["over_limit_starts"].append(start)

    def begin_cold_period(self, now_s: float, in_flight: int, unwarned: bool) -> None:
        """Begin a cold period, with `in_flight` calls already running.

        `unwarned` is True if the server became cold without an order, so that neither
        an order nor a load report announced it before the first slow call.
        """
        self.cold_periods.append(
            {
                "start_s": now_s,
                "end_s": None,
                "unwarned": unwarned,
                "in_flight_at_start": in_flight,
                "over_limit_starts": [],
            }
        )

    def end_cold_period(self, now_s: float) -> None:
        if self.cold_periods and self.cold_periods[-1]["end_s"] is None:
            self.cold_periods[-1]["end_s"] = now_s
