from behave import (
    given,
    then,
    when,
)

from egretshed.errors import InputQuarantined
from egretshed.relay.attempt import AttemptRunner
from egretshed.relay.tests.fuzz_attempts import (
    FakePool,
    FakeReply,
    FakeServers,
    FewRetries,
    JumpingClock,
    OneVersion,
    QuarantineAfter,
    make_state,
)
from egretshed.serving.schema import Service
from standins.environments import make_environment
from standins.virtual_time import run_virtual


class RefusingServers(FakeServers):
    """Refuses the second placement, as `EnginePlacer.place` does under quarantine."""

    placed = 0

    async def choose(self, state, service, tried_ids, sizes):
        self.placed += 1
        if self.placed > 1:
            raise InputQuarantined(input_id=state.input_ids[0], retry_after_s=1.0)
        return await super().choose(state, service, tried_ids, sizes)


@given('the placement refuses a "{kind}" request after its first server')
def set_kind(context, kind):
    context.kind = kind


@when('the first server is "{outcome}"')
def run_request(context, outcome):
    async def run():
        env, servers = make_environment(JumpingClock()), RefusingServers()
        pool = FakePool([outcome], context.kind == "resumable")
        attempts = AttemptRunner(
            env,
            servers,
            servers,
            None,
            servers,
            pool,
            FewRetries(99),
            QuarantineAfter(99),
            OneVersion(),
        )
        context.reply, context.failure = FakeReply(), None
        try:
            state = make_state(context.kind, context.reply)
            await attempts.run(state, Service("x", 10, 0.0))
        except InputQuarantined as error:
            context.failure = error

    run_virtual(run())


@then("the caller gets a whole response")
def is_whole(context):
    assert context.reply.is_finished, context.failure
