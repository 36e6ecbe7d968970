import asyncio
import time
from pathlib import Path

from behave import (
    given,
    then,
    when,
)

from standins.behave_loop import run
from standins.users_platform.fleet import (
    HOST,
    make_platform_configuration,
)
from standins.users_platform.servers import event_text
from standins.users_platform.store import OPERATOR_TABLE

CONFIGURATION_DELAY_S = 1.5
GIVE_UP_S = 12.0
NODE = "node-0"
STREAM_PATHS = ("/ask/", "/digest/")
FAILING_MODES = {
    "is full": "full",
    "fails": "error",
    "answers 503 after a run": "late_503",
    "is at another's address": "other",
    "closes after the head": "unframed_empty",
    "loses its answers": "lost",
}
HEAD = (
    b"POST /book/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: up\r\n"
    b"Authorization: Token key-1\r\nDeadline-Ms: 5000\r\n"
)


def _memory_mb(context) -> float:
    pid = context.fleet.processes[NODE].pid
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


@then("the response took at most {most_s:g} s")
def took(context, most_s):
    assert context.response_s <= most_s, context.response_s


@then("a response with status 200 has the whole body of {path}")
def body_is_whole(context, path):
    if context.response.code != 200:
        return
    whole = f"answer to r1 {path}"
    if path.startswith(STREAM_PATHS):
        engine = context.fleet.servers["engine-0"]
        whole = "".join(event_text(n, "r1") for n in range(1, engine.events + 1))
    assert context.response.body.decode() == whole, context.response.body


@when('{count:d} requests to {path} are sent to "node-0" at once')
def send_at_once(context, count, path):
    async def send():
        context.memory_mb = peak_mb = _memory_mb(context)
        requests = [context.fleet.request(NODE, path, f"m{n}") for n in range(count)]
        sending = asyncio.gather(*requests)
        while not sending.done():
            peak_mb = max(peak_mb, _memory_mb(context))
            await asyncio.sleep(0.02)
        await sending
        context.peak_mb = peak_mb

    run(context, send())


@then("its memory grew by at most {most_mb:d} MB")
def memory_grew(context, most_mb):
    assert context.peak_mb - context.memory_mb <= most_mb, context.peak_mb


@given("one engine cuts streams midway, and the other {fails}")
def cut_then_fail(context, fails):
    cutting, failing = (
        s for s in context.fleet.servers.values() if s.service == "engine"
    )
    cutting.mode, failing.mode = "cut", FAILING_MODES[fails]


@when("the bytes of {count:d} streams are read")
def read_streams(context, count):
    async def read(number):
        port = context.fleet.ports[f"node-{number % 3}"][0]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            f"POST /digest/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: s{number}\r\n"
            "Authorization: Token key-1\r\nDeadline-Ms: 3000\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
        )
        received = await reader.read()
        writer.close()
        return received

    async def read_all():
        return await asyncio.gather(*(read(number) for number in range(count)))

    context.received = run(context, read_all())


@then("they hold events of their streams alone, and none ends as complete")
def only_own_events(context):
    begun = 0
    for number, received in enumerate(context.received):
        head, _, body = received.partition(b"\r\n\r\n")
        if b" 200 " not in head.partition(b"\r\n")[0]:
            continue
        begun += 1
        content, is_complete = _decode_chunks(body)
        events = b"".join(event_text(n, f"s{number}").encode() for n in range(1, 6))
        assert events.startswith(content), content
        assert not is_complete, received
    assert begun, context.received


def _decode_chunks(body: bytes) -> tuple[bytes, bool]:
    """Return the content of a chunked body, and whether its final chunk is there."""
    content = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        if int(size, 16) == 0:
            return content, True
        content += rest[: int(size, 16)]
        body = rest[int(size, 16) + 2 :]
    return content, False


@given(
    "the limits of callers are {header:d} header bytes, {body:d} body bytes and"
    " {time_s:g} s"
)
def set_limits(context, header, body, time_s):
    limits = {
        "max_header_bytes": header,
        "max_body_bytes": body,
        "header_timeout_ms": int(time_s * 1000),
        "idle_timeout_ms": int(time_s * 1000),
    }
    configuration = make_platform_configuration(2, limits=limits)
    context.fleet.store.put_json(OPERATOR_TABLE, "config", configuration)
    run(context, asyncio.sleep(CONFIGURATION_DELAY_S))


def _parts(part: str, size: int) -> tuple[bytes, bytes]:
    """Return what is sent once and what is sent again and again."""
    return {
        "header lines": (HEAD, b"X-F: " + b"y" * max(1, size - 7) + b"\r\n"),
        "a chunked body": (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"%x\r\n%s\r\n" % (size, b"z" * size),
        ),
        "a sized body": (HEAD + b"Content-Length: 9000\r\n\r\n", b"z" * size),
        "nothing": (b"", b""),
    }[part]


@when("an HTTP/1.0 caller sends a request to {path}")
def send_http_1_0(context, path):
    head = HEAD.replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"/book/x", path.encode())

    async def send():
        reader, writer = await asyncio.open_connection(
            HOST, context.fleet.ports[NODE][0]
        )
        writer.write(head + b"Content-Length: 0\r\n\r\n")
        try:
            async with asyncio.timeout(GIVE_UP_S):
                await reader.read()
            context.end = "closed"
        except ConnectionResetError:
            context.end = "reset"
        writer.close()

    run(context, send())


@then("the caller sees the connection {end}")
def connection_end_is(context, end):
    assert context.end == end, context.end


@when('a caller sends {part} to "node-0", {size:d} bytes each {pace_ms:d} ms')
def send_without_end(context, part, size, pace_ms):
    first, repeated = _parts(part, size)

    async def send():
        context.memory_mb = context.peak_mb = _memory_mb(context)
        reader, writer = await asyncio.open_connection(
            HOST, context.fleet.ports[NODE][0]
        )
        began_s = time.monotonic()

        async def send_all():
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()
                context.peak_mb = max(context.peak_mb, _memory_mb(context))
                await asyncio.sleep(pace_ms / 1000)

        sending = asyncio.create_task(send_all())
        try:
            async with asyncio.timeout(GIVE_UP_S):
                while await reader.read(1024):
                    pass
        except (ConnectionError, TimeoutError):
            pass
        context.closed_s = time.monotonic() - began_s
        sending.cancel()
        await asyncio.wait({sending})
        writer.close()

    run(context, send())


@then("its connection is closed within {most_s:g} s")
def closed_within(context, most_s):
    assert context.closed_s <= most_s, context.closed_s


@when('a caller uploads {size:d} bytes to "node-0", {step:d} bytes each {pace_ms:d} ms')
def send_slowly(context, size, step, pace_ms):
    async def send():
        reader, writer = await asyncio.open_connection(
            HOST, context.fleet.ports[NODE][0]
        )
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size)
        for _ in range(size // step):
            writer.write(b"z" * step)
            await writer.drain()
            await asyncio.sleep(pace_ms / 1000)
        line = await reader.readline()
        context.outcome = line.decode().split(" ")[1] if line else "no answer"
        writer.close()

    run(context, send())
