import asyncio
import sys
from pathlib import Path

from behave import (
    given,
    then,
    when,
)

sys.path.insert(0, str(Path(__file__).parent.parent))

from delayed_table import DelayedWriteTable  # noqa: E402

from egretshed.claims.issued_ids import NumberRanges  # noqa: E402
from egretshed.claims.outcome_writer import MAX_BACKLOG_BYTES  # noqa: E402
from egretshed.claims.records import (  # noqa: E402
    MAX_ROW_OUTCOME_BYTES,
    Claim,
    claimed_row_value,
)
from egretshed.claims.service import ClaimService  # noqa: E402
from egretshed.claims.tracked_claims import (  # noqa: E402
    STORED_OUTCOMES_LIMIT_BYTES,
)
from egretshed.errors import (  # noqa: E402
    EgretshedError,
    InvariantViolated,
)
from egretshed.platform.interface import Write  # noqa: E402
from standins.clock import ManualClock  # noqa: E402
from standins.environments import make_environment  # noqa: E402
from standins.memory_platform import MemoryPlatform  # noqa: E402

ANSWER_WAIT_S = 1.0


class Nodes:
    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.memory = MemoryPlatform(self.clock)
        self.table = DelayedWriteTable(self.memory)
        self.platform = self.memory.platform._replace(table=self.table)
        self.services = {}
        self.incarnations = {}
        self.runners = {}
        self.customer = "c"
        for name in ("n1", "n2"):
            self.start(name)

    def start(self, name):
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        env = make_environment(self.clock, name, self.incarnations[name])
        self.services[name] = ClaimService(env, self.platform, self.is_alive)
        self.runners[name] = self.loop.create_task(self.services[name].run())

    def crash(self, name):
        self.runners.pop(name).cancel()

    def is_alive(self, node_id, incarnation):
        running = node_id in self.runners
        return running and self.incarnations[node_id] == incarnation

    def start_claim(self, name, request_id):
        async def answer():
            try:
                return await self.services[name].claim(self.customer, request_id)
            except EgretshedError as error:
                return error

        return self.loop.create_task(answer())

    def advance_clock(self, seconds=ANSWER_WAIT_S):
        self.loop.run_until_complete(self.clock.advance(seconds))

    def claim(self, name, request_id):
        task = self.start_claim(name, request_id)
        self.advance_clock()
        return task.result()

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.advance_clock(0)
        self.loop.close()


def answer_text(answer):
    if not isinstance(answer, EgretshedError):
        return "claimed"
    return f"{answer.code} {answer.fields.get('state', '')}".strip()


@given("nodes n1 and n2 that share one table")
def two_nodes(context):
    context.nodes = Nodes()
    context.add_cleanup(context.nodes.close)


@when('{name} claims "{request_id}"')
def claims(context, name, request_id):
    context.claim = context.nodes.claim(name, request_id)
    assert answer_text(context.claim) == "claimed", context.claim


@when("nothing happens")
def nothing(context):
    pass


@when("{name} stores the outcome")
def stores(context, name):
    store(context, name, {"ok": True})


@when("{name} stores a large outcome")
def stores_large(context, name):
    store(context, name, {"text": "x" * MAX_ROW_OUTCOME_BYTES})
    assert len(context.nodes.memory.core.objects) == 1


def store(context, name, outcome):
    nodes = context.nodes
    work = nodes.services[name].store_outcome(context.claim, outcome)
    nodes.loop.run_until_complete(work)
    nodes.advance_clock()


@when("{name} dies")
def dies(context, name):
    context.nodes.crash(name)


@when("{name} restarts")
def restarts(context, name):
    context.nodes.crash(name)
    context.nodes.start(name)


@when("the table goes down")
def down(context):
    context.nodes.memory.down = True


@when("the table comes up")
def up(context):
    context.nodes.memory.down = False
    context.nodes.advance_clock(3)


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    context.nodes.advance_clock(seconds)


@then('claiming "{request_id}" at {name} gives "{expected}"')
def claiming(context, request_id, name, expected):
    answer = context.nodes.claim(name, request_id)
    assert answer_text(answer) == expected, answer


@when("the next write loses its reply")
def loses_reply(context):
    context.nodes.memory.lose_next_replies = 1


@when("the next write is lost")
def is_lost(context):
    context.nodes.memory.drop_next_writes = 1


@when("the next write takes effect 5 s later")
def takes_effect_later(context):
    context.nodes.table.delayed_writes = 1


@when("the next write then the table is down")
def then_down(context):
    context.nodes.table.down_after_write = True


@when('{name} requests a claim on "{request_id}"')
def requests_claim(context, name, request_id):
    context.claim_task = context.nodes.start_claim(name, request_id)
    context.nodes.advance_clock()


@then('n1\'s answer is "{expected}"')
def answer_is(context, expected):
    assert answer_text(context.claim_task.result()) == expected, (
        context.claim_task.result()
    )


@then('the outcome of "{request_id}" at {name} has error "{code}"')
def outcome_error(context, request_id, name, code):
    work = context.nodes.services[name].outcome("c", request_id)
    found = context.nodes.loop.run_until_complete(work)
    assert found.outcome["error"] == code, found


@when("n1 issues an id and the table goes down")
def issues(context):
    context.issued = context.nodes.services["n1"].issue_ids("c", 1)[0]
    context.nodes.memory.down = True


@when("n1 issues an id")
def issues_id(context):
    context.issued = context.nodes.services["n1"].issue_ids("c", 1)[0]


@when("n1 claims an issued id")
def claims_issued(context):
    issues_id(context)
    claims(context, "n1", context.issued)


@when("n1 ran an issued id")
def ran_issued(context):
    claims_issued(context)
    store(context, "n1", {"ok": True})


@when('n1 ran "{request_id}" with a large outcome')
def ran_with_large_outcome(context, request_id):
    claims(context, "n1", request_id)
    stores_large(context, "n1")


@when("the stored objects are lost")
def objects_lost(context):
    context.nodes.memory.core.objects.clear()


@when("n1's outcome cache overflows")
def cache_overflows(context):
    claims(context, "n1", "large")
    store(context, "n1", {"text": "x" * STORED_OUTCOMES_LIMIT_BYTES})


@when("its outcome cannot be read")
def outcome_unreadable(context):
    cache_overflows(context)
    context.nodes.memory.down = True


@when("n1's outcome backlog is full")
def backlog_full(context):
    claims(context, "n1", "huge")
    context.nodes.memory.down = True
    store(context, "n1", {"text": "x" * MAX_BACKLOG_BYTES})


@when('the row of "{request_id}" is replaced by that of another claim')
def row_replaced(context, request_id):
    other = Claim("c", request_id, "n2", 7, "other-token")
    write = Write(context.claim.key, claimed_row_value(other))
    context.nodes.memory.core.table.transact([], [write])


@when("n1 claims it")
def claims_it(context):
    claims(context, "n1", context.issued)


@when("it has a wrong MAC")
def wrong_mac(context):
    last = "0" if context.issued[-1] != "0" else "1"
    context.issued = context.issued[:-1] + last


@when("customer d submits it")
def other_customer(context):
    context.nodes.customer = "d"


@then('claiming the issued id at {name} gives "{expected}"')
def claiming_issued(context, name, expected):
    claiming(context, context.issued, name, expected)


@then("storing another outcome at {name} is refused")
def second_outcome(context, name):
    try:
        store(context, name, {"ok": False})
    except InvariantViolated:
        return
    raise AssertionError("a second outcome was accepted")


@when("n1 claims r0 to r49 concurrently")
def concurrent_claims(context):
    counts = context.nodes.memory.counts
    before = counts["transactions"] + counts["conflicts"]
    tasks = [context.nodes.start_claim("n1", f"r{number}") for number in range(50)]
    context.nodes.advance_clock()
    context.answers = [answer_text(task.result()) for task in tasks]
    context.new_transactions = counts["transactions"] + counts["conflicts"] - before


@then(
    "{claimed:d} are claimed by n1 and {taken:d} is already claimed,"
    " in {count:d} more transactions"
)
def group_result(context, claimed, taken, count):
    assert context.answers.count("claimed") == claimed, context.answers
    assert context.answers.count("already_claimed running") == taken
    assert context.new_transactions == count, context.new_transactions


@when("the numbers {numbers} are added to a set of at most 3 ranges")
def numbers_added(context, numbers):
    context.ranges = NumberRanges(max_ranges=3)
    for number in numbers.split():
        assert context.ranges.add(int(number))


@then("it has {count:d} ranges that contain {present} but not {absent}")
def check_ranges(context, count, present, absent):
    ranges = context.ranges
    assert len(ranges) == count, len(ranges)
    assert all(int(number) in ranges for number in present.split())
    assert not any(int(number) in ranges for number in absent.split())
    assert not any(ranges.add(int(number)) for number in present.split())
