"""Tells which jobs of other nodes their owner may still start.

Load pattern: the node that batches the stages is paused, or cut off, while jobs wait
there, or the nodes that submitted them lose power. Submitters turn to the next owner
when this one does not respond, so a job may wait at two owners, or for nobody.

A submitter confirms its job periodically, which extends the lease of the owner. Once a
lease has ended, or after a pause in which the submitter may have turned away, the owner
starts no further piece of the job until it is confirmed again.
"""

from egretshed.environment import Environment
from egretshed.logs import log_event

JobId = tuple[str, int]

# A healthy owner accepts within a few milliseconds; a frozen one does not.
ACCEPT_TIMEOUT_S = 0.2
# Longest interval between the confirmations of a submitter.
CONFIRM_PERIOD_S = 0.6
# One confirmation may be missed.
LEASE_S = 2 * (CONFIRM_PERIOD_S + ACCEPT_TIMEOUT_S)
# In a pause of this length a call of a submitter may have timed out.
PAUSE_LIMIT_S = ACCEPT_TIMEOUT_S
# Time after a pause in which messages are read that arrived during it.
SETTLE_S = 0.2


class JobLeases:
    """Leases of the jobs that other nodes submitted; own jobs need none."""

    def __init__(self, env: Environment):
        self.env = env
        self._confirmed_s: dict[JobId, float] = {}
        self._active_s = env.clock.monotonic_s()
        self._resumed_s = float("-inf")

    def confirm(self, job_id: JobId) -> None:
        """Start or extend the lease of a job."""
        self._confirmed_s[job_id] = self.env.clock.monotonic_s()

    def end(self, job_id: JobId) -> None:
        self._confirmed_s.pop(job_id, None)

    def note_active(self) -> None:
        """Detect a pause; must be called periodically and before a job is started."""
        now_s = self.env.clock.monotonic_s()
        gap_s = now_s - self._active_s
        self._active_s = now_s
        if gap_s <= PAUSE_LIMIT_S:
            return
        self._resumed_s = now_s
        if self._confirmed_s:
            log_event(
                self.env.logger,
                "stage_owner_was_paused",
                gap_s=round(gap_s, 3),
                jobs=len(self._confirmed_s),
                outcome="wait_for_confirmation",
            )

    def may_start(self, job_id: JobId) -> bool:
        """Return whether pieces of a job may be sent to servers now."""
        if job_id[0] == self.env.identity.node_id:
            return True
        if self.env.clock.monotonic_s() - self._resumed_s < SETTLE_S:
            return False
        is_confirmed = self._confirmed_s.get(job_id, 0.0) >= self._resumed_s
        return is_confirmed and not self.has_ended(job_id)

    def has_ended(self, job_id: JobId) -> bool:
        """Return whether the submitter has not confirmed the job for `LEASE_S`."""
        if job_id[0] == self.env.identity.node_id:
            return False
        return self.age_s(job_id) > LEASE_S

    def age_s(self, job_id: JobId) -> float:
        """Return the time since the last confirmation; infinite without any."""
        confirmed_s = self._confirmed_s.get(job_id, float("-inf"))
        return self.env.clock.monotonic_s() - confirmed_s
