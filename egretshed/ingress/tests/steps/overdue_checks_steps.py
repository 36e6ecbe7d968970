import asyncio
import socket
import time

from behave import (
    then,
    when,
)

from standins.behave_loop import run

HALF_HEAD = b"GET /next HT"
# A check of the connections has seen the first bytes of both heads by then.
SEEN_S = 0.7
ANSWER_LIMIT_S = 5.0


@when(
    "two callers send half a head, and one leaves while the node stands still for"
    " {still_s:g} s"
)
def leave(context, still_s):
    async def send():
        loop = asyncio.get_running_loop()
        errors = []
        loop.set_exception_handler(lambda _, details: errors.append(str(details)))
        try:
            with (
                socket.create_connection(context.address) as leaving,
                socket.create_connection(context.address) as staying,
            ):
                staying.setblocking(False)
                leaving.sendall(HALF_HEAD)
                await asyncio.sleep(0.05)
                staying.sendall(HALF_HEAD)
                await asyncio.sleep(SEEN_S)
                leaving.close()
                time.sleep(still_s)
                began_s = time.monotonic()
                answer = await asyncio.wait_for(
                    loop.sock_recv(staying, 4096), ANSWER_LIMIT_S
                )
                return answer, time.monotonic() - began_s, errors
        finally:
            loop.set_exception_handler(None)

    context.result = run(context, send())


@then("the other one is answered 408 within {limit_s:g} s, and no error is unhandled")
def is_answered(context, limit_s):
    answer, took_s, errors = context.result
    assert answer.startswith(b"HTTP/1.1 408"), answer
    assert not errors, errors
    assert took_s <= limit_s, took_s
