import asyncio
import json
import socket
from pathlib import Path

from behave import (
    given,
    then,
    when,
)

from egretshed.configuration.keys import digest_key
from standins.system import System

ROOT = Path(__file__).resolve().parents[4]
CUSTOMER = "val-david"
VALID = {"request_id": "bad-1", "kind": "route_question", "body": {"prompt": "x"}}
NESTING = 5000
HUGE_BYTES = 5 * 1024 * 1024


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given('a running node with the example deployment "{name}"')
def running_node(context, name):
    system = System(ROOT / "examples" / name)
    context.system = system
    run(context, system.__aenter__())
    context.add_cleanup(lambda: run(context, system.__aexit__()))


def raw_body(text: str) -> bytes:
    """Return the bytes that a row of the table stands for."""
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
def ask_as_other(context, customer, what):
    stream_id = context.outcome["stream_id"]
    path = {
        "stream": f"/v1/streams/{stream_id}",
        "outcome": f"/v1/requests/{VALID['request_id']}",
    }[what]
    context.response = run(
        context,
        context.system.fetch("GET", path, headers=key_header(context, customer)),
    )


@then('it gets status {status:d} and the error "{error}"')
def check_refusal(context, status, error):
    body = json.loads(context.response.body)
    assert (context.response.code, body["error"]) == (status, error), body


@then("no backend server received a call")
def no_backend_call(context):
    assert context.system.backend_calls() == []


@then("the node serves a valid request")
def serves_valid(context):
    valid = json.dumps({**VALID, "request_id": "good-1"}).encode()
    response = submit(context, valid, key_header(context))
    outcome = json.loads(response.body)
    assert outcome["outcome"] == "complete", outcome
    calls = {call["request_id"] for call in context.system.backend_calls()}
    assert calls == {"good-1"}, calls
