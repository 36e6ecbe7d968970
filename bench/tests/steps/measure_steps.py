import json
from pathlib import Path

from behave import (
    given,
    then,
    when,
)

from bench.capacity import (
    Capacity,
    pool_capacity,
)
from bench.costs import (
    cost_by_stage,
    wasted_share,
)
from bench.schedule import (
    PlannedRequest,
    read_deployment,
)
from bench.switches import (
    apply_sections,
    settings_sections,
)
from egretshed.settings.load import check_settings
from standins.backend_spec import (
    BackendSpec,
    Timing,
)

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


@given("a pool of {replicas:d} engines with {slots:d} warm and {cold:d} cold slots")
def pool(context, replicas, slots, cold):
    context.specs = [BackendSpec("e", "engine", cold, slots)] * replicas


@given(
    "a cold factor of {factor:g}, a batch growth of {growth:g} and "
    "{calls:d} warm-up calls"
)
def pool_timing(context, factor, growth, calls):
    timing = Timing(cold_factor=factor, batch_growth=growth)
    context.pool = pool_capacity(
        [
            spec._replace(timing=timing, warm_up_calls=calls, starts_warm=False)
            for spec in context.specs
        ]
    )


@then("its capacity is {warm:g} slot-seconds per second warm and {cold:g} cold")
def capacity_is(context, warm, cold):
    assert (context.pool.warm_rate, context.pool.cold_rate) == (warm, cold)


@then("the maximum work in 10 s with calls of 0.5 s is {work:g}")
def max_work_is(context, work):
    assert context.pool.max_work_s(10.0, 0.5) == work, context.pool


@given('the deployment "{name}" with warm servers')
def deployment(context, name):
    folder = EXAMPLES / name
    context.capacity = Capacity(folder, read_deployment(folder))


@when('{count:d} requests of kind "{kind}" arrive at the same time')
def arrive(context, count, kind):
    requests = [PlannedRequest(0.0, str(n), "c", kind, {}) for n in range(count)]
    context.bound = context.capacity.max_requests_in_time(requests)


@then("at most {bound:d} can be answered in time")
def bound_is(context, bound):
    assert context.bound == bound, context.bound


@given("a call of 2 s and 10 tokens that {outcome}, of a request {answered} in time")
def one_call(context, outcome, answered):
    ids = {"customer_id": "c", "request_id": "r"}
    call = {**ids, "start_s": 1.0, "end_s": 3.0, "outcome": outcome}
    call |= {"tokens": 10, "cached_tokens": 0}
    server = {"pool": "p", "busy_s": 2.0, "calls": [call]}
    caller = {**ids, "attained": answered == "answered"}
    context.stages = cost_by_stage([server], [caller], {"p": 3.0})


@then("its cost at 3 per second is {cost:g} and the wasted share is {share:g}")
def cost_is(context, cost, share):
    stage = context.stages["p"]
    assert stage["cost"] == stage["customers"]["c"]["cost"] == cost, stage
    assert wasted_share(context.stages) == share, stage


@given('the settings of "{name}" without "{mechanism}"')
def settings_without(context, name, mechanism):
    settings = json.loads((EXAMPLES / name / "settings.json").read_text())
    sections = settings_sections("predictive", [mechanism])
    context.settings = apply_sections(settings, sections)


@then('"{path}" is {value} and the settings are valid')
def setting_is(context, path, value):
    section, _, field = path.partition(".")
    checked = check_settings(context.settings)
    assert checked.is_ok(), checked
    assert getattr(getattr(checked.ok, section), field) == json.loads(value)
