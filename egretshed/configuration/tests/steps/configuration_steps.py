import asyncio

from behave import (
    given,
    step,
    then,
    when,
)

from egretshed.configuration.tests.fleet import (
    POOL,
    ConfigurationFleet,
)
from egretshed.errors import (
    EgretshedError,
    TableUnavailable,
)

CHANGES = {
    'to add the model "m"': {"models/m": {"version": "1"}},
    "to add a pool with a fault": {"pools/p": POOL},
    "to remove an unknown model": {"models/none": None},
    "nothing": {},
    "a too large change": {"models/m": {"version": "x" * 1_100_000}},
    "a change of version 5": {"models/m": {"version": "1"}},
}


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def change(context, node_id, changes, base=None):
    service = context.fleet.services[node_id]
    base = service.current.version if base is None else base
    return service.change(base, changes, f"operator-of-{node_id}", "test")


def all_links(fleet):
    return {(a, b) for a in fleet.places for b in fleet.places if a != b}


class UnreachableTable:
    """Stands for the table on a node that cannot reach it."""

    def __getattr__(self, name):
        raise TableUnavailable("table unreachable")


@given("{count:d} nodes with an empty configuration")
def empty_fleet(context, count):
    context.loop = asyncio.new_event_loop()
    context.fleet = ConfigurationFleet(["r:a", "r:b", "r:c"] * 2 + ["r:a"])
    assert len(context.fleet.places) == count
    context.outcome = None
    context.reachable_tables = {}
    run(context, context.fleet.start_all())
    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: run(context, context.fleet.stop()))
    run(context, context.fleet.clock.advance(4))
    assert all(s.is_ready for s in context.fleet.services.values())


@given("{count:d} nodes with {versions:d} versions")
def fleet_with_versions(context, count, versions):
    empty_fleet(context, count)
    for number in range(1, versions + 1):
        body = {"version": str(number)}
        changes = {f"models/m{number}": body, "models/latest": body}
        outcome = run(
            context, context.fleet.run_until_done(change(context, "entry-1", changes))
        )
        assert outcome == number, outcome
    run(context, context.fleet.clock.advance(2))


@step("{seconds:g} s pass")
def advance_time(context, seconds):
    run(context, context.fleet.clock.advance(seconds))


@when("nothing fails")
def no_fault(context):
    pass


@when("the table is down")
def table_down(context):
    context.fleet.memory.down = True


@when("the table is down and {node_id} alone")
def table_down_and_node_isolated(context, node_id):
    context.fleet.memory.down = True
    cut_peers(context, node_id)


@when("{node_id} cannot offer to any node")
def suppress_offers(context, node_id):
    peer = context.fleet.nodes[node_id].peer
    peer.send = lambda target, message: None


@when("every message is delivered twice")
def duplicate_messages(context):
    context.fleet.network.duplicate = all_links(context.fleet)


@when("messages take {delay_s:g} s")
def delay_messages(context, delay_s):
    context.fleet.network.delay_s = dict.fromkeys(all_links(context.fleet), delay_s)


@when("the table fails right after the change")
def fail_table_after_change(context):
    context.fail_after = True


@when("the reply to the change is lost")
def lose_reply(context):
    context.fleet.memory.lose_next_replies = 1


@when("the change is lost before the table")
def lose_change(context):
    context.fleet.memory.drop_next_writes = 1


@when('{node_id} adds the model "{name}"')
def add_model(context, node_id, name):
    changes = {f"models/{name}": {"version": "1"}}
    coroutine = change(context, node_id, changes)
    context.outcome = run(context, context.fleet.run_until_done(coroutine))
    if getattr(context, "fail_after", False):
        context.fleet.memory.down = True


@when('the table fails during a change of model "{name}" by {node_id}')
def fail_table_during_change(context, name, node_id):
    memory = context.fleet.memory
    transact = memory.core.table.transact
    memory.lose_next_replies = 1

    def transact_then_fail(conditions, writes):
        memory.down = True
        return transact(conditions, writes)

    memory.core.table.transact = transact_then_fail
    add_model(context, node_id, name)
    memory.core.table.transact = transact


@when('{first} and {second} change the model "{name}" at the same time')
def change_concurrently(context, first, second, name):
    async def both():
        outcomes = await asyncio.gather(
            change(context, first, {f"models/{name}": {"version": "1"}}),
            change(context, second, {f"models/{name}": {"version": "2"}}),
            return_exceptions=True,
        )
        return dict(zip((first, second), outcomes, strict=True))

    context.outcomes = run(context, context.fleet.run_until_done(both()))


@when("{node_id} is asked {what}")
def try_change(context, node_id, what):
    base = 5 if what == "a change of version 5" else 0
    coroutine = change(context, node_id, CHANGES[what], base)
    context.outcome = run(context, context.fleet.run_until_done(coroutine))


@when("all faults end")
def end_faults(context):
    fleet = context.fleet
    fleet.network.heal()
    fleet.network.delay_s.clear()
    fleet.memory.down = False
    for node_id, table in context.reachable_tables.items():
        fleet.services[node_id]._store.table = table


@when("{node_id} restarts")
def restart(context, node_id):
    run(context, context.fleet.crash(node_id))
    run(context, context.fleet.start_node(node_id))


@when('{node_id} restarts during a change of model "{name}" by {other}')
def restart_during_change(context, node_id, name, other):
    run(context, context.fleet.crash(node_id))
    context.fleet.memory.slow_s = 0.2
    run(context, context.fleet.start_node(node_id))
    add_model(context, other, name)


@when("the table is lost for {node_id}")
def cut_table(context, node_id):
    store = context.fleet.services[node_id]._store
    context.reachable_tables[node_id] = store.table
    store.table = UnreachableTable()


@when("the peers is lost for {node_id}")
def cut_peers(context, node_id):
    others = set(context.fleet.places) - {node_id}
    context.fleet.network.partition({node_id}, others)


@when("the table and peers is lost for {node_id}")
@when("{node_id} is cut off from peers and the table")
def cut_both(context, node_id):
    cut_table(context, node_id)
    cut_peers(context, node_id)


@when("{node_id} reverts to version {version:d}")
def revert(context, node_id, version):
    service = context.fleet.services[node_id]
    coroutine = service.revert(service.current.version, version, "anna", "back")
    context.outcome = run(context, context.fleet.run_until_done(coroutine))


@when("{count:d} models are added in one change")
def add_models(context, count):
    changes = {f"models/n{number}": {"version": "1"} for number in range(count)}
    coroutine = change(context, "entry-1", changes)
    assert run(context, context.fleet.run_until_done(coroutine)) == 1


@when("{count:d} changes are made")
def make_changes(context, count):
    async def make():
        for number in range(count):
            await change(context, "entry-1", {"models/m": {"version": str(number)}})

    assert run(context, context.fleet.run_until_done(make())) is None


@then("the change is accepted as version {version:d}")
def accepted(context, version):
    assert context.outcome == version, repr(context.outcome)


@then("one change is accepted as version {version:d}")
def one_accepted(context, version):
    assert list(context.outcomes.values()).count(version) == 1, context.outcomes


@then('the other is refused with the operator and "{object_id}"')
def other_refused(context, object_id):
    (winner,) = [n for n, o in context.outcomes.items() if o == 1]
    (error,) = [o for o in context.outcomes.values() if o != 1]
    assert error.code == "version_conflict", error
    assert error.operator == f"operator-of-{winner}", error
    assert error.objects == [object_id], error


@then("the change is refused with {code}")
def refused(context, code):
    assert isinstance(context.outcome, EgretshedError), repr(context.outcome)
    assert context.outcome.code == code, context.outcome


@then("version {version:d} is active on every running node")
def is_active(context, version):
    services = context.fleet.services
    found = {n: s.current.version for n, s in services.items() if s.is_ready}
    assert found == dict.fromkeys(context.fleet.nodes, version), found


@then("every running node has {count:d} models")
def model_count(context, count):
    for service in context.fleet.services.values():
        assert len(service.current.models) == count


@then("{node_id} is ready: {expected}")
def is_ready(context, node_id, expected):
    service = context.fleet.services[node_id]
    assert str(service.is_ready) == expected
    assert service.current.version == (3 if service.is_ready else 0)
    assert service.is_fresh() == service.is_ready


@then("{node_id} is fresh: {expected}")
def is_fresh(context, node_id, expected):
    assert str(context.fleet.services[node_id].is_fresh()) == expected


@then("the objects of version {later:d} are those of version {earlier:d}")
def same_objects(context, later, earlier):
    service = context.fleet.services["entry-3"]
    earlier_objects, later_objects = (
        run(context, context.fleet.run_until_done(service.objects_at(version)))
        for version in (earlier, later)
    )
    expected = {"models/m1": {"version": "1"}, "models/latest": {"version": "1"}}
    assert earlier_objects == later_objects == expected, (
        earlier_objects,
        later_objects,
    )


@then("the history lists versions {versions}")
def history(context, versions):
    service = context.fleet.services["entry-3"]
    records = run(context, context.fleet.run_until_done(service.history(10)))
    assert ", ".join(str(r.version) for r in records) == versions, records
    assert records[0].operator == "anna" and records[0].reason == "back"


@then("the versions of every process only increased")
def versions_increased(context):
    for process, seen in context.fleet.versions_seen.items():
        assert seen == sorted(set(seen)), (process, seen)
