"""Circuit breaker of a replica, with an open period that doubles on failed trials."""

FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 30.0


class CircuitBreaker:
    """State of one replica, derived from the calls of this node only.

    After `FAILURES_TO_OPEN` failures in a row the circuit is open and no call is
    allowed. At `half_open_at_s` one trial call is allowed: its success closes the
    circuit, its failure keeps the circuit open for twice as long.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.open_duration_s = INITIAL_OPEN_S
        self.half_open_at_s = 0.0
        self.trial_in_flight = False

    @property
    def is_open(self) -> bool:
        return self.failures >= FAILURES_TO_OPEN

    def allows(self, now_s: float) -> bool:
        """Return whether a call may be sent; on an open circuit it is a trial call."""
        return not self.is_open or (
            now_s >= self.half_open_at_s and not self.trial_in_flight
        )

    def record_start(self) -> bool:
        """Record that a call is sent; return whether it is a trial call."""
        self.trial_in_flight = self.is_open
        return self.trial_in_flight

    def record_success(self) -> None:
        self.failures = 0
        self.open_duration_s = INITIAL_OPEN_S
        self.trial_in_flight = False

    def record_failure(self, now_s: float, was_trial: bool) -> None:
        """Count a failure.

        While the circuit is open, only the failure of a trial call counts: other calls
        were sent before it opened and must not extend the open period.
        """
        if self.is_open and not was_trial:
            return
        self.failures += 1
        if not self.is_open:
            return
        self.half_open_at_s = now_s + self.open_duration_s
        self.open_duration_s = min(MAX_OPEN_S, 2 * self.open_duration_s)
        self.trial_in_flight = False

    def record_abandoned(self, was_trial: bool) -> None:
        """Record a call that ended without showing whether the server works."""
        if was_trial:
            self.trial_in_flight = False
