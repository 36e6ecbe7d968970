"""Reports crashes of engines to the owner of the engines, which blames a prompt part.

A node whose request was broken off before its first event checks whether the server
still listens. If connections are refused, its process has ended, and the shared parts
of the prompt are reported to the owner of the engines and to its successor. Only the
owner blames a part, since it also sees the first events of the prompts that it places.
"""

import asyncio
from collections import defaultdict

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import PromptCrash
from egretshed.logs import log_event
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.placement.duty import engine_duty
from egretshed.quarantine.crash_evidence import CrashEvidence
from egretshed.quarantine.guard import PromptGuard
from egretshed.relay.request import PromptPart
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
REPORTED_OWNERS = 2


class CrashReporter:
    """Reports crashes as a node that relays, and judges them as an owner."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        guard: PromptGuard,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.guard = guard
        self._evidence: dict[str, CrashEvidence] = defaultdict(CrashEvidence)
        self._checks: set[asyncio.Task] = set()
        peers.handle(PromptCrash, self._on_crash)

    def check_server(
        self,
        request_id: str,
        service: str,
        server_id: str,
        address: str,
        parts,
        input_ids: tuple[str, ...],
    ) -> None:
        """Check in the background whether a server crashed, and report that.

        `parts` are those of the prompt whose response was broken off without an event.
        """
        if len(self._checks) >= MAX_CHECKS:
            return
        shared_ids = [part.part_id for part in parts[:-1]]
        report = PromptCrash(service, server_id, shared_ids, request_id)
        check = asyncio.create_task(self._check(report, address, input_ids))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(
        self, report: PromptCrash, address: str, input_ids: tuple[str, ...]
    ) -> None:
        await self.env.clock.sleep(CHECK_DELAY_S)
        try:
            stream = await connect(address, CHECK_TIMEOUT_S)
        except ConnectionRefused:
            self._log(report, input_ids, "crashed")
            if report.part_ids:
                self._report(report)
        except ExchangeFailed:
            self._log(report, input_ids, "unknown")
        else:
            stream.close()
            self._log(report, input_ids, "alive")

    def _log(
        self, report: PromptCrash, input_ids: tuple[str, ...], outcome: str
    ) -> None:
        log_event(
            self.env.logger,
            "server_checked",
            request_id=report.request_id,
            service=report.service_name,
            server_id=report.server_id,
            shared_parts=report.part_ids,
            input_ids=input_ids,
            outcome=outcome,
        )

    def _report(self, report: PromptCrash) -> None:
        own_id = self.env.identity.node_id
        duty = engine_duty(report.service_name)
        for node_id in self.owners.candidates(duty, REPORTED_OWNERS):
            if node_id == own_id:
                self.record_crash(report)
            else:
                self.peers.send(node_id, report)

    async def _on_crash(self, sender: Sender, report: PromptCrash) -> None:
        self.record_crash(report)

    def record_crash(self, report: PromptCrash) -> None:
        """Record a crash; blame a part if there is enough evidence."""
        service, shared_ids = report.service_name, tuple(report.part_ids)
        now_s = self.env.clock.monotonic_s()
        evidence = self._evidence[service]
        quarantined = frozenset(
            part_id
            for part_id in shared_ids
            if self.guard.remaining_s(service, part_id)
        )
        evidence.record_crash(shared_ids, report.server_id, now_s, quarantined)
        if quarantined or not self.owners.is_owner(engine_duty(service)):
            return
        on_probation = [p for p in shared_ids if self.guard.is_on_probation(service, p)]
        blamed = evidence.culprit(shared_ids, now_s)
        if on_probation:
            blamed = on_probation[-1]
        if blamed is None:
            return
        crashes = evidence.crash_count(blamed, now_s)
        evidence.explain(blamed)
        self.guard.impose(service, blamed, crashes)

    def record_first_event(self, service: str, parts: tuple[PromptPart, ...]) -> None:
        """Clear the parts of a placed prompt that got its first event."""
        shared_ids = tuple(part.part_id for part in parts[:-1])
        self._evidence[service].record_first_event(shared_ids)
        for part_id in shared_ids:
            self.guard.end_probation(service, part_id)
