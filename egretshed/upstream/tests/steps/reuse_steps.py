import asyncio
import re

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
    LateWriter,
    start_raw_server,
)

BODY_LIMIT_BYTES = 1_000_000
ID_HEADER = "Request-Id"
ID_PATTERN = re.compile(rb"(?i)^request-id: *([^\r\n]+)", re.MULTILINE)


def _repeated_part(answer: bytes, part: str) -> bytes:
    head, _, _ = answer.partition(b"\r\n\r\n")
    return {
        "the whole": answer,
        "the head": head + b"\r\n\r\n",
        "half": answer[: len(answer) // 2],
        "garbage": b"not an answer\r\n\r\n",
        "nothing": b"",
    }[part]


def _start(context, make_answer, extra="nothing", delay_s=0.0):
    """Start a server; `make_answer` gets the raw head and target of a request."""
    context.connections = 0

    async def serve(reader, writer):
        context.connections += 1
        late = LateWriter(writer, delay_s)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                answer = make_answer(head, head.split(b" ")[1])
                copy = _repeated_part(answer, extra)
                # Without a delay both arrive in one read.
                writer.write(answer + (b"" if delay_s else copy))
                await writer.drain()
                if delay_s:
                    late.write(copy)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            late.close()

    context.address = start_raw_server(context, serve)


def _answer(head: bytes, body: bytes, with_id: bool, headers: bytes = b"") -> bytes:
    found = ID_PATTERN.search(head)
    if with_id and found:
        headers += b"Request-Id: " + found[1] + b"\r\n"
    length = str(len(body)).encode()
    return (
        b"HTTP/1.1 200 OK\r\nContent-Length: "
        + length
        + b"\r\n"
        + headers
        + b"\r\n"
        + body
    )


@given(
    "a server that {names} the request's id and sends {extra} again after"
    " {delay_ms:d} ms"
)
def start_repeating_server(context, names, extra, delay_ms):
    with_id = names == "echoes"
    _start(
        context,
        lambda head, target: _answer(head, target, with_id),
        extra,
        delay_ms / 1000,
    )


@given('a server that answers with the header "{header}"')
def start_server_with_header(context, header):
    line = header.encode() + b"\r\n"
    _start(context, lambda head, target: _answer(head, target, True, line))


@when("{count:d} requests are sent to it in turn, {pause_ms:d} ms apart")
def send_in_turn(context, count, pause_ms):
    async def send():
        pool = ConnectionPool(make_environment(SystemClock()), ID_HEADER)
        outcomes = []
        for number in range(count):
            target = f"/{number}"
            request = OutgoingRequest("GET", target, (("Host", "h"),))
            try:
                _, body = await pool.fetch(
                    context.address, request, BODY_LIMIT_BYTES, reuse=True
                )
                outcomes.append((target, body.decode()))
            except ExchangeFailed:
                outcomes.append((target, None))
            await asyncio.sleep(pause_ms / 1000)
        pool.close()
        return outcomes

    context.outcomes = run(context, send())


@then("no request got the answer of another one")
def check_own_answers(context):
    wrong = [o for o in context.outcomes if o[1] not in (None, o[0])]
    assert not wrong, context.outcomes


@then("at least {count:d} requests got their own answer")
def check_answered(context, count):
    answered = [o for o in context.outcomes if o[1] == o[0]]
    assert len(answered) >= count, context.outcomes


@then("it has accepted {count:d} connections")
def check_connections(context, count):
    assert context.connections == count, context.connections
