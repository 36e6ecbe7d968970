import asyncio
import time
import tracemalloc

from behave import (
    given,
    then,
    when,
)

from egretshed.clock import SystemClock
from egretshed.upstream.exchange import (
    ExchangeFailed,
    OutgoingRequest,
    ProgressLimit,
    ResponseTimeouts,
)
from egretshed.upstream.pool import ConnectionPool
from standins.behave_loop import run
from standins.environments import make_environment
from standins.raw_server import start_raw_server

BODY_LIMIT_BYTES = 1_000_000
GIVE_UP_S = 20.0
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def _parts(part: str, size: int) -> tuple[bytes, bytes]:
    """Return what is sent once and what is sent again and again."""
    return {
        "garbage": (b"", b"x" * size),
        "header lines": (OK_HEAD, b"X-Filler: " + b"y" * max(1, size - 12) + b"\r\n"),
        "interim answers": (
            b"",
            b"HTTP/1.1 102 Processing\r\n\r\n" * max(1, size // 27),
        ),
        "a chunked body": (CHUNKED_HEAD, b"%x\r\n%s\r\n" % (size, b"z" * size)),
        "a chunk size": (CHUNKED_HEAD, b"0" * size),
        "trailers": (
            CHUNKED_HEAD + b"2\r\nok\r\n0\r\n",
            b"X-Filler: " + b"y" * max(1, size - 12) + b"\r\n",
        ),
        "an unframed body": (OK_HEAD + b"\r\n", b"z" * size),
    }[part]


def _start(context, send):
    """Start a server that awaits `send(writer)` for each request."""
    context.was_closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        sending = asyncio.create_task(send(writer))
        try:
            while await reader.read(1024):
                pass
        except ConnectionError:
            pass
        finally:
            context.was_closed.set()
            sending.cancel()
            writer.close()

    context.address = start_raw_server(context, serve)


@given("a server that sends {part} of {size:d} bytes each {pace_ms:d} ms without end")
def start_endless_server(context, part, size, pace_ms):
    first, repeated = _parts(part, size)

    async def send(writer):
        writer.write(first)
        try:
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(pace_ms / 1000)
        except ConnectionError:
            context.was_closed.set()

    _start(context, send)


@given("a server that sends a body of {size:d} bytes, {step:d} bytes each {pace:d} ms")
def start_slow_server(context, size, step, pace):
    async def send(writer):
        writer.write(OK_HEAD + b"Content-Length: %d\r\n\r\n" % size)
        for _ in range(size // step):
            writer.write(b"z" * step)
            await writer.drain()
            await asyncio.sleep(pace / 1000)

    _start(context, send)


@when(
    "a request is sent with limits of {head_s:g} s for the head and {window_s:g} s"
    " for {least:d} body bytes"
)
def fetch_with_limits(context, head_s, window_s, least):
    async def fetch():
        pool = ConnectionPool(make_environment(SystemClock()))
        request = OutgoingRequest("GET", "/", (("Host", "h"),))
        timeouts = ResponseTimeouts(head_s, ProgressLimit(window_s, least))
        try:
            async with asyncio.timeout(GIVE_UP_S):
                _, body = await pool.fetch(
                    context.address, request, BODY_LIMIT_BYTES, timeouts=timeouts
                )
                return "complete", len(body), None
        except ExchangeFailed as error:
            return "failed", 0, error
        except TimeoutError:
            return "endless", 0, None
        finally:
            pool.close()

    tracemalloc.start()
    began_s = time.monotonic()
    context.outcome, context.size, context.error = run(context, fetch())
    context.took_s = time.monotonic() - began_s
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("it failed within {most_s:g} s and may have run")
def check_failed(context, most_s):
    assert context.outcome == "failed", context.outcome
    assert context.took_s <= most_s, context.took_s
    assert context.error.may_have_run


@then("at most {most_mb:d} MB more memory was used")
def check_memory(context, most_mb):
    assert context.peak_bytes <= most_mb * 1e6, context.peak_bytes


@then("the server saw its connection closed")
def check_closed(context):
    run(context, asyncio.wait_for(context.was_closed.wait(), 2.0))


@then('the request ended "{outcome}" with {size:d} bytes')
def check_ended(context, outcome, size):
    expected = (outcome, size if outcome == "complete" else 0)
    assert (context.outcome, context.size) == expected, (context.outcome, context.size)
