import asyncio
import struct

from behave import (
    given,
    then,
    when,
)
from tornado.netutil import bind_sockets

from egretshed.errors import (
    EgretshedError,
    NotFound,
)
from egretshed.gen.messages.ttypes import (
    CancelRequest,
    Frame,
    FrameKind,
    MemberSync,
    MessageType,
    OutcomeQuery,
    Probe,
    ProbeAck,
)
from egretshed.peers.codec import encode
from egretshed.peers.connection import write_frame
from egretshed.peers.network import (
    PeerAddress,
    TcpPeerNetwork,
)
from egretshed.peers.tests.proxy import RecordingProxy
from standins.clock import ManualClock
from standins.environments import (
    make_environment,
    make_settings,
)

TIMEOUT_S = 0.5
UNAUTHENTICATED_DATA = {
    "a frame with a wrong MAC": struct.pack("!I", 60) + b"x" * 60,
    "a frame length of 4 GB": b"\xff" * 4,
    "a first frame length of 2 MB": struct.pack("!I", 2 * 1024 * 1024),
    "a frame shorter than its MAC": struct.pack("!I", 3) + b"abc",
    "an HTTP request": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "nothing for a while": b"",
}


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def environment(context, node_id, keys):
    peers = {
        "keys": keys.split(","),
        "call_timeout_s": TIMEOUT_S,
        "connect_timeout_s": TIMEOUT_S,
    }
    settings = make_settings(node_id, peers=peers)
    return make_environment(context.clock, node_id, settings=settings)


@given('a node with the keys "{keys}"')
def node(context, keys):
    context.loop = asyncio.new_event_loop()
    context.clock = ManualClock()
    context.handled = []

    async def answer(sender, message):
        context.handled.append((sender, message))
        return ProbeAck([], 7)

    async def refuse(sender, message):
        raise NotFound("no such stream")

    async def fail(sender, message):
        raise ZeroDivisionError

    async def start():
        env = environment(context, "entry-2", keys)
        network = TcpPeerNetwork(env, lambda node_id: None)
        network.handle(Probe, answer)
        network.handle(CancelRequest, refuse)
        network.handle(OutcomeQuery, fail)
        sockets = bind_sockets(0, "127.0.0.1")
        network.start(sockets)
        return network, sockets[0].getsockname()[1]

    context.node, context.port = run(context, start())
    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: run(context, stop(context.node)))


async def stop(network):
    network.stop()
    await asyncio.sleep(0)


@given('a caller with the keys "{keys}"')
def caller(context, keys, port=None, target="entry-2"):
    env = environment(context, "entry-1", keys)
    address = PeerAddress("127.0.0.1", port or context.port)
    context.target = target
    context.caller = TcpPeerNetwork(env, lambda node_id: address)
    context.add_cleanup(lambda: run(context, stop(context.caller)))


@given('a caller with the keys "{keys}" through a proxy')
def caller_through_proxy(context, keys):
    context.proxy = RecordingProxy(context.port)
    context.add_cleanup(lambda: run(context, context.proxy.stop()))
    caller(context, keys, run(context, context.proxy.start()))


@given('a caller with the keys "{keys}" that calls the node as {node_id}')
def caller_with_target(context, keys, node_id):
    caller(context, keys, target=node_id)


@given("the proxy is set to {mode} frames")
def set_proxy_mode(context, mode):
    context.proxy.mode = mode


def attempt(context, coroutine):
    try:
        context.reply = run(context, coroutine)
        context.failure = None
    except EgretshedError as error:
        context.failure = error


def call(context, message):
    attempt(context, context.caller.call(context.target, message))


@when("the caller probes the node")
def probe(context):
    call(context, Probe([], 1))


@when("the caller sends a call that is refused")
def refused_call(context):
    call(context, CancelRequest("c", "s"))


@when("the caller sends a call that fails")
def failing_call(context):
    call(context, OutcomeQuery("c", "r"))


@when("the caller sends a call without a handler")
def unhandled_call(context):
    call(context, MemberSync([]))


@when("the caller sends a malformed body")
def malformed(context):
    attempt(context, send_raw(context, MessageType.PROBE, b"\xff\xff"))


@when("the caller sends an unknown message type")
def unknown_type(context):
    attempt(context, send_raw(context, 99, encode(Probe([], 1))))


async def send_raw(context, message_type, body):
    """Send one authenticated frame with this content, then a call.

    The call fails if the node closes the connection because of the frame.
    """
    client = context.caller._get_client(context.target)
    connection = await client._connect()
    connection.sent_frames += 1
    frame = encode(
        Frame(connection.sent_frames, FrameKind.CALL, 99, message_type, body)
    )
    mac = connection.authenticator.mac(True, frame)
    await write_frame(connection.stream, mac, frame, client.env)
    return await context.caller.call(context.target, MemberSync([]))


@when("an unauthenticated client sends the recorded bytes")
def replay(context):
    run(context, send_as_client(context, b"".join(context.proxy.chunks)))


@when("an unauthenticated client sends {name}")
def send_unauthenticated(context, name):
    run(context, send_as_client(context, UNAUTHENTICATED_DATA[name]))


async def send_as_client(context, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", context.port)
    writer.write(data)
    try:
        context.client_received = await asyncio.wait_for(reader.read(), 10 * TIMEOUT_S)
    except ConnectionResetError:
        context.client_received = b""
    writer.close()


@when("the open connections stall")
def stall(context):
    context.proxy.stall_connections()


@when("the silence limit passes")
def silence_passes(context):
    limit_s = context.caller.env.settings.peers.silence_limit_s
    run(context, context.clock.advance(limit_s))


@when("the node stops")
def stop_node(context):
    run(context, stop(context.node))


@then("the call is answered")
def answered(context):
    assert context.failure is None, context.failure
    assert context.reply.configuration_version == 7
    assert context.handled[-1][0] == ("entry-1", 1), context.handled[-1]


@then("the call is {code}")
def failed(context, code):
    assert context.failure is not None, context.reply
    assert context.failure.code == code, context.failure


@then("the fields of the failure contain {text}")
def failure_contains(context, text):
    assert text in str(context.failure.fields), context.failure


@then("the client's connection is closed without a response")
def closed_without_response(context):
    assert context.client_received == b"", context.client_received


@then("the client's connection is closed after the handshake")
def closed_after_handshake(context):
    (length,) = struct.unpack("!I", context.client_received[:4])
    assert len(context.client_received) == 4 + length, (
        "the node sent more than its first frame"
    )


@then("the node has handled {count:d} messages")
def handled(context, count):
    assert len(context.handled) == count, context.handled


@then("the proxy has accepted {count:d} connections")
def accepted_connections(context, count):
    assert context.proxy.connections == count


@then('the node has logged "{text}"')
def logged(context, text):
    (handler,) = context.node.env.logger.handlers
    assert text in handler.stream.getvalue(), handler.stream.getvalue()
