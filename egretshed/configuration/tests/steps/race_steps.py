import asyncio
import re

from behave import (
    then,
    when,
)

from egretshed.configuration.tests.faulty_services import FAULTS
from egretshed.configuration.tests.race import Race


def run_race(context, count, race):
    asyncio.run(race.run(count))
    context.race = race


@when(
    'two operators make {count:d} changes with the faults "{faults}" and seed {seed:d}'
)
def race_with_faults(context, count, faults, seed):
    names = () if faults == "none" else tuple(faults.split())
    run_race(context, count, Race(seed, names))
    accepted, refused = context.race.count(True), context.race.count(False)
    print(f"{faults}, seed {seed}: {accepted} accepted, {refused} refused")


@when('two operators make {count:d} changes with a service that "{fault}"')
def race_with_faulty_service(context, count, fault):
    run_race(context, count, Race(1, (), FAULTS[fault]))


@then("no violation was seen")
def no_violation(context):
    assert not context.race.violations, "\n".join(context.race.violations[:20])


@then('a violation "{check}" was seen')
def violation(context, check):
    violations = context.race.violations
    assert any(re.search(check, text) for text in violations), violations[:20]


@then("changes were accepted and refused")
def accepted_and_refused(context):
    assert context.race.count(True) and context.race.count(False)
