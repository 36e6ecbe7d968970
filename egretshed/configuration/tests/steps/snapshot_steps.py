import json

from behave import (
    given,
    then,
    when,
)

from egretshed.configuration.validation import (
    BuiltConfiguration,
    build_configuration,
)
from egretshed.configuration.versions import with_changes


@given("the objects {objects}")
def declare_objects(context, objects):
    context.objects = json.loads(objects)


@when("the changes {changes} are applied to them")
def apply_changes(context, changes):
    context.changed = with_changes(context.objects, json.loads(changes))


@then("the incremental snapshot is {result}, as is a full build")
def matches_full_build(context, result):
    previous = BuiltConfiguration(
        build_configuration(1, context.objects).ok, context.objects
    )
    incremental = build_configuration(2, context.changed, previous)
    full = build_configuration(2, context.changed)
    assert incremental.is_ok() == full.is_ok() == (result == "valid"), (
        incremental,
        full,
    )
    if incremental.is_ok():
        assert incremental.ok == full.ok, (incremental.ok, full.ok)
    else:
        assert incremental.error.fields == full.error.fields
