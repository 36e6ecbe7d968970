import asyncio
import signal
import time

from behave import (
    then,
    when,
)

from standins.behave_loop import run
from standins.sender import (
    NO_ANSWER,
    Sender,
    assert_all_answered,
    read_answer,
)
from standins.users_platform.fleet import HOST

BEFORE_SIGNAL_S = 0.3
SECOND_SIGNAL_DELAY_S = 0.5
NODE = "node-0"
SENDERS = 4


def _head(request_id: str, method: str, path: str, length: int = 0) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
        "Authorization: Token key-1\r\nDeadline-Ms: 5000\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


@when('callers send requests to {path} on {kind} connections to "node-0" until it ends')
def start_senders(context, path, kind):
    def encode(request_id: str) -> bytes:
        method = "GET" if path.startswith("/read/") else "POST"
        return _head(request_id, method, path)

    async def start():
        port = context.fleet.ports[NODE][0]
        context.senders = [
            Sender(f"s{number}", port, encode, kind == "kept")
            for number in range(SENDERS)
        ]
        context.sending = [asyncio.create_task(s.run()) for s in context.senders]
        await asyncio.sleep(BEFORE_SIGNAL_S)

    run(context, start())


async def _stop(context, signals):
    process = context.fleet.processes.pop(NODE)
    process.send_signal(signal.SIGTERM)
    context.signal_s = time.monotonic()
    if "twice" in signals:
        await asyncio.sleep(SECOND_SIGNAL_DELAY_S)
        process.send_signal(signal.SIGTERM)
    context.exit_status = await process.wait()


@when('"node-0" gets {signals}')
def stop_node(context, signals):
    async def stop_and_wait():
        await _stop(context, signals)
        await asyncio.gather(*context.sending)

    run(context, stop_and_wait())


@then("every request that was sent got an answer, or its connection was refused")
def all_answered(context):
    assert_all_answered(context.senders, context.signal_s)


@then("at least {count:d} requests were answered after the first signal")
def answered_after_signal(context, count):
    after = [s for x in context.senders for s in x.sent if s.sent_s > context.signal_s]
    assert len(after) >= count, len(after)


@then("each answer tells the truth about its execution")
def answers_are_true(context):
    for sender in context.senders:
        for sent in sender.sent:
            runs = sum(
                server.run_counts[sent.request_id]
                for server in context.fleet.servers.values()
            )
            assert sent.outcome in ("200", "502", "503"), sent
            assert sent.outcome != "200" or runs > 0, (sent, runs)
            assert sent.outcome != "503" or runs == 0, (sent, runs)


@then("none that was accepted was ended early")
def none_ended(context):
    outcomes = [sent.outcome for x in context.senders for sent in x.sent]
    assert "502" not in outcomes, outcomes


@when('a request to {path} is sent to "node-0" in two halves, {pause_s:g} s apart')
def send_first_half(context, path, pause_s):
    async def send():
        port = context.fleet.ports[NODE][0]
        context.pause_s = pause_s
        context.reader, context.writer = await asyncio.open_connection(HOST, port)
        context.writer.write(_head("halves", "POST", path, 8) + b"half")
        await asyncio.sleep(0.1)

    run(context, send())


@when('after the first half "node-0" is stopped by SIGTERM')
def stop_between_halves(context):
    async def stop_and_finish():
        stopping = asyncio.create_task(_stop(context, "once"))
        await asyncio.sleep(context.pause_s)
        try:
            context.writer.write(b"half")
            context.outcome, _ = await read_answer(context.reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            context.outcome = NO_ANSWER
        context.writer.close()
        await stopping

    run(context, stop_and_finish())


@then("it is answered with {status}")
def is_answered(context, status):
    assert context.outcome == status, context.outcome


@when('request "{request_id}" to {path} is on its way and "node-0" gets {signals}')
def stop_with_request(context, request_id, path, signals):
    async def send_and_stop():
        request = context.fleet.request(NODE, path, request_id, Deadline_Ms="5000")
        sending = asyncio.create_task(request)
        await asyncio.sleep(BEFORE_SIGNAL_S)
        await _stop(context, signals)
        context.response = await sending

    run(context, send_and_stop())
