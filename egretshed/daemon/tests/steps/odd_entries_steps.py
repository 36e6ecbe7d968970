import asyncio
import itertools
import json

from behave import (
    then,
    when,
)

from standins.behave_loop import run
from standins.users_platform.store import SERVER_TABLE

NESTING = 50_000
NESTED = "[" * NESTING + "]" * NESTING
# Time in which all nodes learn of a change of the list.
LIST_DELAY_S = 1.0


def _odd_value(entry, oddity):
    text = json.dumps(entry)
    values = {
        "a port out of range": json.dumps({**entry, "address": "127.0.0.1:99999999"}),
        "a host name": json.dumps({**entry, "address": "server.example:80"}),
        "a number too large": text[:-1] + ', "cold_remaining_ms": 1e999}',
        "a deeply nested unknown field": text[:-1] + f', "note": {NESTED}}}',
        "deeply nested lists": NESTED,
        "brackets that do not match": text[:-1] + "]]",
        "null": "null",
    }
    if oddity == "bytes that are no text":
        return text.encode().replace(b"plain", b"\xff\xfe")
    return values[oddity].encode()


@when('an entry with {oddity} is written, and then one server of "{service}" leaves')
def write_odd_entry(context, oddity, service):
    store = context.fleet.store
    leaving, context.left = [
        server for server in context.fleet.servers.values() if server.service == service
    ]
    entry = {**leaving.entry(), "address": "127.0.0.1:9"}
    store.put(SERVER_TABLE, "odd", _odd_value(entry, oddity))
    store.put_json(SERVER_TABLE, leaving.server_id, leaving.entry("draining"))
    run(context, asyncio.sleep(LIST_DELAY_S))


@then('{count:d} "{route}" requests are all answered 200, at the server that is left')
def all_answered(context, count, route):
    names = itertools.cycle(context.fleet.ports)

    async def send():
        return await asyncio.gather(
            *(
                context.fleet.request(next(names), f"/{route}/x", f"r-{n}")
                for n in range(count)
            )
        )

    statuses = [response.code for response in run(context, send())]
    assert statuses == [200] * count, statuses
    assert sum(context.left.run_counts.values()) == count, context.left.run_counts


@then("no node has ended or logged a fault")
def no_fault(context):
    processes = context.fleet.processes.values()
    assert all(process.returncode is None for process in processes)
    assert not context.fleet.fault_log_lines()
