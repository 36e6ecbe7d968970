import asyncio
import contextlib
import gc
import socket
import tracemalloc

from behave import (
    then,
    when,
)

from standins.behave_loop import run

REQUEST = b"POST /next HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody"
CHUNK = b"10000\r\n" + b"c" * 65536 + b"\r\n"
CHUNKED = (
    b"POST /next HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    + CHUNK * 18
    + b"0\r\n\r\n"
)
REQUESTS = {
    "a request": (REQUEST, b"200"),
    "chunks over the body limit": (CHUNKED, b"413"),
}
ANSWER_LIMIT_S = 5.0
# Requests before the first measurement, which fill caches.
WARM_UP_COUNT = 10
# Time for the server to notice the ends of connections; some checks of them run too.
SETTLE_S = 1.2


def _call(address, request, status, count):
    for _ in range(count):
        with socket.create_connection(address) as sock:
            sock.settimeout(ANSWER_LIMIT_S)
            with contextlib.suppress(ConnectionError):
                sock.sendall(request)
                answer = sock.recv(4096)
                assert answer.startswith(b"HTTP/1.1 " + status), answer


async def _used_bytes():
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


@when("{count:d} callers send {request}, each on its own connection, and close it")
def call_and_close(context, count, request):
    async def call():
        loop = asyncio.get_running_loop()
        arguments = (context.address, *REQUESTS[request])
        await loop.run_in_executor(None, _call, *arguments, WARM_UP_COUNT)
        context.handled.clear()
        before_bytes = await _used_bytes()
        await loop.run_in_executor(None, _call, *arguments, count)
        context.handled.clear()
        return await _used_bytes() - before_bytes

    tracemalloc.start()
    try:
        context.kept_bytes = run(context, call())
    finally:
        tracemalloc.stop()


@then("at most {kept_kb:d} kB more are in use than before")
def is_freed(context, kept_kb):
    assert context.kept_bytes <= kept_kb * 1000, context.kept_bytes
