"""Finds the input that makes servers crash.

Load pattern: one input crashes each server that begins to run it: a whole request that
its caller sends again and again, or a part of prompts, such as a system prompt, that
otherwise differ. Each request with it costs a server and whatever else runs there.
Servers also crash for other reasons, and then the requests that ran there are innocent.

An input is a suspect in a crash if a request with it ran on the server; a part of a
prompt only while the prompt had no event yet. Any first event of a prompt clears its
parts, and any request that has run to its end clears itself. Of several inputs of a
request that are suspects in enough crashes, the innermost one is blamed, since it is in
the fewest requests: if an outer one is the cause, further crashes show that. Crashes in
which one inner input is a suspect count once against an outer one. Otherwise two
crashes by a tenant's prompt and one with another cause would blame the system prompt.
"""

import itertools
import math
from collections import OrderedDict
from typing import NamedTuple

from egretshed.quarantine.inputs import (
    INPUT_KINDS,
    kind_of,
)

# Number of crashes without a completed run in between for which an input is blamed.
CRASHES_TO_BLAME = 3
# Crashes are remembered for this long.
MEMORY_S = 600.0
# Reports about one server within this time are about one crash.
SAME_CRASH_S = 1.0
# Servers that are lost within this time of one another have a common cause, such as
# the loss of their host. Those that got the input after an earlier crash do not.
COMMON_CAUSE_S = 0.1
# Difference of the delays of two reports.
REPORT_JITTER_S = 0.01
# Limit on the inputs that are remembered. Those with a single crash go first, the least
# recently suspected ones before others: a caller that crashes servers with a new body
# each time must not push out the evidence against an input that is repeated.
MAX_SUSPECTS = 1000
# Limit on the crashes that are remembered of one input.
MAX_CRASHES_OF_INPUT = 16
# Further reports about a crash may arrive for this long, from nodes that were paused.
LATE_REPORT_S = 30.0


class SuspectRun(NamedTuple):
    """A run of an input that a crash ended; times are monotonic."""

    began_s: float
    crashed_s: float


class Suspicion(NamedTuple):
    """Suspicion of an input in one crash; `inner_ids` are inputs within it there."""

    run: SuspectRun
    inner_ids: frozenset[str]


class Crash(NamedTuple):
    """One crash; `number` is the same for reports about the same one."""

    number: int
    at_s: float


class CrashEvidence:
    """Crashes of the servers of one service, by the inputs that are suspects in them.

    Example::

        run = SuspectRun(began_s=1.0, crashed_s=1.1)
        evidence.record_crash(("system", "tenant"), "engine-1", run)
        input_ids = evidence.culprits([("system", "tenant")], now_s=1.2)
    """

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._suspects: OrderedDict[str, dict[int, Suspicion]] = OrderedDict()
        # Ids of the suspects with a single crash; the values mean nothing.
        self._single: OrderedDict[str, None] = OrderedDict()
        self._last_crash_of: OrderedDict[str, Crash] = OrderedDict()
        self._explained: set[int] = set()

    def record_crash(
        self,
        input_ids: tuple[str, ...],
        server_id: str,
        run: SuspectRun,
        quarantined: frozenset[str] = frozenset(),
    ) -> None:
        """Record that a server crashed during a run of a request.

        A request with an input in `quarantined` explains the crash.
        """
        crash = self._crash(server_id, run.crashed_s)
        if not quarantined.isdisjoint(input_ids):
            self._explain({crash.number})
        if crash.number in self._explained:
            return
        for index, input_id in enumerate(input_ids):
            inner_ids = frozenset(input_ids[index + 1 :])
            self._suspect(input_id, crash.number, Suspicion(run, inner_ids))
        while len(self._suspects) > MAX_SUSPECTS:
            oldest_id = next(iter(self._single or self._suspects))
            self.clear((oldest_id,))

    def _suspect(self, input_id: str, number: int, suspicion: Suspicion) -> None:
        suspicions = self._suspects.setdefault(input_id, {})
        if number in suspicions:
            inner_ids = suspicion.inner_ids | suspicions[number].inner_ids
            suspicion = suspicion._replace(inner_ids=inner_ids)
        suspicions[number] = suspicion
        if len(suspicions) > MAX_CRASHES_OF_INPUT:
            del suspicions[min(suspicions)]
        self._suspects.move_to_end(input_id)
        if len(suspicions) == 1:
            self._single[input_id] = None
            self._single.move_to_end(input_id)
        else:
            self._single.pop(input_id, None)

    def clear(self, input_ids: tuple[str, ...]) -> None:
        """Clear inputs that a server has run without a crash."""
        for input_id in input_ids:
            self._suspects.pop(input_id, None)
            self._single.pop(input_id, None)

    def is_suspect(self, input_id: str) -> bool:
        return input_id in self._suspects

    def crash_count(self, input_id: str, now_s: float) -> int:
        """Return the number of remembered crashes in which an input is a suspect.

        Crashes with a common cause count as one.
        """
        return len(self._counted(input_id, now_s))

    def _counted(self, input_id: str, now_s: float) -> dict[int, Suspicion]:
        """Return one suspicion for each crash that counts, by the crash's number."""
        counted, last_s = {}, -math.inf
        for number, suspicion in self._recent(input_id, now_s):
            run = suspicion.run
            is_apart = run.crashed_s - last_s >= COMMON_CAUSE_S
            if is_apart or run.began_s >= last_s - REPORT_JITTER_S:
                counted[number], last_s = suspicion, run.crashed_s
        return counted

    def _is_culprit(self, input_id: str, now_s: float) -> bool:
        """Return whether enough crashes have no better explanation than an input."""
        counted = self._counted(input_id, now_s)
        inner_ids = {i for suspicion in counted.values() for i in suspicion.inner_ids}
        explained = max(
            (len(counted.keys() & self._suspects.get(i, {}).keys()) for i in inner_ids),
            default=0,
        )
        return len(counted) - max(0, explained - 1) >= CRASHES_TO_BLAME

    def first_crash_s(self, input_id: str, now_s: float) -> float:
        """Return the time of the first remembered crash, `now_s` if there is none."""
        recent = self._recent(input_id, now_s)
        return recent[0][1].run.crashed_s if recent else now_s

    def _recent(self, input_id: str, now_s: float) -> list[tuple[int, Suspicion]]:
        """Return the numbers of crashes and the suspicions, in the order of time."""
        suspicions = self._suspects.get(input_id, {}).items()
        recent = (s for s in suspicions if now_s - s[1].run.crashed_s < MEMORY_S)
        return sorted(recent, key=lambda item: item[1].run.crashed_s)

    def culprits(
        self, requests: list[tuple[str, ...]], now_s: float
    ) -> tuple[str, ...]:
        """Return the inputs to blame, given the input ids of each request of a crash.

        Input ids come outermost first. Of the culprits of several requests those of the
        innermost kind are blamed. Whole requests that are suspects in the same number
        of crashes cannot be told apart and are all blamed.
        """
        found = {
            culprit: self.crash_count(culprit, now_s)
            for input_ids in requests
            if (culprit := self._innermost(input_ids, now_s)) is not None
        }
        if not found:
            return ()
        kind = max(map(kind_of, found), key=list(INPUT_KINDS).index)
        counts = {i: count for i, count in found.items() if kind_of(i) == kind}
        if kind == "prompt_part":
            return (max(counts, key=counts.get),)
        most = max(counts.values())
        return tuple(input_id for input_id, count in counts.items() if count == most)

    def _innermost(self, input_ids: tuple[str, ...], now_s: float) -> str | None:
        for input_id in reversed(input_ids):
            if self._is_culprit(input_id, now_s):
                return input_id
        return None

    def explain(self, input_ids: tuple[str, ...]) -> None:
        """Attribute the crashes of blamed inputs to them alone."""
        for input_id in input_ids:
            numbers = set(self._suspects.get(input_id, {}))
            self.clear((input_id,))
            self._explain(numbers)

    def _explain(self, numbers: set[int]) -> None:
        remembered = {crash.number for crash in self._last_crash_of.values()}
        self._explained = (self._explained | numbers) & remembered
        for input_id, suspicions in list(self._suspects.items()):
            if numbers.isdisjoint(suspicions):
                continue
            for number in numbers:
                suspicions.pop(number, None)
            if not suspicions:
                self.clear((input_id,))
            elif len(suspicions) == 1:
                self._single[input_id] = None

    def _crash(self, server_id: str, now_s: float) -> Crash:
        self._forget(now_s)
        known = self._last_crash_of.get(server_id)
        if known is None or now_s - known.at_s >= SAME_CRASH_S:
            known = self._last_crash_of[server_id] = Crash(next(self._numbers), now_s)
            self._last_crash_of.move_to_end(server_id)
        return known

    def _forget(self, now_s: float) -> None:
        """Drop crashes that are too old for a further report to be about them."""
        while self._last_crash_of:
            server_id = next(iter(self._last_crash_of))
            if now_s - self._last_crash_of[server_id].at_s < LATE_REPORT_S:
                return
            del self._last_crash_of[server_id]
