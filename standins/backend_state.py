"""Warm-up, load, orders and timing of one simulated backend server, without I/O."""

import asyncio
import random
from collections import deque
from typing import Any

from egretshed.backends.interface import (
    BackendOrder,
    LoadReport,
    OrderResult,
)
from egretshed.clock import Clock
from egretshed.errors import StaleFencingNumber
from standins.backend_cache import PrefixCache
from standins.backend_spec import (
    BackendFault,
    BackendSpec,
    CallRecord,
    ServerRecord,
)

LOAD_HISTORY_REPORTS = 4096
DEFAULT_MODEL_BYTES = 2e9


class BackendState:
    """State of one server; `limit` is its present limit of concurrent calls."""

    def __init__(self, spec: BackendSpec, clock: Clock, seed: int = 1):
        self.spec = spec
        self.timing = spec.timing
        self.clock = clock
        self.random = random.Random(f"{seed}/{spec.replica_id}")
        self.fault = BackendFault()
        self.record = ServerRecord()
        self.cache = PrefixCache(spec.replica_id, spec.timing, clock)
        self.running: list[CallRecord] = []
        self.leaving_since_s: float | None = None
        self.out_since_s: float | None = None
        self.state_revision = 0
        self.highest_fencing_number = 0
        self.role = spec.role
        self.model_versions = {spec.model: spec.model_version} if spec.model else {}
        self._orders: dict[str, OrderResult] = {}
        self._order_lock = asyncio.Lock()
        self._warm_calls = 0
        self._busy_since_s: float | None = None
        self._history: deque = deque(maxlen=LOAD_HISTORY_REPORTS)
        if spec.starts_warm:
            self._warm_calls = spec.warm_up_calls
        else:
            self.record.begin_cold_period(clock.monotonic_s(), 0, unwarned=False)
        self.record_load()

    @property
    def warm(self) -> bool:
        return self._warm_calls >= self.spec.warm_up_calls

    @property
    def limit(self) -> int:
        return self.spec.warm_slots if self.warm else self.spec.cold_slots

    @property
    def overloaded(self) -> bool:
        return len(self.running) > self.limit

    def slowdown(self) -> float:
        """Return the factor by which all times are multiplied at present."""
        factor = self.fault.slow_factor
        if not self.warm:
            factor *= self.timing.cold_factor
        if self.overloaded:
            factor *= self.timing.overload_factor
        return factor

    def step_s(self) -> float:
        """Return the duration of one decoding step, a token per call in flight."""
        others = max(0, len(self.running) - 1)
        return self.timing.token_s * (1 + self.timing.batch_growth * others)

    # Calls.

    def begin_call(self, call: CallRecord) -> None:
        """Add a call that arrived; the caller checks `should_reject` afterwards."""
        now_s = self.clock.monotonic_s()
        call.while_cold = not self.warm
        if self.leaving_since_s is not None:
            call.after_leaving_s = now_s - self.leaving_since_s
        if self.out_since_s is not None:
            call.after_out_s = now_s - self.out_since_s
        self.record.calls.append(call)
        call.silenced = self.fault.silent
        self.running.append(call)
        self.record.record_start(now_s, len(self.running), not self.warm, self.limit)
        if self._busy_since_s is None:
            self._busy_since_s = now_s
        self.record_load()

    def should_reject(self) -> bool:
        return self.overloaded and self.timing.overload_fails

    def end_call(self, call: CallRecord, outcome: str) -> None:
        if call not in self.running:
            return
        self.running.remove(call)
        call.end_s = self.clock.monotonic_s()
        call.outcome = outcome
        if outcome == "completed":
            self._count_completed_call()
        if not self.running and self._busy_since_s is not None:
            self.record.busy_s += call.end_s - self._busy_since_s
            self._busy_since_s = None
        self.record_load()

    def cancel(self, attempt_id: str) -> bool:
        """Request cancellation of an attempt; return whether it was running."""
        found = [call for call in self.running if call.attempt_id == attempt_id]
        for call in found:
            call.cancel_requested = True
        return bool(found)

    def _count_completed_call(self) -> None:
        was_warm = self.warm
        self._warm_calls += 1
        if self.warm and not was_warm:
            self.record.end_cold_period(self.clock.monotonic_s())

    # Conditions set by faults and orders.

    def go_cold(self, unwarned: bool) -> None:
        """Empty the prefix cache and restart the warm-up."""
        self.cache.clear()
        if self.spec.warm_up_calls == 0:
            return
        if self.warm:
            now_s = self.clock.monotonic_s()
            self.record.begin_cold_period(now_s, len(self.running), unwarned)
        self._warm_calls = 0
        self.record_load()

    def set_leaving(self, leaving: bool) -> None:
        self.leaving_since_s = self.clock.monotonic_s() if leaving else None
        self.record_load()

    def set_out(self, out: bool) -> None:
        """Record that the server's failure domain is out of service.

        It affects only `CallRecord.after_out_s`.
        """
        self.out_since_s = self.clock.monotonic_s() if out else None

    def set_fault(self, fields: dict[str, Any]) -> None:
        """Replace the fault by `fields`, those of `BackendFault`.

        The fields `cold`, `leaving` and `out` are applied as well and are no part of
        the fault: a body with only these keeps the present fault. An empty body clears
        it.
        """
        switches = fields.keys() & {"cold", "leaving", "out"}
        fields = dict(fields)
        if fields.pop("cold", False):
            self.go_cold(unwarned=True)
        if "leaving" in fields:
            self.set_leaving(fields.pop("leaving"))
        if "out" in fields:
            self.set_out(fields.pop("out"))
        if fields or not switches:
            self.fault = BackendFault(**fields)
        if self.fault.silent:
            for call in self.running:
                call.silenced = True

    # Load reports.

    def record_load(self) -> None:
        in_flight = len(self.running)
        report = LoadReport(
            in_flight=in_flight,
            queued=max(0, in_flight - self.limit),
            warm=self.warm,
            leaving=self.leaving_since_s is not None,
            age_s=0.0,
            model_versions=dict(self.model_versions),
            state_revision=self.state_revision,
        )
        self._history.append((self.clock.monotonic_s(), report))

    def load(self) -> LoadReport:
        """Return the load report of `load_lag_s` ago."""
        lag_s = self.timing.load_lag_s
        visible_until_s = self.clock.monotonic_s() - lag_s
        while len(self._history) > 1 and self._history[1][0] <= visible_until_s:
            self._history.popleft()
        return self._history[0][1]._replace(age_s=lag_s)

    # Orders.

    async def order(self, order: BackendOrder) -> OrderResult:
        """Apply an order; the repeat of an applied one returns the same result.

        Orders are applied one at a time. Raises `StaleFencingNumber` if the server
        checks fencing numbers and has seen a higher one.
        """
        self.record.orders.append({**order._asdict(), "at_s": self.clock.monotonic_s()})
        async with self._order_lock:
            return await self._apply_order(order)

    async def _apply_order(self, order: BackendOrder) -> OrderResult:
        if self.spec.checks_fencing:
            if order.fencing_number < self.highest_fencing_number:
                raise StaleFencingNumber(highest=self.highest_fencing_number)
            self.highest_fencing_number = order.fencing_number
        if order.order_id in self._orders:
            return self._orders[order.order_id]
        if order.expected_revision not in (None, self.state_revision):
            return OrderResult(False, self.state_revision, "revision differs")
        if order.action in ("load_model", "load_adapter"):
            size_bytes = order.arguments.get("size_bytes", DEFAULT_MODEL_BYTES)
            await self.clock.sleep(size_bytes / self.timing.load_bytes_per_s)
        if not self._apply_action(order.action, order.arguments):
            detail = f"unknown action {order.action!r}"
            return OrderResult(False, self.state_revision, detail)
        self.state_revision += 1
        self.record_load()
        self._orders[order.order_id] = OrderResult(True, self.state_revision)
        return self._orders[order.order_id]

    def _apply_action(self, action: str, arguments: dict[str, Any]) -> bool:
        match action:
            case "load_model" | "load_adapter":
                name = arguments.get("model") or arguments.get("adapter") or ""
                self.model_versions[name] = arguments.get("version", "")
                self.go_cold(unwarned=False)
            case "unload":
                self.model_versions.pop(arguments.get("model", ""), None)
            case "change_role":
                self.role = arguments.get("role", self.role)
                self.go_cold(unwarned=False)
            case "drain":
                self.set_leaving(True)
            case "undrain":
                self.set_leaving(False)
            case _:
                return False
        return True

    def to_record(self) -> dict[str, Any]:
        record = self.record
        busy_s = record.busy_s
        if self._busy_since_s is not None:
            busy_s += self.clock.monotonic_s() - self._busy_since_s
        return {
            "replica_id": self.spec.replica_id,
            "pool": self.spec.pool,
            "role": self.role,
            "failure_domain": self.spec.failure_domain,
            "cold_limit": self.spec.cold_slots,
            "warm_limit": self.spec.warm_slots,
            "warm": self.warm,
            "in_flight": len(self.running),
            "busy_s": busy_s,
            "max_in_flight_cold": record.max_in_flight_cold,
            "max_in_flight_warm": record.max_in_flight_warm,
            "overloaded_calls": record.overloaded_calls,
            "cold_periods": record.cold_periods,
            "orders": record.orders,
            "state_revision": self.state_revision,
            "calls": [call.to_body() for call in record.calls],
        }
