import asyncio
from collections import Counter
from types import SimpleNamespace

from behave import (
    given,
    then,
    when,
)

from egretshed.admission.concurrency import (
    WINDOW_S,
    ConcurrencyLimit,
)
from egretshed.admission.entries import AdmissionRequest
from egretshed.admission.queue import AdmissionQueue
from egretshed.configuration.schema import (
    EMPTY_CONFIGURATION,
    Customer,
)
from egretshed.errors import NotRun
from egretshed.retries.stage_times import StageTimes
from standins.clock import ManualClock
from standins.environments import (
    make_environment,
    make_settings,
)


class FakeCapacity:
    def __init__(self, running_limits):
        self.running_limits = running_limits
        self.slots = {}
        self.lends_after = Counter()
        self.slot_requests = Counter()

    def max_requests(self, pool):
        return self.running_limits.get(pool, 0)

    def expected_slots(self, pool):
        return self.slots.get(pool)

    def lends_after_s(self, pool):
        return self.lends_after[pool]

    def request_slots(self, pool):
        self.slot_requests[pool] += 1


class Node:
    """An admission queue on a manual clock, and the requests submitted to it."""

    def __init__(
        self, running, queued=1000, cost_s=0.01, shares=(), capacity=None, **fields
    ):
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        admission = {"running_requests": running, "queue_requests": queued, **fields}
        settings = make_settings(admission=admission)
        env = make_environment(self.clock, settings=settings)
        customers = {name: Customer((), share) for name, share in shares}
        source = SimpleNamespace(
            current=EMPTY_CONFIGURATION._replace(customers=customers)
        )
        times = StageTimes(env)
        for pool in ("pool", "other"):
            for _ in range(200):
                times.observe(pool, cost_s, cost_s)
        self.queue = AdmissionQueue(env, source, times, capacity)
        self.loop.create_task(self.queue.run())
        self.tasks = []
        self.order = []
        self.tickets = []

    def submit(self, name, customer, deadline_s, priority=5, pool="pool"):
        request = AdmissionRequest(
            name, customer, "kind", priority, deadline_s, (pool,)
        )
        task = self.loop.create_task(self._admit(request))
        self.tasks.append((customer, task))

    async def _admit(self, request):
        ticket = await self.queue.admit(request)
        self.order.append(request.request_id)
        self.tickets.append(ticket)
        return ticket

    def settle(self, seconds=0.0):
        self.loop.run_until_complete(self.clock.advance(seconds))

    def drain(self):
        """Release the running requests one after the other until none is left."""
        while self.tickets:
            self.tickets.pop(0).release(completed=False)
            self.settle()

    def close(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        self.loop.run_until_complete(gathered)
        self.loop.close()

    def results(self, customer):
        tasks = [task for name, task in self.tasks if name == customer]
        counts = Counter()
        for task in tasks:
            if not task.done():
                counts["waiting"] += 1
            elif isinstance(task.exception(), NotRun):
                counts[task.exception().reason] += 1
            else:
                counts["admitted"] += 1
        return counts

    def retry_delays(self):
        done = [task for _, task in self.tasks if task.done()]
        errors = [task.exception() for task in done if task.exception()]
        return [error.retry_after_s for error in errors]


def use_node(context, node):
    context.node = node
    context.add_cleanup(node.close)


@given("at most 1 running request, first come, first served, and shares {shares}")
def first_come_node(context, shares):
    node_with_shares(context, shares, first_come=True)


@given("at most 1 running request and shares {shares}")
def node_with_shares(context, shares, **fields):
    pairs = [part.split("=") for part in shares.split(", ")]
    shares = [(name, float(share)) for name, share in pairs]
    use_node(context, Node(1, shares=shares, **fields))


@given("at most {running:d} running requests, a queue of {size:d}, calls of {cost:g} s")
def node_with_queue_size(context, running, size, cost):
    use_node(context, Node(running, size, cost))


@given("at most {running:d} running requests and {count:d} slots available")
def node_with_slots(context, running, count):
    use_node(context, Node(running, capacity=FakeCapacity({"pool": count})))


@given('a request of customer "x" runs')
def run_one_request(context):
    run_requests(context, 1)


@given('{count:d} requests of customer "x" run')
def run_requests(context, count):
    for index in range(count):
        context.node.submit(f"x{index}", "x", 60.0)
    context.node.settle()
    assert len(context.node.tickets) == count
    context.node.order.clear()


@when("{queued} are queued (customer:priority:deadline)")
def queue_listed(context, queued):
    for item in queued.split():
        name, priority, deadline = item.split(":")
        customer = name.rstrip("0123456789")
        context.node.submit(name, customer, float(deadline), int(priority))
    context.node.settle()


@then("they run in the order {order}")
def check_order(context, order):
    context.node.drain()
    assert context.node.order == order.split(), context.node.order


@when('customer "a" queues {count:d} requests and then customer "b" queues 1')
def queue_one_behind_many(context, count):
    for index in range(count):
        context.node.submit(f"a{index}", "a", 60.0)
    context.node.settle()
    context.node.submit("b", "b", 60.0)
    context.node.settle()


@then('the request of customer "b" runs after at most {count:d} of "a"')
def check_position_of_b(context, count):
    context.node.drain()
    assert context.node.order.index("b") <= count, context.node.order[:10]


@when('customer "{name}" queues {count:d} request with deadline {deadline:g} s')
@when('customer "{name}" queues {count:d} requests with deadline {deadline:g} s')
def queue_many(context, name, count, deadline):
    for index in range(count):
        context.node.submit(f"{name}{index}", name, deadline)
    context.node.settle()


@when("{seconds:g} s pass")
def let_time_pass(context, seconds):
    context.node.settle(seconds)


@then('the results of customer "{name}" are {results}')
def check_results(context, name, results):
    words = results.split()
    expected = {words[i]: int(words[i + 1]) for i in range(0, len(words), 2)}
    actual = context.node.results(name)
    assert actual == expected, actual


@then("every refusal has a retry delay")
def check_retry_delays(context):
    assert all(delay_s > 0 for delay_s in context.node.retry_delays())


@then("at most {most:d} retry delays end within the same second")
def check_spread(context, most):
    seconds = Counter(int(delay_s) for delay_s in context.node.retry_delays())
    assert seconds.total() >= 990 and max(seconds.values()) <= most, seconds


@given("a concurrency limit of {start:d} that may grow to {most:d}")
def create_limit(context, start, most):
    context.clock = ManualClock()
    settings = make_settings(admission={"running_requests": most})
    env = make_environment(context.clock, settings=settings)
    context.limit = ConcurrencyLimit(env)
    context.limit.limit = float(start)


@when("{late:d} of 10 requests are late in each of {windows:d} windows")
def end_requests(context, late, windows):
    limit = context.limit
    for _ in range(windows):
        while limit.available():
            limit.record_start()
        limit.available()
        asyncio.run(context.clock.advance(WINDOW_S / 2))
        for index in range(9):
            limit.record_end(in_time=index >= late)
        asyncio.run(context.clock.advance(WINDOW_S / 2))
        limit.record_end(in_time=late < 10)


@then("the limit is between {least:d} and {most:d}")
def check_limit(context, least, most):
    assert least <= context.limit.limit <= most, context.limit.limit


@when('the running request ends and all requests of "a" are cancelled')
def end_and_cancel(context):
    context.node.tickets[0].release(completed=True)
    for customer, task in context.node.tasks:
        if customer == "a":
            task.cancel()
    context.node.settle()


@then("{count:d} requests run")
def check_running(context, count):
    assert context.node.queue.concurrency.running == count


@then("{count:d} requests are queued")
def check_queued(context, count):
    assert context.node.queue.queued == count


@when('customer "{name}" queues {count:d} requests for pool "{pool}"')
def queue_for_pool(context, name, count, pool):
    for index in range(count):
        context.node.submit(f"{name}{index}", name, 10.0, pool=pool)
    context.node.settle()


@given("no owner lends slots for {seconds:g} s")
@when("the owners report that they lend no slots for {seconds:g} s")
def lend_no_slots(context, seconds):
    context.node.queue._capacity.lends_after["pool"] = seconds
    context.node.settle(0.1)


@then("more slots of the pool have been requested")
def check_slot_requests(context):
    assert context.node.queue._capacity.slot_requests["pool"] > 0


@then("every refusal has a retry delay of at least {least_s:g} s")
def check_minimum_delay(context, least_s):
    delays_s = context.node.retry_delays()
    assert delays_s and min(delays_s) >= least_s, delays_s


@given("calls of {cost_s:g} s on {slots:d} slots, {running:d} of them in use")
def node_with_slots_in_use(context, cost_s, slots, running):
    capacity = FakeCapacity({"pool": slots})
    capacity.slots["pool"] = slots
    use_node(context, Node(50, cost_s=cost_s, capacity=capacity))
    run_requests(context, running)
