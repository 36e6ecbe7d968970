import asyncio
import itertools
from collections import Counter

from behave import (
    then,
    when,
)

from standins.behave_loop import run

POLL_S = 0.05
PROMPT = {"Prefix_Hash": "system:200,own:50", "Token_Usage": "250,40", "Model": "m"}


@when(
    'all servers of "{service}" crash and {count:d} "{route}" requests are sent to all'
    " nodes"
)
def send_after_crash(context, service, count, route):
    names = itertools.cycle(context.fleet.ports)

    async def send():
        for server in list(context.fleet.servers.values()):
            if server.service == service:
                context.fleet.crash_server(server)
        return await asyncio.gather(
            *(
                context.fleet.request(next(names), f"/{route}/x", f"r-{n}", **PROMPT)
                for n in range(count)
            )
        )

    context.responses = run(context, send())


@then("each of them is answered {status:d}")
def each_answered(context, status):
    statuses = [response.code for response in context.responses]
    assert set(statuses) == {status}, statuses


async def _attempts(context):
    """Return the failed attempts and the duration of each request, from the logs."""
    while True:
        lines = [i for n in context.fleet.ports for i in context.fleet.log_lines(n)]
        finished = [line for line in lines if line["message"] == "request_finished"]
        if len(finished) == len(context.responses):
            break
        await asyncio.sleep(POLL_S)
    failed = Counter(
        line["request_id"] for line in lines if line["message"] == "attempt_failed"
    )
    return failed, {line["request_id"]: line["took_s"] for line in finished}


@then("each tries to send at most {most:d} times a second")
def tries_are_paced(context, most):
    failed, took_s = run(context, _attempts(context))
    assert failed, "no attempt failed"
    too_many = {
        request_id: (count, took_s[request_id])
        for request_id, count in failed.items()
        if count > most * max(1.0, took_s[request_id])
    }
    assert not too_many, too_many
