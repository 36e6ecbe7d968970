import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed.peers.network import Sender
from egretshed.slots.records import (
    CallObservation,
)
from standins.clock import ManualClock
from standins.fake_backends import FakeServer
from standins.fake_membership import (
    FakeShare,
    make_configuration,
)
from standins.peers import InMemoryNetwork
from standins.slot_nodes import SlotNode


@given("{count:d} nodes that share a {state} server")
def nodes_share(context, count, state):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(stop, context)
    run(context, start_nodes(context, count, state == "warm"))


async def start_nodes(context, count, warm):
    context.clock = ManualClock()
    context.network = InMemoryNetwork(context.clock)
    context.server = FakeServer(context.clock, warm=warm)
    context.configuration = make_configuration()
    node_ids = [f"n{index}" for index in range(count)]
    servers = {"p-0": context.server}
    context.nodes = [
        SlotNode(name, node_ids, context.network, context.configuration, servers)
        for name in node_ids
    ]
    replica = context.configuration.pools["p"].replicas[0]
    owner = context.nodes[0].membership.owner_of(replica, "r")
    context.owner = next(node for node in context.nodes if node.node_id == owner)
    context.other = next(node for node in context.nodes if node.node_id != owner)
    context.other_s = context.clock.monotonic_s()
    await context.clock.advance(8)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def stop(context):
    tasks = asyncio.all_tasks(context.loop)
    for task in tasks:
        task.cancel()
    run(context, asyncio.wait(tasks))
    context.loop.close()


async def start_calls(context, node, count, duration_s):
    context.calls = [
        asyncio.ensure_future(node.call(f"{node.node_id}/{index}", duration_s))
        for index in range(count)
    ]
    await context.clock.advance(0.1)


@when("a node other than the owner runs {count:d} calls of {duration_s:g} s")
def other_runs(context, count, duration_s):
    run(context, start_calls(context, context.other, count, duration_s))
    assert len(context.server.calls) + sum(c.done() for c in context.calls) == count


@when(
    "a node other than the owner runs {count:d} calls of {duration_s:g} s and crashes"
)
def other_runs_and_crashes(context, count, duration_s):
    other_runs(context, count, duration_s)
    context.other.task.cancel()
    context.network.detach(context.other.node_id)


@when("the owner runs {count:d} calls of {duration_s:g} s")
def owner_runs(context, count, duration_s):
    run(context, start_calls(context, context.owner, count, duration_s))
    assert len(context.server.calls) == count, context.server.calls


@given("calls may last {max_call_s:d} s")
def calls_last(context, max_call_s):
    kinds = context.configuration.kinds
    change_configuration(
        context, kinds={"k": kinds["k"]._replace(deadline_s=max_call_s)}
    )


@given("a failed node is detected within {bound_s:g} s")
def detected_within(context, bound_s):
    for node in context.nodes:
        node.membership.bound_s = bound_s


@when("the owner crashes and the other nodes detect it")
def owner_crashes(context):
    context.owner.task.cancel()
    context.network.detach(context.owner.node_id)
    alive = {node.node_id for node in context.nodes} - {context.owner.node_id}
    for node in context.nodes:
        node.membership.reachable_ids = alive
        node.membership.listed_ids = sorted(alive)
    run(context, context.clock.advance(0))


@when("{count:d} calls from another partition are running and the server turns cold")
def calls_from_another_partition(context, count):
    for number in range(count):
        context.server.start(f"elsewhere/{number}")
    context.server.set_warm(False)


@when("the owner's membership is unsettled for {seconds:g} s")
def owner_unsettled(context, seconds):
    context.owner.membership.settled = False
    run(context, context.clock.advance(seconds))


@when("the owner is paused for {seconds:g} s")
def owner_pauses(context, seconds):
    context.owner.pause()
    run(context, context.clock.advance(seconds))
    context.owner.resume()
    run(context, context.clock.advance(0))


@then("the {which} lends {count:d} slots")
def lendable_is(context, which, count):
    (owned,) = [
        owned
        for node in context.nodes
        if not node.task.done()
        for owned in node.service.owned()
    ]
    lendable = max(0, owned.lendable - owned.foreign_calls)
    assert lendable == count, owned


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    run(context, context.clock.advance(seconds))


def status(context):
    return context.owner.service.owned()[0]


@then("the owner counts {count:d} slots as committed")
def owner_counts(context, count):
    assert status(context).committed == count, status(context)


@then("the owner's limit is {limit:d}")
def owner_limit(context, limit):
    assert status(context).limit == limit, status(context)


@when("a call with a cold sign ends on the owner")
def cold_sign_call(context):
    run(context, cold_call(context))


async def cold_call(context):
    borrower = context.owner.service.borrower
    await wait_for_slot(context, context.owner)
    slot = borrower.take("p-0", "cold-call", 3.0)
    context.server.set_warm(False)
    borrower.release(slot, CallObservation(True, 2.0, 2.0, seems_cold=True))
    await context.clock.advance(0.05)


async def wait_for_slot(context, node):
    waiting = node.service.borrower.wait_for_slot(["p-0"], 0.9)
    waiter = asyncio.ensure_future(waiting)
    while not waiter.done():
        await context.clock.advance(0.05)
    return waiter.result()


@then("the other node has no free slot")
def other_has_none(context):
    view = context.other.service.borrower.view("p-0")
    assert view.free == 0, view


@then("a new call of the other node gets no slot")
def other_gets_none(context):
    assert not run(context, wait_for_slot(context, context.other))


@when("it returns its loans")
def returns_loans(context):
    run(context, context.other.service.return_loans())


@then("no message was sent")
def no_message(context):
    assert context.network.sent_messages == 0, context.network.sent_messages


@when("its failure domain is taken out")
def domain_out(context):
    domains = context.configuration.failure_domains
    out = {name: domain._replace(out=True) for name, domain in domains.items()}
    change_configuration(context, failure_domains=out)


@when("the server is draining")
def draining(context):
    pool = context.configuration.pools["p"]
    replica = pool.replicas[0]._replace(draining=True)
    change_configuration(context, pools={"p": pool._replace(replicas=(replica,))})


def change_configuration(context, **fields):
    for node in context.nodes:
        node.configuration.current = context.configuration._replace(**fields)


@when("the VM list says that the server leaves")
def listed_leaving(context):
    for node in context.nodes:
        node.membership.leaving_replicas.add("p-0")


@when("the load report says that the server leaves")
def reported_leaving(context):
    context.server.leaving = True


@when("membership is unsettled")
def unsettled(context):
    context.other.membership.settled = False


@when("a node other than the owner requests a call of up to {max_call_s:d} s")
def long_call(context, max_call_s):
    context.attempts = run(context, take_twice(context, max_call_s))


async def take_twice(context, max_call_s):
    borrower = context.other.service.borrower
    await wait_for_slot(context, context.other)
    first = borrower.take("p-0", "long-1", max_call_s)
    await wait_for_slot(context, context.other)
    return first, borrower.take("p-0", "long-2", max_call_s)


@then("it gets no slot at first and one within 1 s")
def refused_then_taken(context):
    first, second = context.attempts
    assert first is None and second is not None, context.attempts


@when("all nodes keep running calls of {duration_s:g} s for {seconds:d} s")
def all_nodes_call(context, duration_s, seconds):
    context.completed = {node.node_id: 0 for node in context.nodes}
    run(context, keep_all_nodes_calling(context, duration_s, seconds))


async def keep_all_nodes_calling(context, duration_s, seconds):
    async def keep_calling(node, worker):
        number = 0
        while True:
            number += 1
            attempt_id = f"{node.node_id}/{worker}/{number}"
            if await node.call(attempt_id, duration_s):
                context.completed[node.node_id] += 1

    for node in context.nodes:
        for worker in range(3):
            asyncio.ensure_future(keep_calling(node, worker))
    await context.clock.advance(seconds)


@then("each node completed at least {count:d} calls")
def each_completed(context, count):
    assert min(context.completed.values()) >= count, context.completed


def remaining_nodes(context):
    return [node for node in context.nodes if not node.task.done()]


@when("the remaining nodes request a slot and {seconds:g} s pass")
def remaining_nodes_request(context, seconds):
    for node in remaining_nodes(context):
        node.service.borrower.request_slots(["p-0"])
    run(context, context.clock.advance(seconds))


@then("the owner tells them that it lends nothing for {seconds:g} s")
def lends_nothing_for(context, seconds):
    for node in remaining_nodes(context):
        view = node.service.borrower.view("p-0")
        assert abs(view.lends_after_s - seconds) < 0.8, view


@given("{seconds:g} s pass")
def pass_time_before(context, seconds):
    run(context, context.clock.advance(seconds))


@given("a node other than the owner runs {count:d} calls of {duration_s:g} s")
def other_runs_before(context, count, duration_s):
    other_runs(context, count, duration_s)


@when("the owner leaves and {case}")
def owner_leaves(context, case):
    run(context, leave(context, case))


def next_owner_id(context):
    """Return the id of the node that owns the replica once the owner has left."""
    membership = context.owner.membership
    membership.leaving_nodes.add(context.owner.node_id)
    replica = context.configuration.pools["p"].replicas[0]
    successor = membership.owner_of(replica, "r")
    membership.leaving_nodes.clear()
    return successor


@when("a node that will not be the new owner runs {count:d} calls of {duration_s:g} s")
def third_node_runs(context, count, duration_s):
    taken = {context.owner.node_id, next_owner_id(context)}
    context.third = next(n for n in context.nodes if n.node_id not in taken)
    run(context, start_calls(context, context.third, count, duration_s))
    assert len(context.server.calls) == count, context.server.calls


async def leave(context, case):
    name = context.owner.node_id
    others = [node for node in context.nodes if node is not context.owner]
    successor = next_owner_id(context)
    context.owner.membership.leaving_nodes.add(name)
    context.successor = next(n for n in others if n.node_id == successor)
    if case == "its answers are lost":
        # The reply takes the same route as the offer, which must arrive, so the
        # request is cut instead.
        context.network.blocked_links.add((successor, name))
    elif case.startswith("its answers come after"):
        context.network.delay_s[successor, name] = 0.7
    elif case == "it has paused just before":
        context.owner.service._lender._last_check_s -= 2.0
    elif case == "the others know after 1.5 s":
        await context.clock.advance(1.5)
    for node in others:
        node.membership.leaving_nodes.add(name)
    if case == "it pauses before it answers":
        context.owner.service._lender.refresh()
        context.owner.service._lender._last_check_s -= 2.0
    if case == "that node is cut off":
        node_ids = {node.node_id for node in context.nodes}
        borrower = context.third.node_id
        context.network.partition({borrower}, node_ids - {borrower})
    if case == "the new owner was interrupted":
        context.network.delay_s[successor, name] = 0.1
        interrupt_take_overs(context.successor)
    if case == "the new owner pauses":
        context.successor.pause()
        await context.clock.advance(1.5)
        context.successor.resume()


def interrupt_take_overs(node):
    """Interrupt the lending of a node before each ledger that it takes over."""
    lender = node.service._lender
    take = lender.handover._take_over

    def interrupt_and_take(*answer):
        for state in lender._states.values():
            state.share_window.interrupt(node.clock.monotonic_s())
        take(*answer)

    lender.handover._take_over = interrupt_and_take


@then("the new owner counts {committed:d} slots as committed and lends {lent:d}")
def successor_has(context, committed, lent):
    (owned,) = context.successor.service.owned()
    got = (owned.committed, max(0, owned.lendable - owned.foreign_calls))
    assert got == (committed, lent), owned


@then("the earlier owner hands its ledger over to no other process")
def no_second_successor(context):
    handover = context.owner.service._lender.handover
    successor = context.successor.env.identity
    first = Sender(successor.node_id, successor.incarnation)
    restarted = Sender(successor.node_id, successor.incarnation + 1)
    assert handover._hand_over(first, "p-0") is not None
    assert handover._hand_over(restarted, "p-0") is None


@when("it takes over from an owner with the share {share}")
def takes_over(context, share):
    reachable, listed = map(int, share.split("/"))
    context.window.continue_from(FakeShare(reachable, listed, True), context.now_s)


@then("after {later:g} s its share is {state}")
def share_is(context, later, state):
    now_s = context.now_s + later
    steady = context.window.is_steady(6, now_s, context.max_call_s)
    assert steady == (state == "steady"), steady


@when("the server answers no load poll for {seconds:g} s")
def no_load_reply(context, seconds):
    context.server.reachable = False
    run(context, context.clock.advance(seconds))


@when("the server answers load polls again for {seconds:g} s")
def load_replies(context, seconds):
    context.server.reachable = True
    run(context, context.clock.advance(seconds))
