from behave import (
    given,
    then,
)

from egretshed.stage_scheduling.graph import (
    StagePlan,
    downstream_s,
    stages_to_await,
)


@given("a request with the stage graph {graph}")
def stage_graph(context, graph):
    context.plans = []
    for text in graph.split():
        index, _, after = text.partition(":")
        predecessors = tuple(int(number) for number in after.split(",") if number)
        context.plans.append(StagePlan(int(index), "s", predecessors, 1, 1000))


@then('stage {stage:d} starts after "{awaited}" with {rest:d} stages downstream')
def starts_after(context, stage, awaited, rest):
    found = stages_to_await(context.plans[stage], context.plans)
    expected = [] if awaited == "none" else [int(n) for n in awaited.split()]
    assert sorted(found) == expected, found
    assert downstream_s(context.plans, lambda plan: 1.0)[stage] == rest
