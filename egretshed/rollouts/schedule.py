"""Decides the next phase of a rollout.

Load pattern: a version that is bad only later, under load or on one route seems good at
first. The share of the new version therefore stays small for most of the time that the
order gives, and all requests go there only near its end, while the tests go on. The old
servers stop at once when the rollout is completed, so that their requests end before.
"""

from typing import NamedTuple

from egretshed.rollouts.records import RolloutPhase

# Time before the deadline at which all new requests go to the new version.
SWITCH_BEFORE_S = 2.2
LEAST_OBSERVED_SHARE = 0.6
# Time before the deadline at which the rollout is completed whatever still runs.
COMPLETE_BEFORE_S = 0.6
# Time for which all requests have gone to the new version before that.
LEAST_SWITCH_S = 1.2
# Answers of the new version without which it is not known to be good.
LEAST_ANSWERS = 12
# Part of the nodes whose reports must be fresh. An owner that stood still, or beside
# which another one acts, does not have them.
LEAST_REPORTING_SHARE = 0.8
# Part of what the promise allows that is used, and the time for which it must allow all
# requests at the new version: a version that is bad only then is found by its end.
ALLOWED_USED = 0.9
RESERVED_S = 1.0
# Limits of the share, of which the lower one is a part of the promised share.
LEAST_SHARE_USED = 0.4
FIRST_SHARE_USED = 0.85
MAX_CANARY_SHARE = 0.25
# The rate of requests is known after this time.
LEAST_AGE_S = 1.0
LEAST_SPREAD_S = 2.0


class RolloutProgress(NamedTuple):
    """What the owner knows; times are in seconds since the order.

    `answers` are those of the new version, `sent` the requests that it got, of
    `sent_in_all`. `old_running` are the requests at other versions. `have_all_switched`
    tells whether all nodes have reported in phase `SWITCH`, which began `switched_s`
    ago. `reporting_share` is the part of the reachable nodes that have reported lately.
    `has_majority` tells whether more than half of all listed nodes have: a node that is
    cut off from most of them ends no rollout.
    """

    age_s: float
    duration_s: float
    is_bad: bool
    answers: int
    sent: int
    sent_in_all: int
    old_running: int
    have_all_switched: bool
    switched_s: float = 0.0
    reporting_share: float = 1.0
    has_majority: bool = True


def next_phase(phase: RolloutPhase, progress: RolloutProgress) -> RolloutPhase:
    """Return the phase that follows from what is known."""
    if phase.is_final:
        return phase
    if progress.is_bad:
        return RolloutPhase.ROLLED_BACK
    if progress.reporting_share < LEAST_REPORTING_SHARE:
        # Another owner may know more, and has granted a share already.
        return RolloutPhase.HOLD
    if progress.answers < LEAST_ANSWERS or not progress.has_majority:
        return RolloutPhase.CANARY
    if progress.age_s < _switch_s(progress.duration_s):
        return RolloutPhase.CANARY
    if phase is not RolloutPhase.SWITCH:
        return RolloutPhase.SWITCH
    if not progress.have_all_switched or progress.switched_s < LEAST_SWITCH_S:
        return RolloutPhase.SWITCH
    is_due = progress.age_s >= progress.duration_s - COMPLETE_BEFORE_S
    if progress.old_running == 0 or is_due:
        return RolloutPhase.COMPLETED
    return RolloutPhase.SWITCH


def _switch_s(duration_s: float) -> float:
    return max(LEAST_OBSERVED_SHARE * duration_s, duration_s - SWITCH_BEFORE_S)


def share_of(
    phase: RolloutPhase, progress: RolloutProgress, bound: float, tolerance: float
) -> float:
    """Return the share of new requests that go to the new version.

    `bound` and `tolerance` are what operators promise for a bad version.
    """
    if phase in (RolloutPhase.SWITCH, RolloutPhase.COMPLETED):
        return 1.0
    if phase is not RolloutPhase.CANARY:
        return 0.0
    allowed = ALLOWED_USED * (bound * progress.sent_in_all + tolerance)
    if progress.sent >= allowed:
        return 0.0
    if progress.age_s < LEAST_AGE_S or not progress.sent_in_all:
        return FIRST_SHARE_USED * bound
    rate_per_s = progress.sent_in_all / progress.age_s
    expected = rate_per_s * progress.duration_s
    left = ALLOWED_USED * (bound * expected + tolerance) - progress.sent
    left -= RESERVED_S * rate_per_s
    until_switch_s = _switch_s(progress.duration_s) - progress.age_s
    share = left / (rate_per_s * max(LEAST_SPREAD_S, until_switch_s))
    return max(LEAST_SHARE_USED * bound, min(MAX_CANARY_SHARE, share))
