"""Reports what a node has seen of rollouts to their owners, and follows the answers.

A report holds all that was seen since the order and replaces the one before, so that a
lost one costs nothing and a new owner knows all after one period. The first nodes in
the ranking are asked in turn until one answers.
"""

from egretshed.environment import Environment
from egretshed.errors import (
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    RolloutDirective,
    RolloutReport,
)
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.rollouts.gate import (
    KnownRollout,
    RolloutGate,
)
from egretshed.rollouts.owner import (
    RolloutOwner,
    rollout_duty,
)
from egretshed.rollouts.records import RolloutPhase
from egretshed.rollouts.reports import encode_evidence

REPORT_PERIOD_S = 0.4
# While all requests go to the new version, a bad one must be found sooner.
SWITCH_REPORT_PERIOD_S = 0.2
REPLY_TIMEOUT_S = 0.3
MAX_OWNERS_TRIED = 3
# A node that knows the end goes on to report it for this long, for a new owner.
REPORT_END_S = 60.0


class RolloutReporter:
    """Exchanges reports and directives with the owners."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        gate: RolloutGate,
        owner: RolloutOwner,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.gate = gate
        self.owner = owner
        peers.handle(RolloutReport, self._on_report)
        peers.handle(RolloutDirective, self._on_directive)

    async def run(self) -> None:
        """Report on all rollouts in progress, until cancelled."""
        while True:
            await self.env.clock.sleep(self._period_s())
            for known in list(self.gate.rollouts.values()):
                if self._must_report(known):
                    await self._report(known)

    def _period_s(self) -> float:
        phases = (known.phase for known in self.gate.rollouts.values())
        is_switching = RolloutPhase.SWITCH in phases
        return SWITCH_REPORT_PERIOD_S if is_switching else REPORT_PERIOD_S

    def _must_report(self, known: KnownRollout) -> bool:
        now_s = self.env.clock.monotonic_s()
        return not known.phase.is_final or now_s - known.final_s < REPORT_END_S

    async def _report(self, known: KnownRollout) -> None:
        duty = rollout_duty(known.order.service)
        report = self._encode(known)
        for node_id in self.owners.candidates(duty, MAX_OWNERS_TRIED):
            if node_id == self.env.identity.node_id:
                self._follow(self.owner.take(node_id, report))
                return
            try:
                reply = await self.peers.call(node_id, report, REPLY_TIMEOUT_S)
            except (PeerUnavailable, PeerRejected) as error:
                self.owners.avoid(node_id, duty, str(error))
                continue
            self._follow(reply)
            return

    def _encode(self, known: KnownRollout) -> RolloutReport:
        age_s = self.env.clock.monotonic_s() - known.since_s
        return RolloutReport(
            known.order.service,
            known.order_version,
            int(age_s * 1000),
            int(self.gate.phase(known)),
            self.gate.old_running(known),
            encode_evidence(self.gate.evidence(known)),
        )

    async def _on_report(
        self, sender: Sender, report: RolloutReport
    ) -> RolloutDirective:
        return self.owner.take(sender.node_id, report)

    async def _on_directive(self, sender: Sender, directive: RolloutDirective) -> None:
        self._follow(directive)

    def _follow(self, directive: RolloutDirective) -> None:
        self.gate.learn(
            directive.service_name,
            directive.order_version,
            RolloutPhase(directive.phase),
            directive.share,
        )
