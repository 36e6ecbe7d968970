from behave import (
    given,
    then,
    when,
)

from egretshed.relay.events import EventSplitter
from egretshed.relay.next_step import (
    AttemptHistory,
    next_step,
)


@given("a request on a route that is {route} with {most:d} attempts allowed")
def on_route(context, route, most):
    context.history = AttemptHistory(
        may_repeat=route != "once",
        may_have_run_now=False,
        ran_on=0,
        sends=0,
        max_attempts=most,
        remaining_s=0.0,
        bytes_forwarded=False,
        is_resumable=route == "resumable",
    )


@given("{ran:d} servers may have run it in {sends:d} sends, {left:g} s are left")
def progress(context, ran, sends, left):
    context.history = context.history._replace(
        ran_on=ran, sends=sends, remaining_s=left
    )


@given("this attempt {now}, {forwarded} forwarded")
def attempt(context, now, forwarded):
    context.history = context.history._replace(
        may_have_run_now=now == "may have run", bytes_forwarded=forwarded == "events"
    )


@then('the next step is "{step}"')
def decided(context, step):
    assert next_step(context.history).value == step


def _bytes(text):
    return text.encode().decode("unicode_escape").encode()


@when("the pieces {pieces} are split into events")
def split(context, pieces):
    context.splitter = EventSplitter()
    parts = [_bytes(part) for part in pieces.split("|")]
    context.whole = b"".join(context.splitter.feed(part) for part in parts)


@then('{whole} is passed on, {rest} is kept and the last id is "{last}"')
def passed_on(context, whole, rest, last):
    _check(context, whole, rest, last)


@then('{whole} is passed on, {rest} is kept and the last id is ""')
def passed_on_without_id(context, whole, rest):
    _check(context, whole, rest, "")


def _check(context, whole, rest, last):
    assert context.whole == _bytes(whole), context.whole
    expected = b"" if rest == "nothing" else _bytes(rest)
    assert context.splitter.rest() == expected, context.splitter.rest()
    assert context.splitter.last_event_id == last
