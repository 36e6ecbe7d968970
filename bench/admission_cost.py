"""Measures the CPU time of one admission at several queue lengths and customer counts.

Each step releases one running request, which grants the next one in turn, and admits a
new one, so that the queue length stays the same. Run it with
``PYTHONPATH=. python -m bench.admission_cost``; it prints microseconds per step.
"""

import asyncio
import time
from types import SimpleNamespace

from egretshed.admission.entries import AdmissionRequest
from egretshed.admission.queue import AdmissionQueue
from egretshed.configuration.schema import EMPTY_CONFIGURATION
from egretshed.retries.stage_times import StageTimes
from standins.clock import ManualClock
from standins.environments import (
    make_environment,
    make_settings,
)

QUEUED = (100, 1_000, 10_000)
CUSTOMERS = (10, 100, 4_100)
STEPS = 2_000
RUNNING = 256


async def measure(queued: int, customers: int) -> float:
    """Return the CPU microseconds of one admit, grant and release."""
    settings = make_settings(
        admission={"running_requests": RUNNING, "queue_requests": queued + 1}
    )
    env = make_environment(ManualClock(), settings=settings)
    source = SimpleNamespace(current=EMPTY_CONFIGURATION)
    queue = AdmissionQueue(env, source, StageTimes(env))
    tickets: list = []
    tasks = []

    async def admit(number: int) -> None:
        customer = f"c{number % customers}"
        request = AdmissionRequest(str(number), customer, "k", 5, 1e6, ("pool",))
        tickets.append(await queue.admit(request))

    for number in range(RUNNING + queued):
        tasks.append(asyncio.create_task(admit(number)))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert queue.queued == queued
    started_s = time.process_time()
    for number in range(STEPS):
        tasks.append(asyncio.create_task(admit(number)))
        await asyncio.sleep(0)
        tickets.pop(0).release(completed=True)
        await asyncio.sleep(0)
    spent_s = time.process_time() - started_s
    assert queue.queued == queued
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return spent_s / STEPS * 1e6


def main() -> None:
    print("queued customers us_per_admit")
    for queued in QUEUED:
        for customers in CUSTOMERS:
            cost_us = asyncio.run(measure(queued, customers))
            print(f"{queued:6} {customers:9} {cost_us:.0f}")


if __name__ == "__main__":
    main()
