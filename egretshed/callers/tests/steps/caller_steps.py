import asyncio
import json
import socket
from pathlib import Path

from behave import (
    given,
    then,
    when,
)

from egretshed.callers.events import (
    KEEP_ALIVE_PERIOD_S,
    StreamLost,
    StreamProxy,
    local_batches,
)
from egretshed.configuration.keys import digest_key
from egretshed.errors import PeerUnavailable
from egretshed.gen.messages.ttypes import (
    StreamEvent,
    StreamEvents,
)
from egretshed.requests.stream import RequestStream
from standins.clock import ManualClock
from standins.environments import make_environment
from standins.system import (
    FAST_SLOTS,
    System,
)

ROOT = Path(__file__).resolve().parents[4]
CUSTOMER = "val-david"
VALID = {"request_id": "bad-1", "kind": "route_question", "body": {"prompt": "x"}}
NESTING = 5000
HUGE_BYTES = 5 * 1024 * 1024


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given('a running node with the example deployment "{name}"')
def running_node(context, name):
    start_system(context, name, nodes=1)


@given(
    'a running node with the example deployment "{name}" and loans of default duration'
)
def node_with_default_loans(context, name):
    # The shorter loans of FAST_SLOTS expire while this process, which runs the node and
    # all backend servers, is busy.
    slots = {**FAST_SLOTS, "loan_duration_s": 2.0, "take_over_wait_s": 2.5}
    start_system(context, name, nodes=1, slots=slots)


def start_system(context, name, nodes, **sections):
    """Start one system per feature, since each start takes about a second."""
    system = context.systems.get(context.feature.name)
    if system is None:
        system = System(ROOT / "examples" / name, nodes, **sections)
        run(context, system.__aenter__())
        context.systems[context.feature.name] = system
    system.clear_backend_calls()
    context.system = system


def raw_body(text: str) -> bytes:
    """Return the body that a cell of the examples table encodes."""
    valid = json.dumps(VALID)
    if text == "@empty":
        return b""
    if text == "@nested":
        return b'{"body": ' + b"[" * NESTING + b"]" * NESTING + b"}"
    if text == "@huge":
        return json.dumps({**VALID, "body": {"prompt": "x" * HUGE_BYTES}}).encode()
    if text == "@long_id":
        return json.dumps({**VALID, "request_id": "x" * 129}).encode()
    if text.startswith("@bytes:"):
        return valid.encode().replace(b"bad-1", b"bad" + bytes.fromhex(text[7:]))
    if text.startswith("@-"):
        return json.dumps({k: v for k, v in VALID.items() if k != text[2:]}).encode()
    if text.startswith("@valid"):
        return text.replace("@valid", valid).encode()
    if text.startswith("@"):
        name, _, value = text[1:].partition("=")
        fields = {k: json.dumps(v) for k, v in VALID.items()}
        fields[name] = value
        return (
            "{" + ", ".join(f'"{k}": {v}' for k, v in fields.items()) + "}"
        ).encode()
    return text.encode()


def submit(context, body: bytes, headers: dict[str, str]):
    return run(
        context,
        context.system.fetch("POST", "/v1/requests", body, headers=headers),
    )


def key_header(context, customer=CUSTOMER):
    return {"Authorization": f"Bearer {context.system.customer_keys[customer]}"}


@when("a caller sends the body {raw}")
def submit_raw(context, raw):
    context.response = submit(context, raw_body(raw), key_header(context))


@when("a caller submits a valid body with the header {header}")
def submit_with_header(context, header):
    system = context.system
    key = system.customer_keys[CUSTOMER]
    text = header.replace("@operator", next(iter(system.operator_keys.values())))
    text = text.replace("@digest", digest_key(key)).replace("@customer", key)
    headers = {} if header == "@none" else {"Authorization": text}
    context.response = submit(context, json.dumps(VALID).encode(), headers)


@when("a caller announces 1000 bytes, sends 100 and closes the connection")
def submit_truncated(context):
    identity = context.system.nodes[0].env.identity
    key = context.system.customer_keys[CUSTOMER]
    head = (
        f"POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
        "Content-Length: 1000\r\n\r\n"
    ).encode()
    with socket.create_connection((identity.host, identity.http_port)) as stream:
        stream.sendall(head + json.dumps(VALID).encode()[:100])
    run(context, asyncio.sleep(0.1))


@given('a finished request of the customer "{customer}"')
def finished_request(context, customer):
    response = submit(
        context, json.dumps(VALID).encode(), key_header(context, customer)
    )
    context.outcome = json.loads(response.body)
    assert context.outcome["outcome"] == "complete", context.outcome


@when('the customer "{customer}" asks for its {what}')
def request_as_other_customer(context, customer, what):
    stream_id = context.outcome["stream_id"]
    path = {
        "stream": f"/v1/streams/{stream_id}",
        "outcome": f"/v1/requests/{context.outcome['request_id']}",
    }[what]
    context.path = path
    context.response = run(
        context,
        context.system.fetch("GET", path, headers=key_header(context, customer)),
    )


@then("its own customer gets it with status {status:d}")
def request_as_own_customer(context, status):
    fetch = context.system.fetch("GET", context.path, headers=key_header(context))
    assert run(context, fetch).code == status


@given("a finished request with two fields")
def finished_with_two_fields(context):
    context.served = getattr(context.system, "twice", 0) + 1
    context.system.twice = context.served
    context.twice = {
        "request_id": f"twice-{context.served}",
        "kind": "route_question",
        "body": {"prompt": "x", "max_tokens": 2},
    }
    response = submit(context, json.dumps(context.twice).encode(), key_header(context))
    assert json.loads(response.body)["outcome"] == "complete", response.body


@when("it is submitted again with {change}")
def submit_again(context, change):
    changes = {
        "no change": {},
        "its fields in another order": {"body": {"max_tokens": 2, "prompt": "x"}},
        "another prompt": {"body": {"prompt": "y", "max_tokens": 2}},
        "another kind": {"kind": "shift_assignment"},
    }
    body = json.dumps({**context.twice, **changes[change]}).encode()
    context.response = submit(context, body, key_header(context))


@then("the second submission gets status {status:d} and {text}")
def second_submission(context, status, text):
    body = json.loads(context.response.body)
    assert context.response.code == status, body
    assert text in (body.get("outcome"), body.get("error")), body


@then('it gets status {status:d} and the error "{error}"')
def check_refusal(context, status, error):
    body = json.loads(context.response.body)
    assert (context.response.code, body["error"]) == (status, error), body


@then("no backend server received a call")
def no_backend_call(context):
    assert context.system.backend_calls() == []


@then("the node serves a valid request")
def serves_valid(context):
    context.served = getattr(context.system, "served", 0) + 1
    context.system.served = context.served
    request_id = f"good-{context.served}"
    short = {"prompt": "x", "max_tokens": 2}
    valid = json.dumps({**VALID, "request_id": request_id, "body": short}).encode()
    response = submit(context, valid, key_header(context))
    outcome = json.loads(response.body)
    assert outcome["outcome"] == "complete", outcome
    calls = {call["request_id"] for call in context.system.backend_calls()}
    assert calls == {request_id}, calls


@given('two running nodes with the example deployment "{name}"')
def two_nodes(context, name):
    start_system(context, name, nodes=2)


@given("a consumer that has received the first batch of a stream")
def consumer_with_first_batch(context):
    env = make_environment(ManualClock())
    context.stream = RequestStream(env, "entry-1:1:1", "customer", "r1")
    context.stream.append_tokens(("a",))
    context.batches = local_batches(context.stream, 0, 0.0)
    context.items = list(run(context, anext(context.batches)))


@when("{late} are appended before the consumer requests more")
def append_items(context, late):
    for item in late.split():
        if item == "token":
            context.stream.append_tokens(("b",))
        elif item == "reset":
            context.stream.reset()
        else:
            context.stream.finish({"outcome": "complete"})
    context.appended = late


@then("the consumer gets all items up to the final event")
def consumer_gets_all(context):
    async def read_rest():
        if not context.stream.finished:
            context.items += await anext(context.batches)
            context.stream.finish({"outcome": "complete"})
        async for batches in context.batches:
            context.items += batches

    run(context, asyncio.wait_for(read_rest(), 5.0))
    assert context.items[-1].event == "final", context.items
    assert context.items[-1].sequence == context.stream.sequence
    got = [token for item in context.items for token in item.data.get("tokens", ())]
    assert got == ["a"] + ["b"] * context.appended.split().count("token")


class UnresponsivePeers:
    """Peer network that answers `replies` fetches with one token each, then none."""

    def __init__(self, replies):
        self.replies = replies
        self.timeouts_s = []

    def handle(self, message_type, handler):
        pass

    async def call(self, node_id, fetch, timeout_s):
        self.timeouts_s.append(timeout_s)
        if len(self.timeouts_s) > self.replies:
            raise PeerUnavailable("silent", node_id=node_id)
        body = {"event": "tokens", "data": {"tokens": ["a"]}}
        event = StreamEvent(fetch.after_sequence + 1, json.dumps(body).encode())
        return StreamEvents([event], False)


@given("a resumed stream whose node answers {replies:d} fetches and then none")
def unresponsive_node(context, replies):
    context.peers = UnresponsivePeers(replies)


@when("the stream is read")
def read_stream(context):
    env = make_environment(ManualClock(), node_id="entry-1")
    streams = StreamProxy(env, context.peers, runner=None)

    async def read():
        async for _ in streams.batches("customer", "entry-2:1:1", 0):
            pass

    try:
        run(context, read())
    except StreamLost as lost:
        context.lost = lost


@then("the stream is lost after {calls:d} fetches from its node")
def lost_after(context, calls):
    assert context.lost.code == "stream_lost"
    assert len(context.peers.timeouts_s) == calls, context.peers.timeouts_s


@then("the first fetch times out before a keep-alive comment is due")
def first_fetch_is_short(context):
    assert context.peers.timeouts_s[0] < KEEP_ALIVE_PERIOD_S


def parse_events(text: str) -> list[tuple[int, str, dict]]:
    events = []
    for block in text.split("\n\n"):
        fields = dict(
            line.split(": ", 1) for line in block.splitlines() if ": " in line
        )
        if "id" in fields:
            data = json.loads(fields["data"])
            events.append((int(fields["id"]), fields["event"], data))
    return events


@when("a caller closes its connection after {received:d} tokens")
def close_after_tokens(context, received):
    system = context.system
    system.served = getattr(system, "served", 0) + 1
    request_id = context.request_id = f"resume-{system.served}"
    body = {**VALID, "request_id": request_id, "stream": True}

    async def read_some():
        identity = system.nodes[0].env.identity
        reader, writer = await asyncio.open_connection(
            identity.host, identity.http_port
        )
        raw = json.dumps(body).encode()
        key = system.customer_keys[CUSTOMER]
        head = (
            f"POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Length: {len(raw)}\r\n\r\n"
        ).encode()
        writer.write(head + raw)
        text = ""
        tokens = []
        while len(tokens) < received:
            text += (await reader.read(200)).decode()
            complete = text[: text.rfind("\n\n") + 2]
            events = parse_events(complete)
            tokens = [t for _, _, d in events for t in d.get("tokens", ())]
        writer.close()
        stream_id = text.split("X-Stream-Id: ")[1].split("\r\n")[0]
        return stream_id, events[-1][0], tokens

    context.interrupted = run(context, asyncio.wait_for(read_some(), 20.0))


@when("it resumes from the last sequence number at {which} node")
def resume(context, which):
    stream_id, last, _ = context.interrupted
    headers = {**key_header(context), "Last-Event-ID": str(last)}
    node = 0 if which == "the same" else 1
    context.response = run(
        context,
        context.system.fetch(
            "GET", f"/v1/streams/{stream_id}", headers=headers, node=node
        ),
    )


@then("it has every token once and in order")
def check_tokens(context):
    events = parse_events(context.response.body.decode())
    assert events[-1][1] == "final", events[-1:]
    assert events[-1][2]["outcome"] == "complete", events[-1]
    rest = [token for _, _, data in events for token in data.get("tokens", ())]
    got = context.interrupted[2] + rest
    expected = [f"{context.request_id}:{index} " for index in range(len(got))]
    assert got == expected and len(got) == events[-1][2]["output"]["tokens"], got
