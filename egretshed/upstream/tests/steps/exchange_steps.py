import asyncio
import socket

from behave import (
    given,
    then,
    when,
)

from egretshed.clock import SystemClock
from egretshed.upstream.exchange import (
    ExchangeFailed,
    OutgoingRequest,
)
from egretshed.upstream.pool import ConnectionPool
from standins.behave_loop import run
from standins.environments import make_environment
from standins.raw_server import (
    RESET_ON_CLOSE,
    start_raw_server,
)

BODY_LIMIT_BYTES = 1_000_000


@given("a server that sends {answer} and then {ending}")
def start_server(context, answer, ending):
    content = b"" if answer == "nothing" else answer.encode()
    content = content.decode("unicode_escape").encode("latin1")

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(content)
        await writer.drain()
        if ending == "waits":
            await reader.read()
        elif ending == "resets":
            # A reset discards data in flight, so the content must arrive first.
            await asyncio.sleep(0.05)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        writer.close()

    context.address = start_raw_server(context, serve)


async def _exchange(context):
    pool = ConnectionPool(make_environment(SystemClock()))
    exchange = await pool.open(context.address, BODY_LIMIT_BYTES)
    try:
        exchange.send(OutgoingRequest("GET", "/", (("Host", "h"),)))
        head = await exchange.head()
        body = await exchange.body()
        return f"{head.status} {body.decode()}", await exchange.release()
    finally:
        exchange.close()
        pool.close()


@when("a request is sent to it")
def send_request(context):
    try:
        context.outcome, context.reusable = run(context, _exchange(context))
    except ExchangeFailed as error:
        context.outcome, context.reusable = "failed", False
        context.error = error


@then('the outcome is "{outcome}" and reusable is {reusable}')
def check_outcome(context, outcome, reusable):
    assert context.outcome == outcome, context.outcome
    assert context.reusable == (reusable == "yes"), context.reusable


@when("a request is sent to a port without a listener")
def send_without_listener(context):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        context.address = f"127.0.0.1:{unused.getsockname()[1]}"
    send_request(context)


@then("it failed and cannot have run")
def check_not_run(context):
    assert context.outcome == "failed"
    assert not context.error.may_have_run


@when("a request to it has its head, and {pause_s:g} s pass")
def await_end(context, pause_s):
    async def send():
        pool = ConnectionPool(make_environment(SystemClock()))
        exchange = await pool.open(context.address, BODY_LIMIT_BYTES)
        try:
            exchange.send(OutgoingRequest("GET", "/", (("Host", "h"),)))
            await exchange.head()
            await asyncio.sleep(pause_s)
            return exchange.connection_end, exchange.silent_s
        finally:
            exchange.close()
            pool.close()

    context.end, context.silent_s = run(context, send())


@then('its connection is "{end}", and the server was silent for {least_s:g} s or more')
def check_end(context, end, least_s):
    assert context.end == end, context.end
    assert context.silent_s >= least_s, context.silent_s


@when("a call is made that may not be sent once the connection is open")
def withdraw_call(context):
    async def call():
        pool = ConnectionPool(make_environment(SystemClock()))
        request = OutgoingRequest("GET", "/", (("Host", "h"),))
        try:
            await pool.fetch(
                context.address, request, BODY_LIMIT_BYTES, may_send=lambda: False
            )
        finally:
            pool.close()

    context.outcome = "sent"
    try:
        run(context, call())
    except ExchangeFailed as error:
        context.outcome, context.error = "failed", error
