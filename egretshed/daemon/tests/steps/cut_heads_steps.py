import asyncio

from behave import (
    given,
    then,
    when,
)

from standins.behave_loop import run


@given("all servers close within the head of their responses, at {place}")
def cut_heads(context, place):
    for server in context.fleet.servers.values():
        server.mode = place


@when('{count:d} "{route}" requests are sent')
def send_requests(context, count, route):
    async def send():
        return await asyncio.gather(
            *(
                context.fleet.request(f"node-{n % 3}", f"/{route}/x", f"r-{n}")
                for n in range(count)
            )
        )

    context.responses = run(context, send())


@then("each is answered {status:d}, without the signature of a server")
def each_failed(context, status):
    for response in context.responses:
        assert response.code == status, (response.code, response.body)
        assert "Replica-Signature" not in response.headers, response.headers
