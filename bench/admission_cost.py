"""Measures the CPU time of one admission by queue length and number of customers.

Each step enqueues one request and releases a running one, which admits the next queued
request, so that the queue length stays constant. The report has the CPU time of a step
in microseconds.

Example::

    PYTHONPATH=. python -m bench.admission_cost
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

QUEUE_LENGTHS = (100, 1_000, 10_000)
CUSTOMER_COUNTS = (10, 100, 4_100)
STEPS = 2_000
RUNNING_REQUESTS = 256


async def measure(queued: int, customers: int) -> float:
    """Return the CPU time in microseconds to enqueue, admit and release a request."""
    settings = make_settings(
        admission={"running_requests": RUNNING_REQUESTS, "queue_requests": queued + 1}
    )
    env = make_environment(ManualClock(), settings=settings)
    configuration_source = SimpleNamespace(current=EMPTY_CONFIGURATION)
    queue = AdmissionQueue(env, configuration_source, StageTimes(env))
    tickets: list = []
    tasks = []

    async def admit(number: int) -> None:
        customer = f"c{number % customers}"
        request = AdmissionRequest(str(number), customer, "k", 5, 1e6, ("pool",))
        tickets.append(await queue.admit(request))

    for number in range(RUNNING_REQUESTS + queued):
        tasks.append(asyncio.create_task(admit(number)))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert queue.queued == queued
    started_cpu_s = time.process_time()
    for number in range(STEPS):
        tasks.append(asyncio.create_task(admit(number)))
        await asyncio.sleep(0)
        tickets.pop(0).release(completed=True)
        await asyncio.sleep(0)
    elapsed_cpu_s = time.process_time() - started_cpu_s
    assert queue.queued == queued
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return elapsed_cpu_s / STEPS * 1e6


def main() -> None:
    print("queued customers us_per_admit")
    for queued in QUEUE_LENGTHS:
        for customers in CUSTOMER_COUNTS:
            cost_us = asyncio.run(measure(queued, customers))
            print(f"{queued:6} {customers:9} {cost_us:.0f}")


if __name__ == "__main__":
    main()
