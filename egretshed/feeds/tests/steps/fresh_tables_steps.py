import asyncio
import time

from behave import (
    given,
    then,
    when,
)

from egretshed.clock import SystemClock
from egretshed.feeds.fresh_tables import FreshTables
from egretshed.feeds.table_view import TableView
from standins.environments import make_environment


class SlowFollower:
    """Follower of a table that the store sends after `answer_s`."""

    table = "servers"
    version = 1

    def __init__(self, clock, answer_s):
        self.clock = clock
        self.answer_s = answer_s
        self.as_of_s = clock.monotonic_s() - 1.0

    async def read_now(self, store):
        sent_s = self.clock.monotonic_s()
        await asyncio.sleep(self.answer_s)
        self.as_of_s = sent_s


@given("a store that answers in {answer_s:g} s and a request that waits after a pause")
def given_store(context, answer_s):
    context.env = make_environment(SystemClock())
    context.follower = SlowFollower(context.env.clock, answer_s)


@when("the process stands still for {again_s:g} s, {after_s:g} s later")
def stand_still_again(context, again_s, after_s):
    async def wait():
        now_s = context.env.clock.monotonic_s
        context.pause_s = now_s()
        view = TableView(context.env, context.follower, None)
        fresh_tables = FreshTables(context.env, lambda: context.pause_s, (view,))
        waiting = asyncio.create_task(fresh_tables.wait())
        await asyncio.sleep(after_s)
        time.sleep(again_s)
        context.pause_s = now_s()
        await waiting

    asyncio.run(wait())


@then("the tables are younger than the last pause when the request goes on")
def are_fresh(context):
    assert context.follower.as_of_s >= context.pause_s, (
        context.pause_s - context.follower.as_of_s
    )
