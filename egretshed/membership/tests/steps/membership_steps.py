import asyncio
import math
from collections import Counter

from behave import (
    given,
    step,
    then,
    use_step_matcher,
    when,
)

from egretshed.configuration.schema import Replica
from egretshed.gen.messages.ttypes import (
    Probe,
    ProbeAck,
)
from egretshed.membership.tests.fleet import Fleet
from egretshed.peers.codec import decode
from egretshed.peers.network import Sender

use_step_matcher("parse")


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def parse_node_ids(text):
    return text.replace(" and ", ", ").split(", ")


def make_fleet(context, count, regions=1):
    context.loop = asyncio.new_event_loop()
    domains = [f"r{n % regions + 1}:a" for n in range(count)]
    if regions == 2:  # the last node of region r1 has its own failure domain
        domains[count - 2] = "r1:b"
    context.fleet = Fleet(domains)
    context.fleet.memory.down = getattr(context, "is_vm_list_down", False)
    record_probes(context)
    run(context, context.fleet.start_all())
    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: run(context, context.fleet.stop()))


def record_probes(context):
    context.max_updates = 0
    deliver = context.fleet.network.deliver

    async def recorded(sender, target, body):
        reply = await deliver(sender, target, body)
        sent = decode(*body)
        for message in (sent, reply):
            if isinstance(message, (Probe, ProbeAck)):
                count = len(message.updates)
                context.max_updates = max(context.max_updates, count)
        return reply

    context.fleet.network.deliver = recorded


def membership(context, node_id):
    return context.fleet.nodes[node_id].membership


@given("a settled fleet of {count:d} nodes in {regions:d} regions")
def settled_fleet(context, count, regions):
    make_fleet(context, count, regions)
    run(context, context.fleet.clock.advance(6))
    assert all(n.membership.is_settled() for n in context.fleet.nodes.values())
    all_node_ids = set(context.fleet.places)
    assert all(
        context.fleet.reachable_by(n) == all_node_ids for n in context.fleet.nodes
    )


@when("the detection bound of {node_id} passes")
def bound_passes(context, node_id):
    bound_s = membership(context, node_id).detection_bound_s()
    run(context, context.fleet.clock.advance(bound_s))


@then("no running node reaches {node_id}")
def not_reachable(context, node_id):
    reaching = [
        n for n in context.fleet.nodes if node_id in context.fleet.reachable_by(n)
    ]
    assert not reaching, reaching


@step("the VM list is down")
def list_is_down(context):
    context.is_vm_list_down = True
    if hasattr(context, "fleet"):
        context.fleet.memory.down = True


@given("a fleet of {count:d} nodes that has just started")
def new_fleet(context, count):
    make_fleet(context, count)


@given("{node_id} has a load of {permille:d} thousandths")
def node_load(context, node_id, permille):
    membership(context, node_id).load_source = lambda: permille


@step("{seconds:g} s pass")
def time_passes(context, seconds):
    run(context, context.fleet.clock.advance(seconds))


@when("nothing fails")
def nothing(context):
    pass


@when("{node_ids} crashes")
@when("{node_ids} crash")
def crash(context, node_ids):
    for node_id in parse_node_ids(node_ids):
        run(context, context.fleet.crash(node_id))


@when("{node_id} restarts")
def restart(context, node_id):
    run(context, context.fleet.crash(node_id))
    run(context, context.fleet.start_node(node_id))


@when("{node_id} restarts while the old process keeps running")
def double_process(context, node_id):
    run(context, context.fleet.start_node(node_id))


@when("the regions are separated")
def separate(context):
    sides = {"r1": set(), "r2": set()}
    for node_id, (region, _) in context.fleet.places.items():
        sides[region].add(node_id)
    context.fleet.network.partition(*sides.values())


@when("{count:d} of the nodes are partitioned from the others")
def cut_off(context, count):
    node_ids = list(context.fleet.places)
    context.sides = [node_ids[:count], node_ids[count:]]
    context.fleet.network.partition(*map(set, context.sides))


@when("{source} cannot send to {target}")
def cut_one_way(context, source, target):
    context.fleet.network.blocked_links.add((source, target))


@when("every message is delivered twice")
def duplicate(context):
    ids = context.fleet.places
    context.fleet.network.duplicate = {(a, b) for a in ids for b in ids}


@when("messages to {node_id} take {delay_s:g} s")
def delay(context, node_id, delay_s):
    for other in context.fleet.places:
        context.fleet.network.delay_s[(other, node_id)] = delay_s


@when("all faults end")
def heal(context):
    network = context.fleet.network
    network.heal()
    network.duplicate.clear()
    network.delay_s.clear()
    context.fleet.memory.down = False


@when("only {node_ids} are listed")
def only_listed(context, node_ids):
    context.fleet.list_nodes(*parse_node_ids(node_ids))


@when("{node_id} is paused for {seconds:g} s")
def pause(context, node_id, seconds):
    context.fleet.pause(node_id, seconds)


@when("{node_id} leaves")
def leave(context, node_id):
    run(context, membership(context, node_id).leave())


@when("the list shows {node_id} as leaving")
def listed_leaving(context, node_id):
    context.fleet.list_nodes(*context.fleet.places, leaving=(node_id,))


@when("{callers:d} callers ask {node_id} for {count:d} addresses")
def ask(context, callers, node_id, count):
    replies = [membership(context, node_id).addresses(count) for _ in range(callers)]
    context.replies = [[a.node_id for a in reply] for reply in replies]


@then("every running node reaches {count:d} nodes")
def reaches(context, count):
    reachable = {n: len(context.fleet.reachable_by(n)) for n in context.fleet.nodes}
    assert set(reachable.values()) == {count}, reachable


@then("every running node is settled")
def all_settled(context):
    for node_id, node in context.fleet.nodes.items():
        assert node.membership.is_settled(), node_id


@then("no node knows {node_id}")
def unknown(context, node_id):
    for node in context.fleet.nodes.values():
        assert node.membership.member(node_id) is None, node.env.identity


@then("the old process of {node_id} is superseded")
def superseded(context, node_id):
    old = context.fleet.nodes[node_id].old_process
    assert old.membership.superseded_by == 2
    assert old.task.done(), "the old process still runs"
    assert not context.fleet.nodes[node_id].membership.is_superseded


@then("the old process of {node_id} owns no replica and hands out no address")
def owns_no_replica(context, node_id):
    old = context.fleet.nodes[node_id].old_process.membership
    assert old.owner_of(Replica("x", "http://x", "a"), "r1") is None
    assert old.lending_share("r1").slots(10) == 0
    assert old.addresses(3) == []
    assert not old.is_settled()


@then("{node_id} rejects messages from incarnation {incarnation:d} of {other}")
def rejects(context, node_id, incarnation, other):
    service = membership(context, node_id)
    assert not service.is_current(Sender(other, incarnation))
    assert service.is_current(Sender(other, incarnation + 1))


@then("the settled state of {node_id} is {expected}")
def settled_is(context, node_id, expected):
    assert str(membership(context, node_id).is_settled()) == expected


@then("{node_id} may lend {slots:d} of {limit:d} slots in region {region}")
def may_lend(context, node_id, slots, limit, region):
    share = membership(context, node_id).lending_share(region)
    assert share.slots(limit) == slots, share


@then("the nodes on both sides together may lend at most {most:d} of {limit:d} slots")
def lend_together(context, most, limit):
    shares = [
        [membership(context, n).lending_share("r1") for n in side]
        for side in context.sides
    ]
    lent = sum(max(share.slots(limit) for share in side) for side in shares)
    assert 0 < lent <= most, shares
    assert math.isclose(sum(s[0].reachable / s[0].listed for s in shares), 1), shares


@then("no probe carried more than {count:d} updates")
def bounded(context, count):
    assert 1 < context.max_updates <= count, context.max_updates


@then("the owner of a replica in r1:a is one of {owners} for every node")
def owner_is(context, owners):
    for number in range(10):
        replica = Replica(f"rota-llm-{number}", "http://x", "a")
        found = {
            node.membership.owner_of(replica, "r1")
            for node in context.fleet.nodes.values()
        }
        assert len(found) == 1 and found <= set(parse_node_ids(owners)), found


@then("no node hands out {node_id}")
def not_handed_out(context, node_id):
    for node in context.fleet.nodes.values():
        given_out = {a.node_id for a in node.membership.addresses(10)}
        assert node_id not in given_out, node.env.identity


@then("every other running node is handed out by {node_id}")
def others_handed_out(context, node_id):
    given_out = {a.node_id for a in membership(context, node_id).addresses(10)}
    assert given_out == set(context.fleet.places) - {"entry-1"}, given_out


@then(
    "each {region} node except {other} is the first address"
    " of {low:d} to {high:d} percent of callers"
)
def share_of_near(context, region, other, low, high):
    places = context.fleet.places
    for node_id in places:
        if places[node_id][0] == region and node_id != other:
            assert low <= first_percent(context, {node_id}) <= high, node_id


@then("the first address is {node_id} for {low:g} to {high:g} percent of callers")
def share_of_one(context, node_id, low, high):
    assert low <= first_percent(context, {node_id}) <= high


@then(
    "the first address is in region {region} for less than {high:d} percent of callers"
)
def share_of_far(context, high, region):
    places = context.fleet.places
    far = {node_id for node_id in places if places[node_id][0] == region}
    assert first_percent(context, far) < high


@then("each caller got {count:d} different addresses")
def different(context, count):
    assert all(len(set(reply)) == count for reply in context.replies)


def first_percent(context, node_ids):
    firsts = Counter(reply[0] for reply in context.replies)
    return 100 * sum(firsts[n] for n in node_ids) / len(context.replies)
