import asyncio
import itertools
import json
import time
import tracemalloc

from behave import (
    given,
    then,
    when,
)

from egretshed.backends.adapters import connect_backend
from egretshed.backends.interface import BackendCall
from egretshed.clock import SystemClock
from egretshed.configuration.schema import (
    Pool,
    Replica,
)
from egretshed.errors import BackendError
from standins.behave_loop import run
from standins.environments import make_environment
from standins.raw_server import (
    LateWriter,
    start_raw_server,
)

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)
TOKEN = b'data: {"choices": [{"text": "t"}]}\n\n'
DONE = b"data: [DONE]\n\n"
DEADLINE_S = 4.0


def _pieces(stream):
    """Return what is sent, and the pause after each piece in seconds."""
    count, _, rest = stream.partition(" tokens, one each ")
    if rest:
        return [*[TOKEN] * int(count), DONE], float(rest.removesuffix(" s"))
    return {
        "a byte of an event each 0.1 s": (itertools.repeat(b"d"), 0.1),
        "a comment each 0.1 s": (itertools.repeat(b": still here\n\n"), 0.1),
        "an empty event each 0.1 s": (itertools.repeat(b"data: {}\n\n"), 0.1),
        "an event without end": (itertools.repeat(b"x" * 64_000), 0.0),
        "an event that is not JSON": ([b"data: {\n\n", DONE], 0.0),
        "an event that is a list": ([b"data: [1]\n\n", DONE], 0.0),
        "an event whose choices are numbers": (
            [b'data: {"choices": [1]}\n\n', DONE],
            0.0,
        ),
        "a head without end": (itertools.repeat(b"X-Filler: " + b"y" * 9000), 0.0),
    }[stream]


@given("an engine that sends {stream}")
def start_engine(context, stream):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        pieces, pause_s = _pieces(stream)
        head = STREAM_HEAD[:-2] if stream == "a head without end" else STREAM_HEAD
        try:
            writer.write(head)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            pass
        finally:
            writer.close()

    context.address = start_raw_server(context, serve)


@given("a service that responds with {body}")
def start_service(context, body):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(_plain_response(body.encode()))
        writer.close()

    context.address = start_raw_server(context, serve)


def _plain_response(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@given("a service that sends each response twice, the second {delay_s:g} s later")
def start_repeating_service(context, delay_s):
    async def serve(reader, writer):
        late = LateWriter(writer, delay_s)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                call = json.loads(await reader.readexactly(length))
                output = {"output": {"attempt_id": call["attempt_id"]}}
                response = _plain_response(json.dumps(output).encode())
                writer.write(response)
                late.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            late.close()

    context.address = start_raw_server(context, serve)


def _backend(context, adapter):
    replica = Replica("b-1", f"http://{context.address}", "a")
    pool = Pool("engine", (replica,), 1, 4, adapter=adapter)
    return connect_backend(make_environment(SystemClock()), pool, replica)


def _call(attempt_id, limit_s=DEADLINE_S):
    return BackendCall(attempt_id, "r", "c", "s", {}, 1, DEADLINE_S, limit_s)


async def _result(backend, call):
    tokens = []
    try:
        await backend.call(call, lambda event: tokens.extend(event.tokens))
    except BackendError as error:
        return error.code
    return f"{len(tokens)} tokens" if tokens else "an output"


def _measure(context, adapter, limit_s):
    tracemalloc.start()
    began_s = time.monotonic()
    call = _call("a-1", limit_s)
    context.result = run(context, _result(_backend(context, adapter), call))
    context.took_s = time.monotonic() - began_s
    context.peak_mb = tracemalloc.get_traced_memory()[1] / 1e6
    tracemalloc.stop()


@when("a call to it has a progress limit of {limit_s:g} s and 4 s to go")
def call_engine(context, limit_s):
    _measure(context, "openai_completions", limit_s)


@when("a plain call to it has a progress limit of {limit_s:g} s and 4 s to go")
def call_service(context, limit_s):
    _measure(context, "plain_json", limit_s)


@then("it ends with {result} within {limit_s:g} s")
def ends_with(context, result, limit_s):
    assert context.result == result, context.result
    assert context.took_s <= limit_s, context.took_s


@then("its memory grew by at most {most_mb:g} MB")
def memory_grew(context, most_mb):
    assert context.peak_mb <= most_mb, context.peak_mb


@when("{count:d} calls are made to it, {pause_s:g} s apart")
def make_calls(context, count, pause_s):
    async def call_all():
        backend = _backend(context, "plain_json")
        for number in range(count):
            call = _call(f"a-{number}")
            result = await backend.call(call, lambda event: None)
            context.outputs.append(result.output["attempt_id"])
            await asyncio.sleep(pause_s)

    context.outputs = []
    run(context, call_all())


@then("each call gets its own response")
def own_responses(context):
    expected = [f"a-{number}" for number in range(len(context.outputs))]
    assert context.outputs == expected, context.outputs
