import asyncio
from typing import NamedTuple

from behave import (
    given,
    then,
    when,
)

from egretshed.membership.duty_owners import (
    DutyOwners,
    capacity_weight,
    rank_nodes,
)
from egretshed.membership.vm_list import ListedVms
from egretshed.platform.interface import ListedVm
from standins.clock import ManualClock
from standins.environments import (
    make_environment,
    make_settings,
)


@given("nodes {nodes}")
def nodes_given(context, nodes):
    context.weights = {}
    for text in nodes.split():
        name, cores, link = text.split(":")
        vm = ListedVm(name, "entry", "h", 1, 2, "a", "r", False)
        vm = vm._replace(cores=float(cores), link_mbps=float(link))
        context.weights[name] = capacity_weight(vm)


@given(
    "{large:d} VMs of {large_cores:g} cores and {large_link:g} Mbit/s, and {small:d} of"
    " {cores:g} and {link:g}"
)
def large_and_small_vms(context, large, large_cores, large_link, small, cores, link):
    context.weights = {}
    kinds = (("large", large, large_cores, large_link), ("small", small, cores, link))
    for kind, count, cores_each, link_each in kinds:
        for number in range(count):
            vm = ListedVm(f"{kind}-{number}", "entry", "h", 1, 2, "a", "r", False)
            vm = vm._replace(cores=cores_each, link_mbps=link_each)
            context.weights[vm.node_id] = capacity_weight(vm)


@then("the small VMs own at most {most:d} of them")
def small_vms_own(context, most):
    owned = [o for o in context.owners.values() if o.startswith("small")]
    assert len(owned) <= most, len(owned)


def _owners(weights):
    return {n: rank_nodes(f"duty-{n}", weights)[0] for n in range(200)}


@when("200 duties are ranked")
def ranked(context):
    context.owners = _owners(context.weights)


@then('"{name}" has between {least:d} and {most:d} of them')
def share(context, name, least, most):
    count = list(context.owners.values()).count(name)
    assert least <= count <= most, count


@then('without "{gone}" only its duties are reassigned')
def reassigned(context, gone):
    rest = {n: w for n, w in context.weights.items() if n != gone}
    for duty, owner in _owners(rest).items():
        before = context.owners[duty]
        assert owner == before or before == gone, (duty, before, owner)


class CountedVms:
    """VM list of one node, and of a second one from `joins_s` on; counts reads."""

    def __init__(self, clock, joins_s):
        self.clock = clock
        self.joins_s = joins_s
        self.reads = 0

    async def read(self):
        self.reads += 1
        names = ["n1", "n2"] if self.clock.monotonic_s() >= self.joins_s else ["n1"]
        return [ListedVm(name, "entry", "h", 1, 2, "a", "r") for name in names]


@when("12 s pass and {what}")
def time_passes_while(context, what):
    async def run_scenario():
        clock = ManualClock()
        joins_s = clock.monotonic_s() + 1 if what.startswith("a node") else 1e9
        vms = CountedVms(clock, joins_s)
        settings = make_settings(membership={"vm_list_period_s": 20.0})
        listed = ListedVms(make_environment(clock, settings=settings), vms)

        def has_unlisted():
            joined = clock.monotonic_s() >= joins_s and not listed.is_listed("n2")
            return joined or what.startswith("an unlisted")

        await listed.read()
        task = asyncio.create_task(listed.run(has_unlisted))
        await clock.advance(12.0)
        task.cancel()
        return vms.reads - 1

    context.reads = asyncio.run(run_scenario())


@then("the list was read {least:d} to {most:d} times after the start")
def was_read(context, least, most):
    assert least <= context.reads <= most, context.reads


class KnownMember(NamedTuple):
    node_id: str
    leaving: bool = False


class FakeMembership:
    """Knows the nodes `known` of those listed; the nodes `gone` are unreachable."""

    def __init__(self, listed, known, gone):
        self.names = listed
        self.known = known
        self.gone = gone

    revision = 0

    def listed(self):
        return [ListedVm(name, "entry", "h", 1, 2, "a", "r") for name in self.names]

    def vm(self, node_id):
        return None

    def member(self, node_id):
        return KnownMember(node_id) if node_id in self.known else None

    def reachable(self):
        return [KnownMember(name) for name in self.known if name not in self.gone]


@given(
    'listed nodes "{listed}", of which "n1" knows "{known}" and "{gone}" has stopped'
)
def listed_nodes(context, listed, known, gone):
    context.membership = FakeMembership(listed.split(), known.split(), gone.split())


@when('"n1" ranks the nodes for a duty {age:d} s after its start')
def ranks(context, age):
    async def run_scenario():
        clock = ManualClock()
        owners = DutyOwners(make_environment(clock, "n1"), context.membership)
        await clock.advance(age)
        return owners.ranked("duty")

    context.ranked = asyncio.run(run_scenario())


@then('the ranked nodes are "{ranked}"')
def ranked_nodes_are(context, ranked):
    assert sorted(context.ranked) == ranked.split(), context.ranked
