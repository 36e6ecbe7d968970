import asyncio
import signal
import time

from behave import (
    given,
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
from standins.users_platform.fleet import (
    HOST,
    Fleet,
    make_platform_configuration,
)
from standins.users_platform.store import OPERATOR_TABLE

BEFORE_SIGNAL_S = 0.3
SECOND_SIGNAL_DELAY_S = 0.5
NODE = "node-0"
SENDERS = 4
PATHS = ("/ask/x", "/digest/x", "/book/x", "/read/x")
STREAM_EVENTS = 36
WARM_UP_DEADLINE_MS = "5000"
FURTHER_CALLERS_S = (0.4, 0.8, 1.2)
CONFIGURATION_PERIOD_S = 0.2
# An exit took 0.2 s longer once at a load average of 18 on 8 processors.
LOAD_MARGIN_S = 0.25
# Until all nodes have applied a configuration.
CONFIGURATION_DELAY_S = 0.6
SHORTER_TIMEOUT_S = 1.5
# The exemption of the users' rule for requests that a stop cuts.
LAST_SHARE = 5 / 6
EXEMPT_SENT_S = 3.0


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
    context.exit_s = time.monotonic() - context.signal_s


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


def _note_answer(context):
    context.answered_s = time.monotonic()


@when('request "{request_id}" to {path} is on its way and "node-0" gets {signals}')
def stop_with_request(context, request_id, path, signals):
    async def send_and_stop():
        request = context.fleet.request(NODE, path, request_id, Deadline_Ms="5000")
        sending = asyncio.create_task(request)
        sending.add_done_callback(lambda _: _note_answer(context))
        await asyncio.sleep(BEFORE_SIGNAL_S)
        await _stop(context, signals)
        context.response = await sending

    run(context, send_and_stop())


@given("3 entry nodes with a shutdown limit of {limit_s:g} s and routes of 10 s")
def start_fleet_with_limit(context, limit_s):
    async def start():
        context.fleet = Fleet(bounds={"shutdown_s": limit_s})
        await context.fleet.__aenter__()
        configuration = make_platform_configuration(version=2)
        for route in configuration["routes"]:
            route["timeout_ms"] = 10_000
        context.fleet.store.put_json(OPERATOR_TABLE, "config", configuration)
        await asyncio.sleep(CONFIGURATION_DELAY_S)

    run(context, start())
    context.add_cleanup(lambda: run(context, context.fleet.__aexit__()))


@when('request "{request_id}" to {path} ends {end_s:g} s after "node-0" gets {signals}')
def stop_with_late_request(context, request_id, path, end_s, signals):
    last_s = BEFORE_SIGNAL_S + end_s
    for server in context.fleet.servers.values():
        if server.kind == "plain":
            server.work_s = last_s
        elif server.kind == "engine":
            server.events = STREAM_EVENTS
            server.event_s = last_s / STREAM_EVENTS

    async def send():
        return await context.fleet.request(
            NODE, path, request_id, {"request_timeout": 12.0}, Deadline_Ms="10000"
        )

    async def send_and_stop():
        sending = asyncio.create_task(send())
        sending.add_done_callback(lambda _: _note_answer(context))
        await asyncio.sleep(BEFORE_SIGNAL_S)
        await _stop(context, signals)
        context.response = await sending

    run(context, send_and_stop())


@then(
    "it had the answer {early_s:g} s before the limit of the stop, and the node ended"
)
def answered_before_limit(context, early_s):
    limit_s = context.fleet.bounds["shutdown_s"]
    answered_s = context.answered_s - context.signal_s
    assert answered_s <= limit_s - early_s, answered_s
    assert context.exit_s < limit_s + LOAD_MARGIN_S, context.exit_s


@given("streams last {last_s:g} s after their head")
def set_stream_time(context, last_s):
    for server in context.fleet.servers.values():
        if server.kind == "engine":
            server.events = STREAM_EVENTS
            server.event_s = last_s / (STREAM_EVENTS - 1)


@given('"node-0" has served {count:d} requests of each route')
def warm_up(context, count):

    async def send():
        requests = [
            context.fleet.request(
                NODE, path, f"warm{path}{number}", Deadline_Ms=WARM_UP_DEADLINE_MS
            )
            for path in PATHS
            for number in range(count)
        ]
        codes = [response.code for response in await asyncio.gather(*requests)]
        assert codes == [200] * len(codes), codes

    run(context, send())


def _make_sender(context, path, name, keeps):
    method = "GET" if path.startswith("/read/") else "POST"
    port = context.fleet.ports[NODE][0]
    return Sender(name, port, lambda i: _head(i, method, path), keeps)


@when("callers of each route send to {node} on new and kept connections until it ends")
def start_mixed_senders(context, node):
    context.senders = [
        _make_sender(context, path, f"{path[1:-2]}-{kind}", kind == "kept")
        for path in PATHS
        for kind in ("new", "kept")
    ]

    async def start():
        context.sending = [asyncio.create_task(s.run()) for s in context.senders]
        await asyncio.sleep(BEFORE_SIGNAL_S)

    run(context, start())


@when("further callers begin 0.4, 0.8 and 1.2 s after the signal")
def plan_further_senders(context):
    context.further = [
        (delay_s, _make_sender(context, path, f"{path[1:-2]}-late-{delay_s}", False))
        for delay_s in FURTHER_CALLERS_S
        for path in PATHS
    ]
    context.senders += [sender for _, sender in context.further]


@when("the stages take {work_s:g} s each from now on")
def slow_stages(context, work_s):
    for server in context.fleet.servers.values():
        if server.kind == "stage":
            server.work_s = work_s


async def _run_later(delay_s, sender):
    await asyncio.sleep(delay_s)
    await sender.run()


def _configuration(version, beside):
    configuration = make_platform_configuration(version)
    if beside == "a shorter route timeout":
        for route in configuration["routes"]:
            route["timeout_ms"] = int(1000 * SHORTER_TIMEOUT_S)
    elif version % 2:
        extra = {**configuration["routes"][0], "name": "new", "path_prefix": "/new/"}
        configuration["routes"].append(extra)
    return configuration


async def _change_configuration(context, beside):
    version = 2
    while beside != "no other change":
        context.fleet.store.put_json(
            OPERATOR_TABLE, "config", _configuration(version, beside)
        )
        version += 1
        await asyncio.sleep(CONFIGURATION_PERIOD_S)


@when('"node-0" is stopped by {signals} beside {beside}')
def stop_beside(context, signals, beside):
    context.beside = beside

    async def stop():
        changing = asyncio.create_task(_change_configuration(context, beside))
        further = [asyncio.create_task(_run_later(*f)) for f in context.further]
        await _stop(context, signals)
        changing.cancel()
        await asyncio.gather(*context.sending, *further)

    run(context, stop())


def _sent(context):
    return [sent for sender in context.senders for sent in sender.sent]


def _work_end_s(context, request_id):
    """Return when the last server stopped to work on a request, after the signal."""
    ends_s = [
        server.work_ends_s[request_id]
        for server in context.fleet.servers.values()
        if request_id in server.work_ends_s
    ]
    return max(ends_s, default=0.0) - context.signal_s


def _describe(context, sent):
    return (
        sent.request_id,
        sent.outcome,
        round(sent.sent_s - context.signal_s, 2),
        round(sent.ended_s - context.signal_s, 2),
    )


@then("each request that was read got a whole answer or a true refusal")
def mixed_answers(context):
    for sent in _sent(context):
        runs = sum(
            s.run_counts[sent.request_id] for s in context.fleet.servers.values()
        )
        allowed = ("200", "502", "503", "504", NO_ANSWER)
        assert sent.outcome in allowed, _describe(context, sent)
        assert sent.outcome != "503" or runs == 0, (_describe(context, sent), runs)


def _cut(context):
    """Return the requests without an answer, except for those at their timeout."""
    return [
        sent
        for sent in _sent(context)
        if sent.outcome == NO_ANSWER and not _is_at_shorter_timeout(context, sent)
    ]


def _is_at_shorter_timeout(context, sent):
    return (
        context.beside == "a shorter route timeout"
        and sent.sent_s > context.signal_s
        and sent.ended_s - sent.sent_s >= SHORTER_TIMEOUT_S
    )


@then(
    "those without either ran into the last sixth and were sent by 3 s after the signal"
)
def only_exempt_are_cut(context):
    last_sixth_s = LAST_SHARE * context.fleet.bounds["shutdown_s"]
    wrong = [
        (_describe(context, sent), round(_work_end_s(context, sent.request_id), 2))
        for sent in _cut(context)
        if sent.sent_s - context.signal_s > EXEMPT_SENT_S
        or _work_end_s(context, sent.request_id) < last_sixth_s
    ]
    assert not wrong, wrong


@then("no request that was sent after the signal was cut")
def none_sent_later_is_cut(context):
    later = [s for s in _cut(context) if s.sent_s > context.signal_s]
    assert not later, [_describe(context, sent) for sent in later]


@then(
    "at least {streams:d} streams and {others:d} others sent after the signal were"
    " answered"
)
def answered_later(context, streams, others):
    whole = [
        sent.request_id.startswith(("ask", "digest"))
        for sent in _sent(context)
        if sent.outcome == "200" and sent.sent_s > context.signal_s
    ]
    assert whole.count(True) >= streams, whole.count(True)
    assert whole.count(False) >= others, whole.count(False)


@then(
    "each refused one was refused by {end_s:g} s after the signal, or within"
    " {within_s:g} s"
)
def refused_early(context, end_s, within_s):
    held = [
        _describe(context, sent)
        for sent in _sent(context)
        if sent.outcome == "503"
        and sent.ended_s - context.signal_s > end_s
        and sent.ended_s - sent.sent_s > within_s
    ]
    assert not held, held


@given('"node-0" was killed and is started again')
def restart_node(context):
    async def restart():
        await context.fleet.stop_node(NODE, signal.SIGKILL)
        await context.fleet.start_node(NODE)

    run(context, restart())


async def _wait_until_listening(port):
    while True:
        try:
            _, writer = await asyncio.open_connection(HOST, port)
        except ConnectionError:
            await asyncio.sleep(0.005)
            continue
        writer.close()
        return


@when('callers of each route send to "node-0" once it listens')
def send_once_listening(context):
    context.senders = [
        _make_sender(context, path, f"{path[1:-2]}-new", False) for path in PATHS
    ]

    async def start():
        await _wait_until_listening(context.fleet.ports[NODE][0])
        context.sending = [asyncio.create_task(s.run()) for s in context.senders]

    run(context, start())


@when('"node-0" is stopped {delay_s:g} s later')
def stop_later(context, delay_s):
    context.beside = "no other change"

    async def stop():
        await asyncio.sleep(delay_s)
        await _stop(context, "SIGTERM")
        await asyncio.gather(*context.sending)

    run(context, stop())


@then("no request was cut")
def none_is_cut(context):
    cut = [_describe(context, sent) for sent in _cut(context)]
    assert not cut, cut
