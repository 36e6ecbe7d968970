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
def declared(context, objects):
    context.objects = json.loads(objects)


@when("the changes {changes} are applied to them")
def changed(context, changes):
    context.changed = with_changes(context.objects, json.loads(changes))


@then("the snapshot built on the earlier one is {result}, as one built whole")
def same(context, result):
    earlier = BuiltConfiguration(
        build_configuration(1, context.objects).ok, context.objects
    )
    built = build_configuration(2, context.changed, earlier)
    whole = build_configuration(2, context.changed)
    assert built.is_ok() == whole.is_ok() == (result == "valid"), (built, whole)
    if built.is_ok():
        assert built.ok == whole.ok, (built.ok, whole.ok)
    else:
        assert built.error.fields == whole.error.fields
