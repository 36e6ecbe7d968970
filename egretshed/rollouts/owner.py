"""Decides the rollouts of the services that this node owns, and writes their status.

The status in the platform's store decides. It is written on condition that neither it
nor the order has changed since it was read, and an end that is stored for an order is
never replaced: of two nodes that both believe to own a service, one writes first and
the other adopts what it finds. An owner lets requests go to the new version only while
it has read lately that the rollout is in progress. A roll-back is told to all nodes
before it is written, a completion after.
"""

import math
from dataclasses import (
    dataclass,
    field,
    replace,
)

from egretshed.environment import Environment
from egretshed.errors import (
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.gen.messages.ttypes import (
    RolloutDirective,
    RolloutReport,
)
from egretshed.logs import log_event
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import PeerNetwork
from egretshed.platform.interface import (
    ABSENT_VERSION,
    StoredRow,
)
from egretshed.platform.records import MalformedRecord
from egretshed.platform.rollout_rows import (
    decode_rollout_status,
    encode_rollout_status,
)
from egretshed.platform.store import (
    RowStore,
    RowWrite,
)
from egretshed.platform.tables import (
    OPERATOR_TABLE,
    ROLLOUT_PREFIX,
    STATUS_TABLE,
)
from egretshed.rollouts.evidence import (
    OLD,
    Evidence,
    EvidenceHistory,
    merge,
)
from egretshed.rollouts.gate import (
    KnownRollout,
    RolloutGate,
    WithdrawnOrder,
)
from egretshed.rollouts.judgement import (
    Verdict,
    judge,
)
from egretshed.rollouts.records import (
    PHASES_BY_STATE,
    RolloutOrder,
    RolloutPhase,
    RolloutState,
)
from egretshed.rollouts.reports import decode_evidence
from egretshed.rollouts.schedule import (
    RolloutProgress,
    next_phase,
    share_of,
)

STEP_PERIOD_S = 0.1
# Lateness of a step from which on the process counts as having stood still.
MAX_LATE_S = 0.7
# A wish to complete that is older than this when the store has been read is dropped.
MAX_WISH_AGE_S = 0.5
# The same without a rollout.
IDLE_PERIOD_S = 0.4
# A report counts as present for this long; the evidence in it stays.
REPORT_TTL_S = 1.5
# Interval at which the status is read again, and how long a reading holds.
CONFIRM_PERIOD_S = 1.0
CONFIRMED_S = 2.5
STATES_BY_PHASE = {
    RolloutPhase.COMPLETED: RolloutState.COMPLETED,
    RolloutPhase.ROLLED_BACK: RolloutState.ROLLED_BACK,
}


def rollout_duty(service: str) -> str:
    return f"rollout/{service}"


@dataclass
class NodeReport:
    """What a node has seen since the order, `age_s` after it.

    `is_former` is set once the node has restarted since, or this process has stood
    still: the evidence counts, but the node is not present.
    """

    heard_s: float
    age_s: float
    phase: RolloutPhase
    old_running: int
    evidence: Evidence
    is_former: bool = False


@dataclass(eq=False)
class OwnedRollout:
    """Decision on one order; `stored` is the state that the store is known to have."""

    known: KnownRollout
    phase: RolloutPhase = RolloutPhase.HOLD
    share: float = 0.0
    reports: dict[str, NodeReport] = field(default_factory=dict)
    stored: RolloutState | None = None
    confirmed_s: float = -math.inf
    is_told: bool = False
    entered_s: float = 0.0
    history: EvidenceHistory = field(default_factory=EvidenceHistory)


class RolloutOwner:
    """Takes the reports of nodes and answers with what they do."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        gate: RolloutGate,
        store: RowStore,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.gate = gate
        self.store = store
        self._owned: dict[str, OwnedRollout] = {}
        store.on_restored.append(self._on_restored)

    def take(self, node_id: str, report: RolloutReport) -> RolloutDirective:
        """Keep a node's report and return what it does until the next one."""
        known = self.gate.rollouts.get(report.service_name)
        if known is None or known.order_version != report.order_version:
            # One of both nodes does not know the order yet.
            hold = int(RolloutPhase.HOLD)
            return RolloutDirective(
                report.service_name, report.order_version, hold, 0.0
            )
        owned = self._owned_rollout(known)
        keep_report(
            owned.reports,
            node_id,
            NodeReport(
                self.env.clock.monotonic_s(),
                report.age_ms / 1000,
                RolloutPhase(report.phase),
                report.old_running,
                decode_evidence(report.cells),
            ),
        )
        return self._directive(owned)

    def _owned_rollout(self, known: KnownRollout) -> OwnedRollout:
        service = known.order.service
        owned = self._owned.get(service)
        if owned is None or owned.known is not known:
            owned = self._owned[service] = OwnedRollout(known)
        return owned

    def _directive(self, owned: OwnedRollout) -> RolloutDirective:
        phase, share = owned.phase, owned.share
        is_confirmed = self._since_s(owned.confirmed_s) <= CONFIRMED_S
        if not (phase.is_final or is_confirmed):
            phase, share = RolloutPhase.HOLD, 0.0
        known = owned.known
        return RolloutDirective(
            known.order.service, known.order_version, int(phase), share
        )

    def _since_s(self, at_s: float) -> float:
        return self.env.clock.monotonic_s() - at_s

    async def run(self) -> None:
        """Decide, write and tell, until cancelled."""
        while True:
            is_idle = not (self._owned or self.gate.withdrawn)
            period_s = IDLE_PERIOD_S if is_idle else STEP_PERIOD_S
            due_s = self.env.clock.monotonic_s() + period_s
            await self.env.clock.sleep(period_s)
            if self._since_s(due_s) > MAX_LATE_S:
                self._forget_presence()
            for service, owned in list(self._owned.items()):
                if self.gate.rollouts.get(service) is not owned.known:
                    del self._owned[service]
                elif self._is_acting(owned):
                    await self._step(owned)
            for withdrawn in list(self.gate.withdrawn.values()):
                await self._end_withdrawn(withdrawn)

    def _forget_presence(self) -> None:
        """Wait for reports that are sent after a pause of this process.

        Those that it finds on waking were sent before, and another owner may have acted
        meanwhile.
        """
        for owned in self._owned.values():
            owned.reports = {
                node_id: replace(report, is_former=True)
                for node_id, report in owned.reports.items()
            }
            if not owned.phase.is_final:
                self._enter(owned, RolloutPhase.HOLD)
                owned.share = 0.0

    def _is_present(self, report: NodeReport) -> bool:
        return not report.is_former and self._since_s(report.heard_s) <= REPORT_TTL_S

    def _is_acting(self, owned: OwnedRollout) -> bool:
        if any(self._is_present(report) for report in owned.reports.values()):
            return True
        is_unwritten = owned.phase.is_final and owned.stored is None
        duty = rollout_duty(owned.known.order.service)
        return is_unwritten and self.owners.is_owner(duty)

    async def _step(self, owned: OwnedRollout) -> None:
        known_back = any(
            r.phase is RolloutPhase.ROLLED_BACK for r in owned.reports.values()
        )
        evidence = merge(r.evidence for r in owned.reports.values())
        now_s = self.env.clock.monotonic_s()
        verdict = judge(evidence, owned.history.recent(evidence, now_s))
        progress = self._progress(owned, evidence, verdict, known_back)
        phase = next_phase(owned.phase, progress)
        if phase is RolloutPhase.ROLLED_BACK:
            self._enter(owned, phase, verdict, progress)
        await self._reconcile(owned, STATES_BY_PHASE.get(phase))
        if not phase.is_final and not owned.phase.is_final:
            self._enter(owned, phase, verdict, progress)
        bounds = self.env.settings.bounds
        owned.share = share_of(
            owned.phase, progress, bounds.canary_share, bounds.canary_tolerance
        )
        if owned.phase.is_final and not owned.is_told:
            self._tell(owned)

    def _progress(
        self,
        owned: OwnedRollout,
        evidence: Evidence,
        verdict: Verdict,
        is_known_bad: bool,
    ) -> RolloutProgress:
        present = {
            node_id: report
            for node_id, report in owned.reports.items()
            if self._is_present(report)
        }
        node_ids = [self.env.identity.node_id, *self.owners.others()]
        return RolloutProgress(
            age_s=max(
                (r.age_s + self._since_s(r.heard_s) for r in owned.reports.values()),
                default=0.0,
            ),
            duration_s=owned.known.order.duration_s,
            is_bad=verdict.is_bad or is_known_bad,
            answers=verdict.answers,
            sent=sum(a.sent for key, a in evidence.items() if key.server_id != OLD),
            sent_in_all=sum(a.sent for a in evidence.values()),
            old_running=sum(r.old_running for r in present.values()),
            have_all_switched=all(
                n in present and present[n].phase is RolloutPhase.SWITCH
                for n in node_ids
            ),
            switched_s=self._since_s(owned.entered_s)
            if owned.phase is RolloutPhase.SWITCH
            else 0.0,
            reporting_share=sum(n in present for n in node_ids) / len(node_ids),
            has_majority=2 * len(present) > len(self.owners.all_nodes()),
        )

    def _enter(
        self,
        owned: OwnedRollout,
        phase: RolloutPhase,
        verdict: Verdict | None = None,
        progress: RolloutProgress | None = None,
    ) -> None:
        if phase is owned.phase:
            return
        previous, owned.phase = owned.phase, phase
        owned.entered_s = self.env.clock.monotonic_s()
        owned.is_told = False
        self.env.metrics.counter(
            "rollout_phases_total", "Phases of rollouts that nodes decided", ("phase",)
        ).labels(phase.name.lower()).inc()
        log_event(
            self.env.logger,
            "rollout_phase",
            service=owned.known.order.service,
            version=owned.known.order.to_version,
            phase=phase.name.lower(),
            previous=previous.name.lower(),
            nodes=len(owned.reports),
            verdict=verdict._asdict() if verdict else None,
            progress=progress._asdict() if progress else None,
        )
        if phase is RolloutPhase.ROLLED_BACK:
            self._tell(owned)

    def _tell(self, owned: OwnedRollout) -> None:
        """Tell all nodes at once; those that miss it hear it in reply to a report."""
        owned.is_told = True
        directive = self._directive(owned)
        self.gate.learn(
            directive.service_name,
            directive.order_version,
            RolloutPhase(directive.phase),
            directive.share,
        )
        for node_id in self.owners.others():
            self.peers.send(node_id, directive)

    async def _reconcile(
        self, owned: OwnedRollout, wanted: RolloutState | None
    ) -> None:
        """Read the status if due, adopt an end in it, and write what it lacks."""
        wanted = wanted or RolloutState.IN_PROGRESS
        if owned.phase.is_final and owned.stored is STATES_BY_PHASE[owned.phase]:
            return
        is_due = self._since_s(owned.confirmed_s) >= CONFIRM_PERIOD_S
        if owned.stored is wanted and not is_due:
            return
        order = owned.known.order
        sent_s = self.env.clock.monotonic_s()
        try:
            row = await self.store.read_row(STATUS_TABLE, _key(order.service))
            stored = _state_for(order, row)
            is_end = stored not in (None, RolloutState.IN_PROGRESS)
            is_old = self._since_s(sent_s) > MAX_WISH_AGE_S
            if wanted is RolloutState.COMPLETED and is_old and not is_end:
                return
            if not is_end and stored is not wanted:
                await self._write(order, wanted, row, order.row_version)
                stored = wanted
        except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
            owned.stored = None
            self._log_not_written(order, wanted, error)
            return
        owned.stored, owned.confirmed_s = stored, sent_s
        if stored is not RolloutState.IN_PROGRESS:
            self._enter(owned, PHASES_BY_STATE[stored])

    async def _write(
        self,
        order: RolloutOrder,
        state: RolloutState,
        row: StoredRow | None,
        order_row_version: int,
    ) -> None:
        key = _key(order.service)
        value = encode_rollout_status(state, order.to_version)
        await self.store.write(
            STATUS_TABLE,
            [RowWrite(key, value)],
            {key: ABSENT_VERSION if row is None else row.version},
            expected_elsewhere=((OPERATOR_TABLE, key, order_row_version),),
        )
        log_event(
            self.env.logger,
            "rollout_status_written",
            service=order.service,
            version=order.to_version,
            state=state.value,
        )

    def _log_not_written(
        self, order: RolloutOrder, state: RolloutState, error: Exception
    ) -> None:
        log_event(
            self.env.logger,
            "rollout_status_not_written",
            service=order.service,
            version=order.to_version,
            state=state.value,
            reason=str(error),
        )

    async def _end_withdrawn(self, withdrawn: WithdrawnOrder) -> None:
        """Write that a rollout was rolled back whose order was taken back."""
        order = withdrawn.order
        if not self.owners.is_owner(rollout_duty(order.service)):
            self.gate.withdrawn.pop(order.service, None)
            return
        state = RolloutState.ROLLED_BACK
        try:
            row = await self.store.read_row(STATUS_TABLE, _key(order.service))
            if _state_for(order, row) is RolloutState.IN_PROGRESS:
                await self._write(order, state, row, withdrawn.row_version)
        except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
            self._log_not_written(order, state, error)
            return
        self.gate.withdrawn.pop(order.service, None)

    def _on_restored(self) -> None:
        """Have the status of all rollouts read and written again."""
        for known in self.gate.rollouts.values():
            owned = self._owned_rollout(known)
            owned.stored, owned.confirmed_s = None, -math.inf
            if known.phase.is_final and not owned.phase.is_final:
                owned.phase, owned.is_told = known.phase, True


def keep_report(
    reports: dict[str, NodeReport], node_id: str, report: NodeReport
) -> None:
    """Keep a node's report in place of the one before, which it includes.

    The reports of a restarted node begin anew: what it saw before is kept apart.
    """
    known = reports.get(node_id)
    if known is not None and report.age_s < known.age_s:
        reports[f"{node_id}/{len(reports)}"] = replace(known, is_former=True)
    reports[node_id] = report


def _key(service: str) -> str:
    return f"{ROLLOUT_PREFIX}{service}"


def _state_for(order: RolloutOrder, row: StoredRow | None) -> RolloutState | None:
    """Return the state that a status row gives for an order, None if it has another.

    Versions of rows rise with each transaction, so that a status which is older than
    the order belongs to an earlier one.
    """
    if row is None or row.value is None or row.version < order.row_version:
        return None
    try:
        state, to_version = decode_rollout_status(row.value)
    except MalformedRecord:
        return None
    return state if to_version == order.to_version else None
