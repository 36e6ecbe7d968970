from behave import (
    given,
    then,
    when,
)

from egretshed.membership.service_owner import (
    carrying_weight,
    rank_nodes,
)
from egretshed.platform.interface import ListedVm


@given("nodes {nodes}")
def nodes_given(context, nodes):
    context.weights = {}
    for text in nodes.split():
        name, cores, link = text.split(":")
        vm = ListedVm(name, "entry", "h", 1, 2, "a", "r", False)
        vm = vm._replace(cores=float(cores), link_mbps=float(link))
        context.weights[name] = carrying_weight(vm)


def _owners(weights):
    return {n: rank_nodes(f"duty-{n}", weights)[0] for n in range(200)}


@when("200 duties are ranked")
def ranked(context):
    context.owners = _owners(context.weights)


@then('"{name}" has between {least:d} and {most:d} of them')
def share(context, name, least, most):
    count = list(context.owners.values()).count(name)
    assert least <= count <= most, count


@then('without "{gone}" only its own duties move')
def moved(context, gone):
    rest = {n: w for n, w in context.weights.items() if n != gone}
    for duty, owner in _owners(rest).items():
        before = context.owners[duty]
        assert owner == before or before == gone, (duty, before, owner)
