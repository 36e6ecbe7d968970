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
    def __init__(self, rooms):
        self.rooms = rooms
        self.likely_slots = {}
        self.lends_after = Counter()
        self.asked = Counter()

    def max_requests(self, pool):
        return self.rooms.get(pool, 0)

    def expected_slots(self, pool):
        return self.likely_slots.get(pool)

    def lends_after_s(self, pool):
        return self.lends_after[pool]

    def request_slots(self, pool):
        self.asked[pool] += 1


class Node:
    """A queue on a manual clock with the admissions asked of it."""

    def __init__(
        self, slots, room=1000, cost_s=0.01, shares=(), capacity=None, **fields
    ):
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        admission = {"running_requests": slots, "queue_requests": room, **fields}
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
        """End running requests one after the other until none is left."""
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

    def answers(self, customer):
        mine = [task for name, task in self.tasks if name == customer]
        counts = Counter()
        for task in mine:
            if not task.done():
                counts["waiting"] += 1
            elif isinstance(task.exception(), NotRun):
                counts[task.exception().reason] += 1
            else:
                counts["admitted"] += 1
        return counts

    def return_times(self):
        ended = [task for _, task in self.tasks if task.done()]
        failed = [task.exception() for task in ended if task.exception()]
        return [failure.retry_after_s for failure in failed]


def use_node(context, node):
    context.node = node
    context.add_cleanup(node.close)


@given("1 running request at most, first come, and shares {shares}")
def first_come_node(context, shares):
    node_with_shares(context, shares, first_come=True)


@given("1 running request at most, and shares {shares}")
def node_with_shares(context, shares, **fields):
    pairs = [part.split("=") for part in shares.split(", ")]
    shares = [(name, float(share)) for name, share in pairs]
    use_node(context, Node(1, shares=shares, **fields))


@given("{slots:d} running requests at most, a queue of {room:d}, calls of {cost:g} s")
def node_with_room(context, slots, room, cost):
    use_node(context, Node(slots, room, cost))


@given("{slots:d} running requests at most and {count:d} slots available")
def node_with_available(context, slots, count):
    use_node(context, Node(slots, capacity=FakeCapacity({"pool": count})))


@given('a request of customer "x" runs')
def one_runs(context):
    requests_run(context, 1)


@given('{count:d} requests of customer "x" run')
def requests_run(context, count):
    for index in range(count):
        context.node.submit(f"x{index}", "x", 60.0)
    context.node.settle()
    assert len(context.node.tickets) == count
    context.node.order.clear()


@when("{queued} are queued (customer:priority:deadline)")
def queue_them(context, queued):
    for item in queued.split():
        name, priority, deadline = item.split(":")
        customer = name.rstrip("0123456789")
        context.node.submit(name, customer, float(deadline), int(priority))
    context.node.settle()


@then("they run in the order {order}")
def run_order(context, order):
    context.node.drain()
    assert context.node.order == order.split(), context.node.order


@when('customer "a" queues {flood:d} requests and then customer "b" queues 1')
def flood(context, flood):
    for index in range(flood):
        context.node.submit(f"a{index}", "a", 60.0)
    context.node.settle()
    context.node.submit("b", "b", 60.0)
    context.node.settle()


@then('the request of customer "b" runs after at most {count:d} of "a"')
def b_position(context, count):
    context.node.drain()
    assert context.node.order.index("b") <= count, context.node.order[:10]


@when('customer "{name}" queues {count:d} request with deadline {deadline:g} s')
@when('customer "{name}" queues {count:d} requests with deadline {deadline:g} s')
def queue_many(context, name, count, deadline):
    for index in range(count):
        context.node.submit(f"{name}{index}", name, deadline)
    context.node.settle()


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    context.node.settle(seconds)


@then('the answers of "{name}" are {answers}')
def answers(context, name, answers):
    words = answers.split()
    expected = {words[i]: int(words[i + 1]) for i in range(0, len(words), 2)}
    got = context.node.answers(name)
    assert got == expected, got


@then("every refusal names a return time")
def return_times(context):
    assert all(after_s > 0 for after_s in context.node.return_times())


@then("no second holds more than {most:d} of the return times")
def spread(context, most):
    seconds = Counter(int(after_s) for after_s in context.node.return_times())
    assert seconds.total() >= 990 and max(seconds.values()) <= most, seconds


@given("a concurrency limit of at most {most:d}, now at {start:d}")
def limit(context, most, start):
    context.clock = ManualClock()
    settings = make_settings(admission={"running_requests": most})
    env = make_environment(context.clock, settings=settings)
    context.limit = ConcurrencyLimit(env)
    context.limit.limit = float(start)


@when("{late:d} of 10 answers are late in each of {windows:d} windows")
def answers_late(context, late, windows):
    limit = context.limit
    for _ in range(windows):
        while limit.free():
            limit.started()
        limit.free()
        asyncio.run(context.clock.advance(WINDOW_S / 2))
        for index in range(9):
            limit.ended(in_time=index >= late)
        asyncio.run(context.clock.advance(WINDOW_S / 2))
        limit.ended(in_time=late < 10)


@then("the limit is from {least:d} to {most:d}")
def limit_is(context, least, most):
    assert least <= context.limit.limit <= most, context.limit.limit


@when('all requests of "a" are cancelled and the running one ends')
def cancel_all(context):
    context.node.tickets[0].release(completed=True)
    for customer, task in context.node.tasks:
        if customer == "a":
            task.cancel()
    context.node.settle()


@then("{count:d} requests run")
def running(context, count):
    assert context.node.queue.concurrency.running == count


@then("{count:d} requests are queued")
def queued(context, count):
    assert context.node.queue.queued == count


@when('customer "{name}" queues {count:d} requests for pool "{pool}"')
def queue_for_pool(context, name, count, pool):
    for index in range(count):
        context.node.submit(f"{name}{index}", name, 10.0, pool=pool)
    context.node.settle()


@given("no owner lends slots for {seconds:g} s")
@when("the owners say that they lend nothing for {seconds:g} s")
def lends_nothing(context, seconds):
    context.node.queue._capacity.lends_after["pool"] = seconds
    context.node.settle(0.1)


@then("more slots of the pool were asked for")
def slots_asked(context):
    assert context.node.queue._capacity.asked["pool"] > 0


@then("every refusal names a return time from {least_s:g} s on")
def returns_after(context, least_s):
    times_s = context.node.return_times()
    assert times_s and min(times_s) >= least_s, times_s


@given("calls of {cost_s:g} s on {slots:d} slots, {running:d} of them in use")
def likely_slots(context, cost_s, slots, running):
    capacity = FakeCapacity({"pool": slots})
    capacity.likely_slots["pool"] = slots
    use_node(context, Node(50, cost_s=cost_s, capacity=capacity))
    requests_run(context, running)
