import asyncio
import contextlib
import logging
import socket
import time

from behave import (
    given,
    then,
    when,
)
from tornado.httputil import (
    HTTPHeaders,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets

from egretshed.callers.responses import ResponseTracker
from egretshed.callers.server import CallerServer
from egretshed.clock import SystemClock
from egretshed.ingress.server import RequestServer
from egretshed.platform.http_messages import encode_error_response
from egretshed.serving.schema import CallerLimits
from standins.behave_loop import run
from standins.http_server import LOOPBACK
from standins.server_environment import ServerEnvironment

ANSWER_LIMIT_S = 5.0
FIRST_REQUEST = b"GET /first HTTP/1.1\r\nHost: h.example\r\n\r\n"
BODY = b"b" * 90
# Below each of the larger limits of the tables, and above each of the smaller ones.
LARGE_HEAD_BYTES = 2000
LARGE_BODY_BYTES = 5000
# The loop is blocked from before the time of the wait until well after it.
BLOCKED_FROM_S = 0.3
BLOCKED_S = 1.2
FIELDS = {
    "idle_s": "idle_timeout_s",
    "header_s": "header_timeout_s",
    "header_bytes": "header_bytes",
    "body_bytes": "body_bytes",
}


def _encode(head_bytes: int, body: bytes) -> tuple[bytes, bytes]:
    """Return head and body of a request; the head is filled up to a size."""
    start = b"POST /second HTTP/1.1\r\nHost: h.example\r\n"
    start += b"Content-Length: %d\r\n" % len(body)
    filling = max(0, head_bytes - len(start) - len(b"X-Fill: \r\n\r\n"))
    return start + b"X-Fill: " + b"f" * filling + b"\r\n\r\n", body


def _split(context, sent: str) -> None:
    """Divide the request into what was sent and the rest."""
    head, body = _encode(context.head_bytes, context.body)
    at = {
        "nothing": 0,
        "half of the head": len(head) // 2,
        "the head": len(head),
        "half of the body": len(head) + len(body) // 2,
    }[sent]
    request = head + body
    context.sent, context.rest = request[:at], request[at:]


async def _read(context, limit_s: float = ANSWER_LIMIT_S) -> bytes:
    """Return what arrives until the end of an answer or of the connection."""
    loop = asyncio.get_running_loop()
    received = b""
    with contextlib.suppress(ConnectionResetError):
        async with asyncio.timeout(limit_s):
            while chunk := await loop.sock_recv(context.caller, 65536):
                received += chunk
                head, found, body = received.partition(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2]
                if found and len(body) >= int(length.split(b"\r\n")[0] or 0):
                    break
    return received


async def _send(context, data: bytes) -> None:
    with contextlib.suppress(ConnectionError):
        await asyncio.get_running_loop().sock_sendall(context.caller, data)


@given(
    "a server with the limits idle {idle_s:g} s, head {header_s:g} s,"
    " {header_bytes:d} head bytes, {body_bytes:d} body bytes"
)
def start_server(context, idle_s, header_s, header_bytes, body_bytes):
    context.limits = CallerLimits(header_bytes, body_bytes, header_s, idle_s)
    context.handled = []
    context.head_bytes, context.body = 300, BODY

    async def answer(request, reply):
        context.handled.append((request.target, request.body))
        reply.start(200, [], b"done")

    async def start():
        env = ServerEnvironment(SystemClock(), logging.getLogger(__name__))
        context.server = RequestServer(
            env, answer, lambda: context.limits, encode_error_response
        )
        sockets = bind_sockets(0, LOOPBACK)
        context.server.listen(sockets)
        context.address = sockets[0].getsockname()

    run(context, start())
    context.add_cleanup(lambda: run(context, context.server.close()))


@given(
    "a server of the own interface with the limits idle {idle_s:g} s and body"
    " {body_s:g} s"
)
def start_own_server(context, idle_s, body_s):
    context.handled = []
    context.head_bytes, context.body = 300, BODY

    def answer(request):
        context.handled.append((request.path, request.body))
        head = ResponseStartLine("HTTP/1.1", 200, "OK")
        fields = HTTPHeaders({"Content-Length": "4"})
        request.connection.write_headers(head, fields, b"done")
        request.connection.finish()

    async def start():
        context.server = CallerServer(
            answer,
            ResponseTracker(),
            idle_connection_timeout=idle_s,
            body_timeout=body_s,
        )
        sockets = bind_sockets(0, LOOPBACK)
        context.server.add_sockets(sockets)
        context.address = sockets[0].getsockname()

    async def stop():
        context.server.stop()
        await context.server.close_all_connections()

    run(context, start())
    context.add_cleanup(lambda: run(context, stop()))


@given("a {kind} connection on which {sent} was sent")
def open_connection(context, kind, sent):
    async def connect():
        loop = asyncio.get_running_loop()
        context.caller = socket.socket()
        context.caller.setblocking(False)
        await loop.sock_connect(context.caller, context.address)
        if kind == "kept":
            await _send(context, FIRST_REQUEST)
            assert (await _read(context)).startswith(b"HTTP/1.1 200")
            context.handled.clear()
        context.waiting_s = time.monotonic()
        await asyncio.sleep(0.05)

    run(context, connect())
    context.add_cleanup(lambda: context.caller.close())
    context.sent_part = sent


async def _send_first_part(context) -> None:
    _split(context, context.sent_part)
    await _send(context, context.sent)
    await asyncio.sleep(0.05)


@when("the rest of the request arrives while the loop is blocked")
def send_while_blocked(context):
    async def send():
        await _send_first_part(context)
        await asyncio.sleep(BLOCKED_FROM_S - (time.monotonic() - context.waiting_s))
        time.sleep(BLOCKED_S / 2)
        context.caller.sendall(context.rest)
        time.sleep(BLOCKED_S / 2)
        context.answer = await _read(context)

    run(context, send())


@when("the rest of the request arrives after the blocked loop looked for bytes")
def send_after_poll(context):
    async def send():
        loop = asyncio.get_running_loop()
        await _send_first_part(context)
        await asyncio.sleep(BLOCKED_FROM_S - (time.monotonic() - context.waiting_s))
        # Due before the time of the wait, and thus run before it in the same turn.
        loop.call_later(0.01, context.caller.sendall, context.rest)
        time.sleep(BLOCKED_S)
        context.answer = await _read(context)

    run(context, send())


@when("{limit} is {changed} to {value:g}")
def change_limit(context, limit, changed, value):
    async def change():
        if limit == "header_bytes":
            context.head_bytes = LARGE_HEAD_BYTES
        elif limit == "body_bytes":
            context.body = b"b" * LARGE_BODY_BYTES
        await _send_first_part(context)
        field = FIELDS[limit]
        number = int(value) if field.endswith("_bytes") else value
        context.limits = context.limits._replace(**{field: number})
        context.server.apply_limits()

    run(context, change())


@when("the rest of the request arrives {rest_s:g} s later")
def send_later(context, rest_s):
    async def send():
        await asyncio.sleep(rest_s)
        await _send(context, context.rest)
        context.answer = await _read(context)

    run(context, send())


@when("the rest of the request arrives")
def send_rest(context):
    async def send():
        await _send_first_part(context)
        await _send(context, context.rest)
        context.answer = await _read(context)

    run(context, send())


@when("its caller goes on with a byte each {pace_s:g} s")
def send_slowly(context, pace_s):
    async def trickle():
        while True:
            await asyncio.sleep(pace_s)
            await _send(context, b"x")

    async def send():
        await _send_first_part(context)
        began_s = time.monotonic()
        trickling = asyncio.create_task(trickle())
        context.answer = await _read(context)
        while await _read(context):
            pass
        context.closed_after_s = time.monotonic() - began_s
        trickling.cancel()

    run(context, send())


@when("its caller sends the rest of the request once it is answered")
def send_after_answer(context):
    async def send():
        await _send_first_part(context)
        context.answer = await _read(context)
        await _send(context, context.rest)
        await asyncio.sleep(0.3)

    run(context, send())


@when("the rest of the request arrives as the server closes")
def send_as_it_closes(context):
    async def send():
        await _send_first_part(context)
        context.caller.sendall(context.rest)
        await context.server.close()
        context.answer = await _read(context)

    run(context, send())


@then("the caller is answered with {status:d}")
def is_answered(context, status):
    assert context.answer.startswith(b"HTTP/1.1 %d" % status), context.answer
    if status == 200:
        assert context.handled == [("/second", context.body)], context.handled


@then("its connection is closed within {most_s:g} s")
def is_closed_within(context, most_s):
    assert context.closed_after_s < most_s, context.closed_after_s


@then("no request of it is handled")
def none_handled(context):
    assert not context.handled, context.handled


@then("the connection is closed without an answer after {least_s:g} to {most_s:g} s")
def is_closed_unanswered(context, least_s, most_s):
    answer = run(context, _read(context, most_s + ANSWER_LIMIT_S))
    waited_s = time.monotonic() - context.waiting_s
    assert not answer, answer
    assert least_s <= waited_s <= most_s, waited_s
