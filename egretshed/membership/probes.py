"""Failure detector: probes random members each period and replies to probes."""

import asyncio
from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.errors import (
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    Probe,
    ProbeAck,
    ProbeRequest,
)
from egretshed.membership.pause import PauseDetector
from egretshed.membership.view import FleetView
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)

PEER_ERRORS = (PeerUnavailable, PeerRejected)
JITTER_SHARE = 0.1
# After a partition, a node must detect within the take-over wait how many nodes it has
# lost; otherwise two owners could lend the same slots. One probe per period would take
# minutes in a fleet of 360, so the number of parallel probes doubles while at least one
# in FAILURE_DIVISOR fails. With 100 nodes in two regions, the last node detected the
# loss of the other region after 10.5 s with a divisor of 2, and after 4.6 s with 8.
MAX_PROBES_AT_ONCE = 128
FAILURE_DIVISOR = 8


class Prober:
    """Sends and handles direct and indirect probes.

    Both carry member updates and the configuration version. `on_version` is called with
    the version that a peer reports; `check_not_superseded` raises `NodeSuperseded`.
    """

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        view: FleetView,
        pause_detector: PauseDetector,
        local_version: Callable[[], int],
        on_version: Callable[[str, int], None],
        check_not_superseded: Callable[[], None],
    ):
        self.env = env
        self.peers = peers
        self.view = view
        self.pause_detector = pause_detector
        self.local_version = local_version
        self.on_version = on_version
        self.check_not_superseded = check_not_superseded
        self._probe_round: list[str] = []
        self._probes_at_once = 1
        peers.handle(Probe, self._handle_probe)
        peers.handle(ProbeRequest, self._handle_probe_request)

    async def run(self) -> None:
        """Probe members until cancelled or superseded."""
        clock = self.env.clock
        period_s = self.env.settings.membership.probe_period_s
        while True:
            self.check_not_superseded()
            started_s = clock.monotonic_s()
            # Detects a pause, which restarts suspicions, before they expire below.
            self.pause_detector.is_settled()
            self.view.expire()
            await self._probe_batch()
            jitter = self.env.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            elapsed_s = clock.monotonic_s() - started_s
            await clock.sleep(max(0.0, period_s * jitter - elapsed_s))

    def announce(self, count: int) -> None:
        """Send queued updates to `count` random members at once."""
        others = self._others()
        for node_id in self.env.random.sample(others, min(count, len(others))):
            self.peers.send(node_id, self._probe_message(node_id))

    async def ping(self, node_id: str) -> bool:
        """Probe `node_id` directly; return whether it replied in time."""
        timeout_s = self.env.settings.membership.probe_timeout_s
        try:
            ack = await self.peers.call(
                node_id, self._probe_message(node_id), timeout_s
            )
        except PEER_ERRORS:
            return False
        self._apply_message(node_id, ack)
        return True

    def _probe_message(self, node_id: str) -> Probe:
        return Probe(self.view.updates_for(node_id), self.local_version())

    async def _probe_batch(self) -> None:
        targets: dict[str, None] = {}
        for _ in range(self._probes_at_once):
            target = self._next_target()
            if target is not None:
                targets[target] = None
        results = await asyncio.gather(*(self._probe(target) for target in targets))
        failed = results.count(False)
        if failed and failed * FAILURE_DIVISOR >= len(results):
            self._probes_at_once = min(2 * self._probes_at_once, MAX_PROBES_AT_ONCE)
        else:
            self._probes_at_once = 1

    async def _probe(self, target: str) -> bool:
        sent_s = self.env.clock.monotonic_s()
        reached = await self.ping(target) or await self._ping_indirectly(target)
        if not reached:
            self.view.suspect(target)
        self.pause_detector.record_probe(sent_s, reached)
        return reached

    async def _ping_indirectly(self, target: str) -> bool:
        settings = self.env.settings.membership
        others = [node_id for node_id in self._others() if node_id != target]
        count = min(settings.indirect_probes, len(others))
        asked = self.env.random.sample(others, count)
        results = await asyncio.gather(
            *(
                self._request_indirect_ping(node_id, target, settings.probe_timeout_s)
                for node_id in asked
            )
        )
        return any(results)

    async def _request_indirect_ping(
        self, node_id: str, target: str, timeout_s: float
    ) -> bool:
        request = ProbeRequest(target, self.view.updates_for(target))
        try:
            ack = await self.peers.call(node_id, request, 2 * timeout_s)
        except PEER_ERRORS:
            return False
        for update in ack.updates:
            self.view.apply(update)
        return True

    async def _handle_probe(self, sender: Sender, probe: Probe) -> ProbeAck:
        self.check_not_superseded()
        known = self.view.members.get(sender.node_id)
        if known is None or known.incarnation <= sender.incarnation:
            self._apply_message(sender.node_id, probe)
        updates = self.view.updates_for(sender.node_id)
        if known is not None and known.incarnation > sender.incarnation:
            updates.append(self.view.update_of(sender.node_id))
        return ProbeAck(updates, self.local_version())

    async def _handle_probe_request(
        self, sender: Sender, request: ProbeRequest
    ) -> ProbeAck:
        self.check_not_superseded()
        for update in request.updates:
            self.view.apply(update)
        target = request.target_node_id
        if not await self.ping(target):
            raise PeerUnavailable(f"no reply from node {target}", node_id=target)
        updates = self.view.updates_for(sender.node_id)
        updates.append(self.view.update_of(target))
        return ProbeAck(updates, self.local_version())

    def _apply_message(self, node_id: str, message: Probe | ProbeAck) -> None:
        for update in message.updates:
            self.view.apply(update)
            if update.node_id == node_id:
                self.view.record_load(node_id, update.load_permille or 0)
        self.on_version(node_id, message.configuration_version)

    def _others(self) -> list[str]:
        own_id = self.view.own_id
        return [m.node_id for m in self.view.reachable() if m.node_id != own_id]

    def _next_target(self) -> str | None:
        """Return the next reachable member of a shuffled round over all of them."""
        for refilled in (False, True):
            while self._probe_round:
                member = self.view.members.get(self._probe_round.pop())
                if member is not None and member.is_reachable:
                    return member.node_id
            if not refilled:
                self._probe_round = self._others()
                self.env.random.shuffle(self._probe_round)
        return None
