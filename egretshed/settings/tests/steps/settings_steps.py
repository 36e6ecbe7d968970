import json
import tempfile
from pathlib import Path

from behave import (
    given,
    then,
    when,
)

from egretshed.settings.load import load_settings

VALID = {
    "node": {"node_id": "entry-1", "failure_domain": "a", "region": "r"},
    "platform": {"url": "http://127.0.0.1:1"},
    "peers": {"keys": ["k"]},
}


@given("a valid settings file")
def valid_settings_file(context):
    context.settings_text = json.dumps(VALID)


@given('a settings file with the text "{text}"')
def file_with_text(context, text):
    context.settings_text = text


@when('"{path}" is set to {value}')
def set_value(context, path, value):
    raw = json.loads(context.settings_text)
    section = raw
    *parents, last = path.split(".")
    for name in parents:
        section = section.setdefault(name, {})
    section[last] = json.loads(value)
    context.settings_text = json.dumps(raw)


@then('the fault "{path}" is reported')
def fault_reported(context, path):
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "settings.json"
        file.write_text(context.settings_text)
        result = load_settings(file)
    assert result.is_error(), "the settings were accepted"
    paths = [fault["path"] for fault in result.error.faults]
    assert path in paths, paths
