import asyncio
import base64
import json

from behave import (
    given,
    then,
    when,
)

from egretshed.clock import SystemClock
from egretshed.errors import PlatformUnavailable
from egretshed.platform.store import RowStore
from egretshed.upstream.pool import ConnectionPool
from standins.behave_loop import run
from standins.environments import (
    make_environment,
    make_settings,
)

VALUE = b"v" * 3000


def _encode_response():
    value = base64.b64encode(VALUE).decode()
    row = {"key": "k", "table": "t", "value": value, "row_version": 4}
    body = json.dumps({"row_version": 4, "rows": [row]}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    return head, body


@given("a store that responds in {pieces:d} pieces, one every {pause:g} s, {ending}")
def slow_store(context, pieces, pause, ending):
    head, body = _encode_response()
    piece_bytes = len(body) // 7 + 1

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if pieces:
            writer.write(head)
        for number in range(pieces):
            await asyncio.sleep(pause)
            writer.write(body[number * piece_bytes : (number + 1) * piece_bytes])
            await writer.drain()
        await reader.read()
        writer.close()

    async def start():
        return await asyncio.start_server(serve, "127.0.0.1", 0)

    context.server = run(context, start())
    port = context.server.sockets[0].getsockname()[1]
    context.url = f"http://127.0.0.1:{port}"
    context.add_cleanup(context.server.close)


@when("the table is requested by {call}")
def request_table(context, call):
    settings = make_settings(platform={"url": context.url})

    async def call_store():
        env = make_environment(SystemClock(), settings=settings)
        pool = ConnectionPool(env)
        store = RowStore(env, pool)
        started_s = env.clock.monotonic_s()
        try:
            if call == "read":
                changes = await store.read_table("t")
            else:
                changes = await store.changes("t", 3, 0.0)
            outcome = "whole" if changes.rows[0].value == VALUE else "corrupted"
        except PlatformUnavailable:
            outcome = "unavailable"
        finally:
            pool.close()
        return outcome, env.clock.monotonic_s() - started_s

    context.outcome, context.took_s = run(context, call_store())


@then("the response is {outcome} within {limit:g} s")
def response_is(context, outcome, limit):
    assert context.outcome == outcome, (context.outcome, context.took_s)
    assert context.took_s <= limit, context.took_s
