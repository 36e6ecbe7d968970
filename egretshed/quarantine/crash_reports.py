"""Reports crashes of servers to a few nodes, which blame the input that caused them.

A node whose request is broken off checks whether the server still listens. If
connections are refused, its process has ended, and the inputs of all requests that it
broke off are reported to the owner of the service and to its successors, and instead of
those that do not confirm the report to the next ones. Each of them
may blame an input, so that no loss of one loses the evidence, nor delays the decision
until the loss is noticed. The node that placed a prompt hears of its first event, and
tells the others if one of its parts was a suspect.
"""

import asyncio
from collections import defaultdict
from collections.abc import (
    Awaitable,
    Callable,
    Iterator,
)
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.errors import (
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    InputCleared,
    InputCrash,
)
from egretshed.logs import log_event
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.placement.duty import engine_duty
from egretshed.quarantine.crash_evidence import (
    CrashEvidence,
    SuspectRun,
)
from egretshed.quarantine.guard import InputGuard
from egretshed.quarantine.inputs import kind_of
from egretshed.relay.request import PromptPart
from egretshed.servers.state import ServerState
from egretshed.stage_scheduling.jobs import StageJob
from egretshed.upstream.exchange import (
    ConnectionRefused,
    ExchangeFailed,
    connect,
)

# A process closes its connections and its listener at about the same time.
CHECK_DELAY_S = 0.02
CHECK_TIMEOUT_S = 0.3
# Limit on simultaneous checks; when more connections break, links are at fault.
MAX_CHECKS = 32
REPORTED_OWNERS = 3
# A node that has not confirmed a report in this time is replaced by the next one.
REPORT_TIMEOUT_S = 0.15
# With half of the nodes cut off, 3 of 12 can be reached in 98 of 100 cases.
MAX_REPORT_TRIES = 12
# The reports about one crash arrive within this time, and a successor of the owner
# waits longer, so that it usually learns the owner's verdict first.
JUDGE_DELAY_S = 0.02
SUCCESSOR_JUDGE_DELAY_S = 0.1


class BrokenRun(NamedTuple):
    """A request that a server broke off; times are monotonic."""

    request_id: str
    service: str
    server_id: str
    address: str
    input_ids: tuple[str, ...]
    sent_s: float
    broke_s: float


class CrashReporter:
    """Reports crashes as a node that relays, and judges them as an owner.

    `check_listener` returns `crashed` if nothing listens at an address, else `alive` or
    `unknown`; the default connects to it.
    """

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        guard: InputGuard,
        check_listener: Callable[[str], Awaitable[str]] | None = None,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.guard = guard
        self._check_listener = check_listener or _check_listener
        self._evidence: dict[str, CrashEvidence] = defaultdict(CrashEvidence)
        # Requests that each server broke off, until the check of the server ends.
        self._broken_runs: dict[str, list[BrokenRun]] = {}
        # Input ids of requests that crashes ended, by service, until they are judged.
        self._unjudged: dict[str, list[tuple[str, ...]]] = {}
        self._tasks: set[asyncio.Task] = set()
        guard.on_quarantined.append(self._explain_crashes)
        guard.on_cleared.append(self._clear_evidence)
        peers.handle(InputCrash, self._on_crash)

    def check_server(self, run: BrokenRun) -> None:
        """Check in the background whether a server crashed, and report that."""
        runs = self._broken_runs.get(run.server_id)
        if runs is not None:
            runs.append(run)
        elif len(self._broken_runs) < MAX_CHECKS:
            self._broken_runs[run.server_id] = [run]
            self._spawn(self._check(run.server_id, run.address))

    def check_stage_server(
        self, server: ServerState, jobs: list[StageJob], sent_s: float
    ) -> None:
        """Check a server that broke off a call with pieces of several requests."""
        now_s = self.env.clock.monotonic_s()
        for job in jobs:
            self.check_server(
                BrokenRun(
                    job.request_id,
                    job.service,
                    server.server_id,
                    server.address,
                    job.input_ids,
                    sent_s,
                    now_s,
                )
            )

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, server_id: str, address: str) -> None:
        try:
            await self.env.clock.sleep(CHECK_DELAY_S)
            outcome = await self._check_listener(address)
        finally:
            runs = self._broken_runs.pop(server_id)
        for run in runs:
            log_event(
                self.env.logger,
                "server_checked",
                request_id=run.request_id,
                service=run.service,
                server_id=server_id,
                shared_parts=[i for i in run.input_ids if kind_of(i) == "prompt_part"],
                input_ids=run.input_ids,
                outcome=outcome,
            )
            if outcome == "crashed":
                self._report(run)

    def _report(self, run: BrokenRun) -> None:
        """Report a crash to the first nodes of the ranking that can be reached.

        This node keeps the evidence as well: it may be the only one on its side of a
        partition.
        """
        self.record_crash(self._message(run))
        own_id = self.env.identity.node_id
        ranked = self.owners.ranked(engine_duty(run.service))[:MAX_REPORT_TRIES]
        others = iter([node_id for node_id in ranked if node_id != own_id])
        for _ in range(REPORTED_OWNERS - (own_id in ranked[:REPORTED_OWNERS])):
            self._spawn(self._report_to_first(run, others))

    async def _report_to_first(self, run: BrokenRun, node_ids: Iterator[str]) -> None:
        """Report a crash to the first node that confirms it."""
        for node_id in node_ids:
            try:
                await self.peers.call(node_id, self._message(run), REPORT_TIMEOUT_S)
                return
            except (PeerUnavailable, PeerRejected) as error:
                duty = engine_duty(run.service)
                self.owners.avoid(node_id, duty, str(error))

    def _message(self, run: BrokenRun) -> InputCrash:
        return InputCrash(
            run.service,
            run.server_id,
            list(run.input_ids),
            run.request_id,
            int((self.env.clock.monotonic_s() - run.broke_s) * 1000),
            int((run.broke_s - run.sent_s) * 1000),
        )

    async def _on_crash(self, sender: Sender, report: InputCrash) -> None:
        self.record_crash(report)
        # The sender would not have sent the request if it knew of a quarantine.
        for input_id in report.input_ids:
            if self.guard.remaining_s(report.service_name, input_id):
                self.guard.tell(sender.node_id, report.service_name, input_id)

    def record_crash(self, report: InputCrash) -> None:
        """Record a crash; blame an input soon if there is enough evidence."""
        service, input_ids = report.service_name, tuple(report.input_ids)
        crashed_s = self.env.clock.monotonic_s() - (report.age_ms or 0) / 1000
        run = SuspectRun(crashed_s - (report.ran_ms or 0) / 1000, crashed_s)
        quarantined = frozenset(
            input_id
            for input_id in input_ids
            if self.guard.remaining_s(service, input_id)
        )
        evidence = self._evidence[service]
        evidence.record_crash(input_ids, report.server_id, run, quarantined)
        if quarantined:
            return
        if service not in self._unjudged:
            self._unjudged[service] = []
            self._spawn(self._judge_soon(service))
        self._unjudged[service].append(input_ids)

    async def _judge_soon(self, service: str) -> None:
        is_owner = self.owners.is_owner(engine_duty(service))
        delay_s = JUDGE_DELAY_S if is_owner else SUCCESSOR_JUDGE_DELAY_S
        await self.env.clock.sleep(delay_s)
        self._judge(service, self._unjudged.pop(service))

    def _judge(self, service: str, requests: list[tuple[str, ...]]) -> None:
        evidence, now_s = self._evidence[service], self.env.clock.monotonic_s()
        for input_id in dict.fromkeys(i for ids in requests for i in ids):
            since_s = evidence.first_crash_s(input_id, now_s)
            if self.guard.has_completed(service, input_id, since_s):
                evidence.clear((input_id,))
        while blamed := self._blamed(service, requests):
            suspicions = [
                (
                    input_id,
                    evidence.crash_count(input_id, now_s),
                    evidence.first_crash_s(input_id, now_s),
                )
                for input_id in blamed
            ]
            evidence.explain(blamed)
            for input_id, crashes, since_s in suspicions:
                self.guard.impose(service, input_id, crashes, since_s)
            requests = [ids for ids in requests if set(blamed).isdisjoint(ids)]

    def _blamed(self, service: str, requests: list[tuple[str, ...]]) -> tuple[str, ...]:
        """Return the inputs to blame for the crashes of requests."""
        for input_ids in requests:
            for input_id in reversed(input_ids):
                if self.guard.is_on_probation(service, input_id):
                    return (input_id,)
        now_s = self.env.clock.monotonic_s()
        return self._evidence[service].culprits(requests, now_s)

    def record_first_event(self, service: str, parts: tuple[PromptPart, ...]) -> None:
        """Clear the parts of a placed prompt that got its first event."""
        evidence = self._evidence[service]
        for part in parts[:-1]:
            part_id = part.part_id
            is_on_probation = self.guard.is_on_probation(service, part_id)
            if is_on_probation or evidence.is_suspect(part_id):
                self._tell_judges(service, part_id)
            evidence.clear((part_id,))
            self.guard.end_probation(service, part_id)

    def _tell_judges(self, service: str, part_id: str) -> None:
        """Tell the other nodes that may blame a part that an engine has read it."""
        for node_id in self.owners.candidates(engine_duty(service), REPORTED_OWNERS):
            if node_id != self.env.identity.node_id:
                self.peers.send(node_id, InputCleared(service, part_id))

    def _explain_crashes(self, service: str, input_id: str) -> None:
        """Attribute crashes to an input that any node has blamed."""
        for evidence in self._evidence_of(service):
            evidence.explain((input_id,))

    def _clear_evidence(self, service: str, input_id: str) -> None:
        for evidence in self._evidence_of(service):
            evidence.clear((input_id,))

    def _evidence_of(self, service: str) -> list[CrashEvidence]:
        """Return the evidence of a service, of all services for an empty name."""
        if not service:
            return list(self._evidence.values())
        return [self._evidence[service]] if service in self._evidence else []


async def _check_listener(address: str) -> str:
    """Return `crashed` if nothing listens at an address, `alive` or `unknown`."""
    try:
        stream = await connect(address, CHECK_TIMEOUT_S)
    except ConnectionRefused:
        return "crashed"
    except ExchangeFailed:
        return "unknown"
    stream.close()
    return "alive"
