"""Takes a failure domain out of service and back under load, and measures the effect.

`python -m bench.domain_change` prints when the last call started in the domain after
the change was in force on the first node, how the calls that were running there ended,
and the attainment (the share of requests answered in time) before, during and after.
The exit status is 0 only if the last call started within 2 s, no call was cut off, the
attainment while the domain was out was at most one percentage point lower than before,
and no promise was broken.
"""

import argparse
import asyncio
import sys
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

from bench.check import (
    LEAVING_LIMIT_S,
    Breach,
)
from bench.records import RequestRecord
from bench.run import (
    Run,
    change_domain,
    print_breaches,
    print_outcomes,
    running_cluster,
    stop_and_check,
)
from bench.schedule import (
    Load,
    plan_requests,
    read_deployment,
)
from bench.traces import (
    activation_times_s,
    logged_faults,
    unexplained_connection_losses,
)
from bench.windows import (
    Window,
    print_windows,
)

NODES = 7
RATE_PER_S = 8.0
MAX_LOAD_S = 300.0
BEFORE_S = 30.0
OUT_S = 30.0
AFTER_S = 20.0
MAX_ATTAINMENT_DROP = 0.01
# Rounding is needed because 1.0 - 0.99 is more than 0.01 in floating point.
ROUNDED_DIGITS = 9


class Change(NamedTuple):
    """Monotonic times of the change.

    `version` is the configuration version with the domain out. The plans that take the
    domain out and back in are proposed at `ordered_s` and `returned_s`; the load is
    measured from `start_s` to `end_s`.
    """

    domain: str
    version: int
    start_s: float
    ordered_s: float
    returned_s: float
    end_s: float


class DomainCalls(NamedTuple):
    """Calls in the domain while the change took effect.

    `running` calls had started before the change was in force; `cut_off` of these did
    not complete. `started_later` is the number of calls that started after it, the last
    one `last_start_s` seconds after.
    """

    running: int
    cut_off: int
    started_later: int
    last_start_s: float


async def take_domain_out_and_in(run: Run) -> Change:
    """Take the first failure domain out and back in, with waits in between."""
    clock = run.cluster.clock
    domain = run.cluster.domains[0]
    start_s = clock.monotonic_s()
    await clock.sleep(BEFORE_S)
    ordered_s = clock.monotonic_s()
    await change_domain(run, domain, out=True)
    version = max(sample.version for sample in run.watcher.latest.values())
    await clock.sleep(OUT_S)
    returned_s = clock.monotonic_s()
    await change_domain(run, domain, out=False)
    await clock.sleep(AFTER_S)
    return Change(domain, version, start_s, ordered_s, returned_s, clock.monotonic_s())


def calls_in_domain(
    servers: list[dict[str, Any]], change: Change, in_force_s: float
) -> DomainCalls:
    """Count the calls in the domain around `in_force_s`, from the servers' records."""
    calls = [
        call
        for server in servers
        if server["failure_domain"] == change.domain
        for call in server["calls"]
    ]
    running = [
        call
        for call in calls
        if call["start_s"] < in_force_s
        and (call["end_s"] is None or call["end_s"] > in_force_s)
    ]
    later = [
        call["start_s"] - in_force_s
        for call in calls
        if in_force_s <= call["start_s"] < change.returned_s
    ]
    return DomainCalls(
        running=len(running),
        cut_off=sum(call["outcome"] != "completed" for call in running),
        started_later=len(later),
        last_start_s=max(later, default=0.0),
    )


async def measure(deployment: Path, seed: int, rate: float) -> int:
    async with running_cluster(deployment, NODES, seed) as run:
        load = Load(rate, MAX_LOAD_S, seed=seed, run="domain")
        sending = run.start_load(plan_requests(read_deployment(deployment), load))
        change = await take_domain_out_and_in(run)
        run.driver.stop()
        records = await sending
        servers = await run.cluster.backend_records()
        times_s = activation_times_s(run.cluster, change.version)
        calls = calls_in_domain(servers, change, min(times_s.values()))
        breaches = await stop_and_check(run, records, {})
        breaches += logged_faults(run.cluster.folder)
        breaches += unexplained_connection_losses([r.to_body() for r in records], [])
        windows = windows_of(change)
        breaches += limit_breaches(windows, records, calls)
        print_outcomes(records)
        print_windows(windows, records)
        spread_s = max(times_s.values()) - min(times_s.values())
        print(f"change in force on {len(times_s)} nodes within {spread_s:.2f} s")
        print(f"calls in {change.domain}: {calls}")
        print_breaches(breaches)
        return 1 if breaches else 0


def windows_of(change: Change) -> list[Window]:
    return [
        Window("before", change.start_s, change.ordered_s),
        Window("domain out", change.ordered_s, change.returned_s),
        Window("domain back", change.returned_s, change.end_s),
    ]


def limit_breaches(
    windows: list[Window], records: list[RequestRecord], calls: DomainCalls
) -> list[Breach]:
    """Return the limits that the change did not keep, empty if it kept all."""
    before, out, _ = (window.attainment(records) for window in windows)
    breaches = []
    if calls.last_start_s > LEAVING_LIMIT_S:
        breaches.append(
            Breach(
                "P3", f"last call started {calls.last_start_s:.2f} s after the change"
            )
        )
    if calls.cut_off:
        breaches.append(
            Breach("P8", f"{calls.cut_off} calls in the domain were cut off")
        )
    if round(before - out, ROUNDED_DIGITS) > MAX_ATTAINMENT_DROP:
        breaches.append(
            Breach(
                "attainment", f"{out:.2%} with the domain out instead of {before:.2%}"
            )
        )
    return breaches


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", type=Path, default=Path("examples/laurentien"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--rate", type=float, default=RATE_PER_S, help="requests per second"
    )
    options = parser.parse_args()
    sys.exit(asyncio.run(measure(options.deployment, options.seed, options.rate)))


if __name__ == "__main__":
    main()
