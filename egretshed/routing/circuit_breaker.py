"""Puts a failing replica aside for a growing time, then tries it with one call."""

FAILURES_TO_OPEN = 3
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 30.0


class Circuit:
    """State of one replica, as this node's own calls show it."""

    def __init__(self) -> None:
        self.failures = 0
        self.pause_s = FIRST_PAUSE_S
        self.opens_s = 0.0
        self.has_trial = False

    @property
    def is_failing(self) -> bool:
        return self.failures >= FAILURES_TO_OPEN

    def allows(self, now_s: float) -> bool:
        """Return whether a call may go out: the first one after a pause is a trial."""
        return not self.is_failing or (now_s >= self.opens_s and not self.has_trial)

    def note_start(self) -> bool:
        """Record that a call goes out; return whether it is the trial."""
        self.has_trial = self.is_failing
        return self.has_trial

    def note_success(self) -> None:
        self.failures = 0
        self.pause_s = FIRST_PAUSE_S
        self.has_trial = False

    def note_failure(self, now_s: float, was_trial: bool) -> None:
        """Count a failure; one that began before the pause does not lengthen it."""
        if self.is_failing and not was_trial:
            return
        self.failures += 1
        if not self.is_failing:
            return
        self.opens_s = now_s + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)
        self.has_trial = False

    def note_abandoned(self, was_trial: bool) -> None:
        """Record the end of a call that showed nothing of the server."""
        if was_trial:
            self.has_trial = False
