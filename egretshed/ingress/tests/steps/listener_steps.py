import asyncio
import errno
import logging
import os
import socket
from functools import partial

from behave import (
    given,
    then,
    when,
)
from tornado.httputil import (
    HTTPHeaders,
    ResponseStartLine,
)

from egretshed.callers.responses import ResponseTracker
from egretshed.callers.server import CallerServer
from egretshed.clock import SystemClock
from egretshed.ingress.server import RequestServer
from egretshed.serving.schema import CallerLimits
from standins.behave_loop import run
from standins.http_server import LOOPBACK
from standins.server_environment import ServerEnvironment

REQUEST = b"GET / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"
ANSWER_LIMIT_S = 5.0


class RacedListener(socket.socket):
    """Listener to which a caller connects just after `accept` has found no other."""

    is_raced = False
    fails = False
    last_caller: socket.socket | None = None

    def accept(self):
        if self.fails:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        try:
            return super().accept()
        except BlockingIOError:
            if self.is_raced and self.last_caller is None:
                self.last_caller = socket.socket()
                self.last_caller.setblocking(False)
                self.last_caller.connect_ex(self.getsockname())
            raise


async def _answer(request, reply):
    reply.start(200, [], b"done")


def _answer_own(request):
    head = ResponseStartLine("HTTP/1.1", 200, "OK")
    fields = HTTPHeaders({"Content-Length": "4"})
    request.connection.write_headers(head, fields, b"done")
    request.connection.finish()


def _start_platform(listener, env):
    server = RequestServer(env, _answer, CallerLimits, lambda error: (500, [], b""))
    server.listen([listener])
    return server.stop_listening


def _start_own(listener, env):
    server = CallerServer(_answer_own, ResponseTracker())
    server.add_sockets([listener])
    return partial(server.stop_listening, env)


INTERFACES = {"platform": _start_platform, "own": _start_own}


async def _send(caller) -> bytes:
    """Return the start of the answer, or nothing if the connection was refused."""
    reader, writer = await asyncio.open_connection(sock=caller)
    writer.write(REQUEST)
    answer = await asyncio.wait_for(reader.read(), ANSWER_LIMIT_S)
    writer.close()
    return answer


@given("a server of the {interface} interface with {count:d} opened connections")
def start_server(context, interface, count):
    async def start():
        env = ServerEnvironment(SystemClock(), logging.getLogger(__name__))
        context.listener = RacedListener()
        context.listener.bind((LOOPBACK, 0))
        context.listener.listen()
        context.listener.setblocking(False)
        context.stop_listening = INTERFACES[interface](context.listener, env)
        address = context.listener.getsockname()
        context.callers = [socket.create_connection(address) for _ in range(count)]

    run(context, start())


@when("another caller connects after the last accept and the listener closes")
def close_listener(context):
    async def close():
        context.listener.is_raced = True
        await context.stop_listening()
        context.answers = await asyncio.gather(*map(_send, context.callers))

    run(context, close())


@when('accepting fails with "Too many open files" and the listener closes')
def close_without_descriptors(context):
    context.listener.fails = True
    run(context, context.stop_listening())


@then("the listener is closed")
def is_closed(context):
    assert context.listener.fileno() == -1


@then("the opened connections are answered")
def are_answered(context):
    for answer in context.answers:
        assert answer.startswith(b"HTTP/1.1 200"), answer


@then("the last caller is answered or refused, but not reset")
def is_not_reset(context):
    async def outcome():
        loop = asyncio.get_running_loop()
        caller = context.listener.last_caller
        try:
            await loop.sock_sendall(caller, REQUEST)
            return await loop.sock_recv(caller, 4096)
        except ConnectionRefusedError:
            return b"refused"
        except ConnectionResetError:
            return b"reset"

    answer = run(context, outcome())
    assert answer == b"refused" or answer.startswith(b"HTTP/1.1 200"), answer
