"""Settings, faults and record of one stand-in backend server."""

from typing import (
    Any,
    NamedTuple,
)


class Timing(NamedTuple):
    """How long work takes, and how a server lags and collapses.

    A step makes one token for every call in flight. It takes `token_s`, longer by
    `batch_growth` of that for each call beyond the first. `cold_factor` and
    `overload_factor` multiply all times while cold, and while more calls are in flight
    than the server carries.
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
    """One server; `role` is as in `egretshed.configuration.schema.Pool`."""

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
    """What goes wrong with calls; `fail_share` is the share that fails half-way.

    `silent` also stops the streams in flight for good; new streams work again once the
    fault is ended.
    """

    slow_factor: float = 1.0
    fail_share: float = 0.0
    silent: bool = False
    down: bool = False


class CallRecord:
    """What one server did for one attempt; times on the server's monotonic clock."""

    def __init__(
        self, attempt_id: str, request_id: str, customer_id: str, start_s: float
    ):
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.customer_id = customer_id
        self.stage = ""
        self.start_s = start_s
        self.end_s: float | None = None
        self.outcome = "running"  # then completed | cancelled | failed | rejected
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
    """Counts of one server that no caller's or node's record can replace.

    The highest number in flight counts every call that arrived, also rejected ones. A
    cold period lists each start above the limit as (seconds since it began, in flight).
    """

    def __init__(self) -> None:
        self.calls: list[CallRecord] = []
        self.busy_s = 0.0
        self.max_in_flight_cold = 0
        self.max_in_flight_warm = 0
        self.overloaded_calls = 0
        self.orders: list[dict[str, Any]] = []
        self.cold_periods: list[dict[str, Any]] = []

    def note_start(self, now_s: float, in_flight: int, cold: bool, limit: int) -> None:
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

    def note_cold(self, now_s: float, in_flight: int, unwarned: bool) -> None:
        """Begin a cold period, with `in_flight` calls already running.

        `unwarned` is True if the server went cold by itself, so that no order or first
        report could tell before the first slow call.
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

    def note_warm(self, now_s: float) -> None:
        if self.cold_periods and self.cold_periods[-1]["end_s"] is None:
            self.cold_periods[-1]["end_s"] = now_s
