import re

from behave import (
    given,
    then,
    when,
)

from egretshed.placement.version_choice import lone_versions
from egretshed.servers.records import (
    ListedServer,
    ServerAddress,
    ServerPhase,
)
from egretshed.stream_versions.records import (
    StreamBeginning,
    StreamMemory,
)
from egretshed.stream_versions.resume_decision import (
    decide_resume,
    had_restarted_unlisted,
)

SERVER = re.compile(r"(\w+)@(\w+):(-?[\d.]+)(-?)$")
REQUESTED_S = 50.0
BEGINNING = StreamBeginning("x", "v1", "s1", 0, 100_000)


def _servers(text):
    if text == "none":
        return []
    return [_server(*SERVER.match(word).groups()) for word in text.split()]


def _server(server_id, version, started_s, leaving):
    phase = ServerPhase.LEAVING if leaving else ServerPhase.READY
    address, started_ms = ServerAddress("10.0.0.1", 80), int(float(started_s) * 1000)
    return ListedServer(
        server_id, "x", address, "a", phase, 8, 0.0, started_ms, version
    )


@given('a stream that is {known} on a route to "{services}"')
def stream(context, known, services):
    context.beginning = BEGINNING if known == "known" else None
    context.services = tuple(services.split())
    context.is_list_current = True
    context.list_as_of_s = REQUESTED_S


@given("the list may be outdated")
def list_outdated(context):
    context.is_list_current = False


@given("the list misses no server until {age_s:g} s before the request arrived")
def list_age(context, age_s):
    context.list_as_of_s = REQUESTED_S - age_s


@given("the servers {servers} and, formerly, {former}")
def listed(context, servers, former):
    context.listed, context.former = _servers(servers), _servers(former)


@when("it is taken up while the only version is {only}")
def take_up(context, only):
    context.decision = decide_resume(
        context.beginning,
        context.services,
        None if only == "none" else only,
        context.listed,
        context.former,
        context.is_list_current,
        list_as_of_s=context.list_as_of_s,
        requested_s=REQUESTED_S,
    )


@then("it goes on at {version}")
def goes_on(context, version):
    assert context.decision == ("x", version, ""), context.decision


@then("it is refused: {reason}")
def is_refused(context, reason):
    assert context.decision.refusal == reason, context.decision


@then('they begin at other versions than "{lone}" if they can')
def lone_are(context, lone):
    expected = set() if lone == "none" else set(lone.split())
    assert lone_versions(context.listed) == expected


@when("{count:d} streams are remembered, the first of them twice")
def remember(context, count):
    context.memory = StreamMemory()
    for number in range(count):
        context.memory.add(f"r{number}", BEGINNING, number * 0.001)
    context.memory.add(f"r{count - 1}", BEGINNING._replace(version="v9"), 40.0)
    context.last_id = f"r{count - 1}"


@then(
    "at most {most:d} are kept, for at most {age_s:g} s, with what was first known of"
    " them"
)
def kept(context, most, age_s):
    assert len(context.memory) == most
    beginning, known_s = context.memory.get(context.last_id, 50.0)
    assert beginning.version == "v1" and known_s <= age_s
    assert context.memory.get(context.last_id, 31.0 + age_s) == (None, 0.0)
    assert len(context.memory) == 0


@given("a stream began at {began_s:g} s at a server listed since {listed_s:g}, {case}")
def stream_of_server(context, began_s, listed_s, case):
    context.beginning = BEGINNING._replace(
        started_ms=int(listed_s * 1000), connected_ms=int(began_s * 1000)
    )


@when("its server reports a start at {reported_s:g}")
def report_start(context, reported_s):
    context.uncertain = had_restarted_unlisted(
        context.beginning, int(reported_s * 1000) or None
    )


@then("its version is {outcome}")
def version_is(context, outcome):
    assert context.uncertain == (outcome == "uncertain")
