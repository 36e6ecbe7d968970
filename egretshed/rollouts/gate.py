"""What one node knows of the rollouts, and what it may send where because of that.

Orders are read from the operators' table. What to do about them is told by the owner of
the service, and holds for `DIRECTIVE_TTL_S` unless it is final. A node that hears
nothing, because the owner is gone or it was cut off or stood still itself, sends
nothing more to the new version.
"""

import math
from dataclasses import (
    dataclass,
    field,
)
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.platform.interface import (
    ABSENT_VERSION,
    StoredRow,
)
from egretshed.platform.records import MalformedRecord
from egretshed.platform.rollout_rows import decode_rollout_order
from egretshed.platform.store_versions import version_in_store
from egretshed.platform.tables import rollout_service
from egretshed.rollouts.evidence import (
    OLD,
    Answers,
    CellKey,
    Evidence,
    duration_class,
)
from egretshed.rollouts.records import (
    RolloutOrder,
    RolloutPhase,
)
from egretshed.rollouts.version_filter import (
    allowed_versions,
    canary_servers,
    is_canary,
    may_resume,
    may_send_to_new,
)
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState

DIRECTIVE_TTL_S = 1.5
# Time after the end of a rollout for which servers of the old version are avoided. They
# have stopped, but may still be listed.
STOPPED_LISTED_S = 15.0
# Name of the route under which calls to stage servers are counted.
STAGE_CALLS = "!stage_calls"


class Run(NamedTuple):
    """A request at a server during a rollout."""

    cell: CellKey
    sent_s: float


class WithdrawnOrder(NamedTuple):
    """An order that is not in its row any more, which has `row_version` now."""

    order: RolloutOrder
    row_version: int


@dataclass(eq=False)
class KnownRollout:
    """An order, and what this node does about it; times are monotonic seconds.

    `seen` are the answers that this node has had since it knows the order.
    """

    order: RolloutOrder
    since_s: float
    phase: RolloutPhase = RolloutPhase.HOLD
    share: float = 0.0
    heard_s: float = -math.inf
    final_s: float = math.inf
    seen: Evidence = field(default_factory=dict)
    running: dict[int, Run] = field(default_factory=dict)
    stage_calls: int = 0
    new_stage_calls: int = 0

    @property
    def order_version(self) -> int:
        """Version of the order's row, which stays when the store is restored."""
        return version_in_store(self.order.row_version)

    def is_same(self, order: RolloutOrder) -> bool:
        known = self.order._replace(row_version=self.order_version)
        return known == order._replace(row_version=version_in_store(order.row_version))


class RolloutGate:
    """Selects the servers that may get a request while a rollout is in progress."""

    def __init__(self, env: Environment, servers: ServerRegistry):
        self.env = env
        self.servers = servers
        servers.is_version_allowed = self.may_send
        self.rollouts: dict[str, KnownRollout] = {}
        # Orders that were taken back before their rollout ended.
        self.withdrawn: dict[str, WithdrawnOrder] = {}
        # Number of the last run. A request of an order before keeps its number.
        self._runs = 0
        # Versions that get nothing: their rollout was not completed.
        self._barred: dict[str, set[str]] = {}

    def apply(self, rows: tuple[StoredRow, ...], is_whole: bool) -> None:
        """Apply changed rows of the operators' table."""
        for row in rows:
            service = rollout_service(row.key)
            if service is None:
                continue
            order = None if row.value is None else self._decode(service, row)
            if order is None:
                version = ABSENT_VERSION if row.value is None else row.version
                self._withdraw(service, version)
            else:
                self._begin(order)

    def _decode(self, service: str, row: StoredRow) -> RolloutOrder | None:
        try:
            return decode_rollout_order(service, row.value or b"", row.version)
        except MalformedRecord as error:
            log_event(
                self.env.logger,
                "rollout_order_ignored",
                service=service[:80],
                reason=str(error)[:200],
            )
            return None

    def _begin(self, order: RolloutOrder) -> None:
        known = self.rollouts.get(order.service)
        if known is not None and known.is_same(order):
            # The store was restored: the row has the same version in a later era.
            known.order = order
            return
        self._bar_unfinished(order.service)
        self.withdrawn.pop(order.service, None)
        self._barred.get(order.service, set()).discard(order.to_version)
        now_s = self.env.clock.monotonic_s()
        self.rollouts[order.service] = KnownRollout(order, now_s)
        versions = {s.listed.version for s in self.servers.of_service(order.service)}
        log_event(
            self.env.logger,
            "rollout_ordered",
            service=order.service,
            version=order.to_version,
            duration_s=order.duration_s,
            replaces=known.order.to_version if known else "",
            listed_versions=sorted(versions),
        )

    def _withdraw(self, service: str, row_version: int) -> None:
        known = self.rollouts.get(service)
        if known is None:
            return
        if not known.phase.is_final:
            self.withdrawn[service] = WithdrawnOrder(known.order, row_version)
        self._bar_unfinished(service)
        del self.rollouts[service]
        log_event(
            self.env.logger,
            "rollout_order_withdrawn",
            service=service,
            version=known.order.to_version,
            phase=known.phase.name.lower(),
        )

    def _bar_unfinished(self, service: str) -> None:
        known = self.rollouts.get(service)
        if known is not None and known.phase is not RolloutPhase.COMPLETED:
            self._barred.setdefault(service, set()).add(known.order.to_version)

    def learn(
        self, service: str, order_version: int, phase: RolloutPhase, share: float
    ) -> None:
        """Follow what the owner says; only `COMPLETED` replaces an end of a rollout.

        The owner says that once it is in the store, which decides.
        """
        known = self.rollouts.get(service)
        if known is None or known.order_version != order_version:
            return
        if known.phase.is_final and phase is not RolloutPhase.COMPLETED:
            return
        now_s = self.env.clock.monotonic_s()
        known.heard_s, known.share = now_s, share
        if phase is known.phase:
            return
        if phase.is_final:
            known.final_s = now_s
        log_event(
            self.env.logger,
            "rollout_followed",
            service=service,
            version=known.order.to_version,
            phase=phase.name.lower(),
            previous=known.phase.name.lower(),
            since_order_s=round(now_s - known.since_s, 3),
        )
        known.phase = phase

    def phase(self, known: KnownRollout) -> RolloutPhase:
        """Return the phase in force here, `HOLD` if the owner was not heard lately."""
        age_s = self.env.clock.monotonic_s() - known.heard_s
        if known.phase.is_final or age_s <= DIRECTIVE_TTL_S:
            return known.phase
        return RolloutPhase.HOLD

    def select(
        self, service: str, request_id: str, is_repeated: bool, servers
    ) -> list[ServerState]:
        """Return the servers among `servers` that may get a new request."""
        known, servers = self._in_force(service, servers)
        if known is None:
            return servers
        goes_to_new = not is_repeated and is_canary(request_id, known.share)
        return self._allowed(known, servers, goes_to_new)

    def select_for_calls(self, service: str, servers) -> list[ServerState]:
        """Return the servers that may get the next call of the stage owner.

        It sends all calls of a service, so that it keeps to the share by counting.
        """
        known, servers = self._in_force(service, servers)
        if known is None:
            return servers
        found = self._allowed(known, servers, False)
        if known.new_stage_calls >= known.share * known.stage_calls:
            return found
        # The old servers stay in the choice: the new ones may all be busy.
        share = self._allowed(known, servers, True)
        return found + [s for s in share if s not in found]

    def select_for_most(self, service: str, servers) -> list[ServerState]:
        """Return the servers that may get the requests outside the share."""
        known, servers = self._in_force(service, servers)
        return servers if known is None else self._allowed(known, servers, False)

    def _in_force(
        self, service: str, servers
    ) -> tuple[KnownRollout | None, list[ServerState]]:
        """Return the rollout of a service, unless it is over, and usable servers."""
        known = self.rollouts.get(service)
        if known is not None and self._is_over(known):
            known = None
        return known, self._without_barred(service, servers)

    def _allowed(
        self, known: KnownRollout, servers, goes_to_new: bool
    ) -> list[ServerState]:
        """Return the servers of allowed versions, only a few of them for the share."""
        phase, version = self.phase(known), known.order.to_version
        usable = [s.listed.version for s in servers]
        has_old = self._has_old(known)
        allowed = allowed_versions(phase, version, usable, has_old, goes_to_new)
        found = [s for s in servers if s.listed.version in allowed]
        if allowed != {version} or phase is not RolloutPhase.CANARY or not has_old:
            return found
        listed = self.servers.of_service(known.order.service)
        new_ids = (s.server_id for s in listed if s.listed.version == version)
        chosen = canary_servers(new_ids)
        return [s for s in found if s.server_id in chosen] or found

    def select_for_resumption(
        self, service: str, version: str, servers
    ) -> list[ServerState]:
        """Return the servers of a version at which a stream of it may go on."""
        known = self.rollouts.get(service)
        servers = self._without_barred(service, servers)
        if known is not None and not may_resume(
            self.phase(known), known.order.to_version, version
        ):
            return []
        return [s for s in servers if s.listed.version == version]

    def _without_barred(self, service: str, servers) -> list[ServerState]:
        barred = self._barred.get(service)
        if not barred:
            return servers
        listed = barred & {s.listed.version for s in self.servers.of_service(service)}
        if not listed:
            del self._barred[service]
        return [s for s in servers if s.listed.version not in listed]

    def may_send(self, server: ServerState) -> bool:
        """Return whether a chosen server may still get work; ask just before a send."""
        service, version = server.listed.service, server.listed.version
        if version in self._barred.get(service, ()):
            return False
        known = self.rollouts.get(service)
        if known is None or version != known.order.to_version:
            return True
        return may_send_to_new(self.phase(known), self._has_old(known))

    def _has_old(self, known: KnownRollout) -> bool:
        """Return whether a server of another version is listed."""
        listed = self.servers.of_service(known.order.service)
        return any(s.listed.version != known.order.to_version for s in listed)

    def _is_over(self, known: KnownRollout) -> bool:
        if known.phase is not RolloutPhase.COMPLETED:
            return False
        return self.env.clock.monotonic_s() - known.final_s > STOPPED_LISTED_S

    def note_sent(self, server: ServerState, route: str) -> int | None:
        """Note that a request was sent; return its number for `note_end`."""
        known = self.rollouts.get(server.listed.service)
        if known is None or known.phase.is_final:
            return None
        is_new = server.listed.version == known.order.to_version
        cell = CellKey(route, server.server_id if is_new else OLD)
        self._runs += 1
        known.running[self._runs] = Run(cell, self.env.clock.monotonic_s())
        if route == STAGE_CALLS:
            known.stage_calls += 1
            known.new_stage_calls += int(is_new)
        return self._runs

    def note_end(
        self, server: ServerState, number: int | None, failed: bool | None
    ) -> None:
        """Note the end of a request; `failed` is None if the server refused it."""
        known = self.rollouts.get(server.listed.service)
        run = known.running.pop(number, None) if known and number else None
        if run is None or failed is None:
            return
        answers = known.seen.setdefault(run.cell, Answers())
        if failed:
            answers.failures += 1
        else:
            took_s = self.env.clock.monotonic_s() - run.sent_s
            answers.latency_counts[duration_class(took_s)] += 1
        side = "old" if run.cell.server_id == OLD else "new"
        self.env.metrics.counter(
            "rollout_answers_total",
            "Answers of servers during rollouts",
            ("version", "outcome"),
        ).labels(side, "failed" if failed else "answered").inc()

    def evidence(self, known: KnownRollout) -> Evidence:
        """Return what this node has seen, with the requests that run now."""
        now_s = self.env.clock.monotonic_s()
        found = {key: Answers() for key in known.seen}
        for key, answers in known.seen.items():
            found[key].add(answers)
        for run in known.running.values():
            answers = found.setdefault(run.cell, Answers())
            answers.running_counts[duration_class(now_s - run.sent_s)] += 1
        return found

    def old_running(self, known: KnownRollout) -> int:
        """Return the requests that this node has at servers of other versions."""
        old = [
            server
            for server in self.servers.of_service(known.order.service)
            if server.listed.version != known.order.to_version
        ]
        calls = sum(
            run.cell == CellKey(STAGE_CALLS, OLD) for run in known.running.values()
        )
        return calls + sum(server.running for server in old)
