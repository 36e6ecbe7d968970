"""Memory and time of `CrashEvidence` while a caller crashes servers with new bodies.

Each crash ends one new request and some others. One request is repeated among them.

    python -m bench.crash_evidence_cost --crashes-per-s 10 --others 7 --repeat-s 10
"""

import argparse
import time
import tracemalloc
from typing import NamedTuple

from egretshed.quarantine.crash_evidence import (
    CrashEvidence,
    SuspectRun,
)

MAX_CRASHES = 20000
MAX_DURATION_S = 900.0
REPEATED_ID = "request:repeated"


class Cost(NamedTuple):
    crashes: int
    seconds_per_input: float
    blamed_after_s: float | None


def report_crashes(crashes_per_s: float, others: int, repeat_s: float) -> Cost:
    """Report crashes until a limit; the times are those of reports and judgements."""
    evidence = CrashEvidence()
    next_s, spent_s, inputs, crashes = 1.0, 0.0, 0, 0
    blamed_after_s = None
    while crashes < min(MAX_CRASHES, MAX_DURATION_S * crashes_per_s):
        crashes += 1
        now_s = crashes / crashes_per_s
        requests = [(f"request:{crashes:024x}{i:08x}",) for i in range(others + 1)]
        if now_s >= next_s:
            requests.append((REPEATED_ID,))
            next_s += repeat_s
        began_s = time.perf_counter()
        for input_ids in requests:
            run = SuspectRun(now_s - 0.05, now_s)
            evidence.record_crash(input_ids, f"server-{crashes}", run)
        blamed = evidence.culprits(requests, now_s)
        evidence.explain(blamed)
        spent_s += time.perf_counter() - began_s
        inputs += len(requests)
        if blamed and blamed_after_s is None:
            blamed_after_s = now_s
    return Cost(crashes, spent_s / inputs, blamed_after_s)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--crashes-per-s", type=float, default=10.0)
    parser.add_argument("--others", type=int, default=7)
    parser.add_argument("--repeat-s", type=float, default=10.0)
    options = parser.parse_args()
    arguments = (options.crashes_per_s, options.others, options.repeat_s)
    tracemalloc.start()
    report_crashes(*arguments)
    peak_mb = tracemalloc.get_traced_memory()[1] / 1e6
    tracemalloc.stop()
    cost = report_crashes(*arguments)
    print(
        f"{cost.crashes} crashes, {peak_mb:.2f} MB,"
        f" {cost.seconds_per_input * 1e6:.1f} us an input,"
        f" repeated request blamed after {cost.blamed_after_s} s"
    )


if __name__ == "__main__":
    main()
