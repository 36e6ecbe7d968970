from behave import (
    given,
    then,
    when,
)

from egretshed.backends.interface import LoadReport
from egretshed.gen.messages.ttypes import (
    LoanDemand,
    LoanGrant,
)
from egretshed.slots.borrowed_replica import BorrowedReplicaState
from egretshed.slots.fair_allocation import allocate_fairly
from egretshed.slots.ledger import ReplicaLedger
from egretshed.slots.records import (
    BorrowerId,
)
from egretshed.slots.share import (
    ShareWindow,
    scale_to_share,
)
from egretshed.slots.warmth import Warmth
from standins.clock import ManualClock
from standins.environments import make_environment
from standins.fake_membership import (
    FakeShare,
    make_configuration,
)


def parse_counts(text):
    pairs = (item.split("=") for item in text.split())
    return {name: int(count) for name, count in pairs}


@when('{slots:d} slots are allocated for demands "{wanted}" at rotation {rotation:d}')
def allocated(context, slots, wanted, rotation):
    context.allocation = allocate_fairly(slots, parse_counts(wanted), rotation)


@then('the allocation is "{allocation}"')
def allocation_is(context, allocation):
    assert context.allocation == parse_counts(allocation), context.allocation


@when("an owner reaches {reachable:d} of {listed:d} nodes, rounding up: {up}")
def reaches(context, reachable, listed, up):
    context.share = FakeShare(reachable, listed, up == "yes")


@then("it lends {amount:d} of a limit of {limit:d}")
def lends(context, amount, limit):
    assert scale_to_share(limit, context.share) == amount, scale_to_share(
        limit, context.share
    )


@given("an owner with a take-over wait of {wait_s:d} s and a longest call of {s:d} s")
def owner_window(context, wait_s, s):
    context.window = ShareWindow(0.0, wait_s)
    context.max_call_s = s


@when("its share is {first} then {second} after {seconds:d} s")
def share_changes(context, first, second, seconds):
    for now_s, text in ((0.0, first), (seconds, first), (seconds, second)):
        reachable, listed = map(int, text.split("/"))
        share = FakeShare(reachable, listed, True) if reachable else None
        context.window.record(now_s, share)
    context.now_s = seconds


@then("it lends {amount:d} of {limit:d} after {later:g} more seconds")
def lends_later(context, amount, limit, later):
    now_s = context.now_s + later
    lent = context.window.lendable(limit, now_s, context.max_call_s)
    assert lent == amount, lent


@given("a server with limits {cold:d} to {warm:d} and {calls:d} warm-up calls")
def server_limits(context, cold, warm, calls):
    configuration = make_configuration(
        cold_slots=cold, warm_slots=warm, warm_up_calls=calls
    )
    context.pool = configuration.pools["p"]
    context.warmth = Warmth(0.0)


@when('its owner observes "{signs}"')
def observes(context, signs):
    for now_s, sign in enumerate(signs.split(), start=1):
        observe(context, sign, float(now_s))


@when('its owner observes ""')
def observes_nothing(context):
    pass


def observe(context, sign, now_s):
    if sign == "cold_sign":
        context.warmth.record_cold_sign(now_s)
    elif sign.startswith("calls="):
        borrower = BorrowerId("n0", 1)
        total = int(sign.removeprefix("calls="))
        context.warmth.record_completed_calls(borrower, total, context.pool, now_s)
    else:
        age_s = 5.0 if sign.startswith("old_") else 0.1
        report = LoadReport(0, 0, sign.endswith("warm"), False, age_s)
        context.warmth.record_load_report(report, now_s)


@then("the limit is {limit:d}")
def limit_is(context, limit):
    assert context.warmth.limit(context.pool) == limit, context.warmth.state


@given("a ledger whose borrower runs calls of up to {max_call_s:d} s")
def ledger(context, max_call_s):
    context.longest_ms = max_call_s * 1000
    context.clock = ManualClock()
    context.ledger = ReplicaLedger(make_environment(context.clock), "p-0")
    context.now_s = 0.0


@when('it processes "{steps}"')
def ledger_processes(context, steps):
    for step in steps.split():
        name, *numbers = step.split(":")
        LEDGER_STEPS[name](context, *map(float, numbers))


def ledger_report(context, sequence, held, running, loan_id=0, node_id="b"):
    demand = LoanDemand("p-0", 9, int(held), int(running), context.longest_ms)
    demand.loan_id = loan_id
    borrower = BorrowerId(node_id, 1)
    context.ledger.report(borrower, demand, int(sequence), context.now_s)


def ledger_lend(context, amount, node_id="b"):
    borrower = BorrowerId(node_id, 1)
    context.grant = context.ledger.lend(borrower, int(amount), 0, context.now_s)


def ledger_confirm(context, sequence, held, running):
    ledger_report(context, sequence, held, running, context.grant.loan_id)


def ledger_other(context, amount):
    ledger_report(context, 1, 0, 0, node_id="other")
    ledger_lend(context, amount, node_id="other")


def ledger_wait(context, seconds):
    context.now_s += seconds


LEDGER_STEPS = {
    "report": ledger_report,
    "lend": ledger_lend,
    "confirm": ledger_confirm,
    "other": ledger_other,
    "wait": ledger_wait,
}


@then("it counts {count:d} slots as committed")
def ledger_counts(context, count):
    committed = context.ledger.committed(context.now_s)
    assert committed == count, context.ledger.loans


@when('a borrower receives "{steps}"')
def borrower_receives(context, steps):
    context.state = BorrowedReplicaState("p-0")
    for step in steps.split():
        name, *numbers = step.split(":")
        loan_id, slots = map(int, numbers[-2:])
        grant = LoanGrant("p-0", loan_id, slots, 2000, 6, 0, True)
        if name == "lower":
            context.state.apply_revocation("owner", grant, 0.1)
        else:
            owner = "owner" if name == "reply" else name
            context.state.apply_grant(owner, grant, float(numbers[0]), 3.0)


@then("it has {free:d} free slots at {now_s:g} s")
def borrower_free(context, free, now_s):
    assert context.state.free(now_s) == free, context.state.free(now_s)
