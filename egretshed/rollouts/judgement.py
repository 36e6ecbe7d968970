"""Judges a new software version by its answers beside those of the old one.

Load pattern: a small share of the requests goes to the new version, so that a decision
must come after few answers, while servers of both versions turn slow, fail or lose
answers for other reasons. Each route is tested by itself, and all together, once for
failures and once for answers several times slower than the median of the old version.
A test keeps the likelihood ratio between a new version that is as bad as the old one,
with an allowance, and several that are worse. It alarms when the ratio passes the
number of tests over `ERROR_RATE`; looking often does not raise the error rate then. The
servers with the most bad answers are left out, since a few servers that fail are no
fault of their version.
"""

import math
from typing import NamedTuple

from egretshed.rollouts.evidence import (
    OLD,
    Answers,
    Evidence,
)

# Nominal rate of false alarms of one rollout; it must stay below 0.01 in replays.
ERROR_RATE = 0.004
# Sets of answers that are judged: all, and the recent ones.
EVIDENCE_KINDS = 2
# The old version may be this much worse than measured without any alarm.
ALLOWANCE = 1.4
LEAST_BAD_SHARE = 0.04
PRIOR_ANSWERS = 8
# Shares of the remaining answers that a bad version spoils.
SPOILED_SHARES = (0.1, 0.25, 0.5, 0.85)
# An answer is slow this many duration classes above the old version's median; the one
# finds versions that are always slower, the other those that sometimes are much slower.
SLOW_CLASSES = (3, 4)
# Answers of the old version below which its durations are not known.
LEAST_OLD_ANSWERS = 20
# A decision is due at this number of bad answers, before the fiftieth.
DECISION_DUE = 38
DUE_ALLOWANCE = 1.25
DUE_DEVIATIONS = 3.0
# Servers with the most bad answers that are left out of a test.
LEFT_OUT_SHARE = 0.3
MAX_LEFT_OUT = 3


class Verdict(NamedTuple):
    """`strength` is the log of the likelihood ratio of the strongest test."""

    is_bad: bool
    reason: str
    route: str
    strength: float
    answers: int
    bad_answers: int


class _Sample(NamedTuple):
    """Bad answers among all, of the new version by server and of the old one."""

    new: dict[str, tuple[int, int]]
    old_bad: int
    old_answers: int

    def without_worst(self) -> tuple[int, int]:
        """Return bad and all answers of the new version without its worst servers."""
        left_out = max(1, min(MAX_LEFT_OUT, int(LEFT_OUT_SHARE * len(self.new))))
        ordered = sorted(self.new.values())
        kept = ordered[:-left_out] if len(ordered) > 1 else ordered
        return sum(b for b, _ in kept), sum(n for _, n in kept)


def judge(total: Evidence, recent: Evidence) -> Verdict:
    """Return whether the new version is to be rolled back, and why.

    `recent` has only the latest answers of the new version, which tell of one that was
    good for a while.
    """
    late = _judge_one(recent)
    verdict = _judge_one(total)
    if not late.is_bad or verdict.is_bad:
        return verdict
    return verdict._replace(
        is_bad=True, reason=late.reason, route=late.route, strength=late.strength
    )


def _judge_one(evidence: Evidence) -> Verdict:
    by_route: dict[str, dict[str, Answers]] = {}
    for key, answers in evidence.items():
        by_route.setdefault(key.route, {})[key.server_id] = answers
    failures = {name: _failures(cells) for name, cells in by_route.items()}
    slow, slower = (
        {name: _slow(cells, classes) for name, cells in by_route.items()}
        for classes in SLOW_CLASSES
    )
    kinds = (("failures", failures), ("slow", slow), ("slow", slower))
    tests = [
        (_strength(sample), reason, route)
        for reason, samples in kinds
        for route, sample in (*samples.items(), ("", _together(samples.values())))
    ]
    strength, reason, route = max(tests)
    bad, expected = _due(failures, slow)
    answers = sum(n for sample in failures.values() for _, n in sample.new.values())
    if strength >= math.log(EVIDENCE_KINDS * len(tests) / ERROR_RATE):
        return Verdict(True, reason, route, strength, answers, bad)
    limit = DUE_ALLOWANCE * expected + DUE_DEVIATIONS * math.sqrt(expected)
    is_due = bad >= DECISION_DUE and bad > limit
    reason = "many_bad_answers" if is_due else ""
    return Verdict(is_due, reason, "", strength, answers, bad)


def _failures(cells: dict[str, Answers]) -> _Sample:
    old = cells.get(OLD, Answers())
    new = {s: (a.failures, a.answered) for s, a in cells.items() if s != OLD}
    return _Sample(new, old.failures, old.answered)


def _slow(cells: dict[str, Answers], classes: int) -> _Sample:
    old = cells.get(OLD, Answers())
    if old.answered < LEAST_OLD_ANSWERS:
        return _Sample({}, 0, 0)
    limit = old.median_class() + classes
    new = {
        s: (slow, slow + a.quick(limit))
        for s, a in cells.items()
        if s != OLD
        for slow in (a.slow(limit),)
    }
    old_slow = old.slow(limit)
    return _Sample(new, old_slow, old_slow + old.quick(limit))


def _together(samples) -> _Sample:
    """Return the samples of all routes as one."""
    new: dict[str, tuple[int, int]] = {}
    old_bad = old_answers = 0
    for sample in samples:
        for server_id, (bad, answers) in sample.new.items():
            known_bad, known = new.get(server_id, (0, 0))
            new[server_id] = (known_bad + bad, known + answers)
        old_bad += sample.old_bad
        old_answers += sample.old_answers
    return _Sample(new, old_bad, old_answers)


def _strength(sample: _Sample) -> float:
    """Return the log of the likelihood ratio of a worse new version."""
    bad, answers = sample.without_worst()
    measured = (sample.old_bad + 1) / (sample.old_answers + PRIOR_ANSWERS)
    usual = min(0.9, max(LEAST_BAD_SHARE, ALLOWANCE * measured))
    logs = []
    for spoiled in SPOILED_SHARES:
        share = usual + spoiled * (1 - usual)
        good_log = math.log((1 - share) / (1 - usual))
        logs.append(bad * math.log(share / usual) + (answers - bad) * good_log)
    most = max(logs)
    mean = sum(math.exp(value - most) for value in logs) / len(logs)
    return most + math.log(mean)


def _due(failures: dict[str, _Sample], slow: dict[str, _Sample]) -> tuple[int, float]:
    """Return the bad answers of the new version, and those that the old one has."""
    bad, expected = 0, 0.0
    for sample in (*failures.values(), *slow.values()):
        bad += sum(b for b, _ in sample.new.values())
        answers = sum(n for _, n in sample.new.values())
        expected += answers * sample.old_bad / max(1, sample.old_answers)
    return bad, expected
