import asyncio

from behave import (
    given,
    then,
    when,
)

from egretshed import errors
from egretshed.requests.outcomes import failure_outcome
from egretshed.requests.store import StreamStore
from egretshed.requests.stream import RequestStream
from standins.clock import ManualClock
from standins.environments import make_environment


def make_stream(context):
    context.clock = ManualClock()
    context.env = make_environment(context.clock)
    return RequestStream(context.env, "entry-1:1:1", "customer", "r1")


@given("a stream with the items {items}")
def stream_with_items(context, items):
    context.stream = make_stream(context)
    for item in items.split():
        if item == "reset":
            context.stream.reset()
        elif item == "final":
            context.stream.finish({"outcome": "complete"})
        else:
            context.stream.append_tokens((item,))


@when("its buffer is discarded")
def discard_buffer(context):
    context.stream.discard_items()


@when("a reader requests the items after {after:d}")
def read_items_after(context, after):
    try:
        context.batches = context.stream.batches_after(after)
    except errors.StreamGap as gap:
        context.gap = gap


@when("a second outcome is written")
def second_outcome(context):
    try:
        context.stream.finish({"outcome": "failed"})
    except errors.InvariantViolated as violation:
        context.violation = violation


@then("it gets the batches {expected}")
def check_batches(context, expected):
    shown = []
    for batch in context.batches:
        tokens = "+".join(batch.data.get("tokens", ()))
        suffix = f"={tokens}" if batch.event == "tokens" else ""
        shown.append(f"{batch.sequence}:{batch.event}{suffix}")
    assert (" ".join(shown) or "nothing") == expected, shown


@then("it gets a stream gap with {oldest:d} as the oldest sequence")
def check_gap(context, oldest):
    assert context.gap.oldest_sequence == oldest


@then('the invariant "{name}" is violated')
def check_violation(context, name):
    assert context.violation.invariant == name
    rendered = context.env.metrics.render().decode()
    assert f'invariant_violations_total{{invariant="{name}"}} 1.0' in rendered


@given("a request that {sent} to a backend server and {rule} be repeated")
def request_in_state(context, sent, rule):
    context.stream = make_stream(context)
    context.stream.sent_to_backend = sent == "was sent"
    context.stream.earlier_may_have_run = sent == "was sent before"
    context.repeatable = rule == "may"


@when("it ends with {name}")
def end_with_error(context, name):
    error = getattr(errors, name)()
    context.outcome = failure_outcome(
        context.env, context.stream, error, context.repeatable
    )


@then("its outcome is {name}")
def check_outcome(context, name):
    assert context.outcome["outcome"] == name, context.outcome


@then("the outcome {has} a retry-after time")
def check_retry_after(context, has):
    assert ("retry_after_s" in context.outcome) == (has == "has"), context.outcome


@given("a stream in a store that keeps buffers for 60 s")
def stream_in_store(context):
    context.clock = ManualClock()
    context.env = make_environment(context.clock)
    context.store = StreamStore(context.env)
    context.stream = context.store.create("customer", "r1")
    context.stream.append_tokens(("a",))


@when("{age:d} s have passed since the stream ended")
def wait_after_end(context, age):
    context.stream.finish({"outcome": "complete"})
    asyncio.run(context.clock.advance(age))
    context.store.expire()


@then("its buffer is {buffer} and its outcome is {outcome}")
def check_kept(context, buffer, outcome):
    assert bool(context.stream.items) == (buffer == "kept")
    found = context.store.find_by_request("customer", "r1")
    assert (found is not None) == (outcome == "kept")
