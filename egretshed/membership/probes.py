"""Probes one random member each period and answers the probes of others."""

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

PEER_FAILURES = (PeerUnavailable, PeerRejected)
JITTER_SHARE = 0.1
# After a cut a node must learn how many others it lost within the take-over wait, or
# two owners could lend the same slots. Probing one a period would take minutes in a
# fleet of 360, so the number probed at once doubles while at least one in FAILED_PART
# fails. With one in two, of 100 nodes in two regions the last one took 10.5 s to know
# that the other region was cut off, and 4.6 s with one in eight.
MAX_PROBES_AT_ONCE = 128
FAILED_PART = 8


class Prober:
    """Direct and indirect probes; both carry updates and the configuration version."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        view: FleetView,
        pause: PauseDetector,
        version: Callable[[], int],
        on_version: Callable[[str, int], None],
        check_current: Callable[[], None],
    ):
        self.env = env
        self.peers = peers
        self.view = view
        self.pause = pause
        self.version = version
        self.on_version = on_version
        self.check_current = check_current
        self._round: list[str] = []
        self._probes_at_once = 1
        peers.handle(Probe, self._answer_probe)
        peers.handle(ProbeRequest, self._answer_request)

    async def run(self) -> None:
        clock = self.env.clock
        period_s = self.env.settings.membership.probe_period_s
        while True:
            self.check_current()
            began_s = clock.monotonic_s()
            self.pause.is_settled()  # a pause must be noticed before suspicions expire
            self.view.expire()
            await self._probe_batch()
            jitter = self.env.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            spent_s = clock.monotonic_s() - began_s
            await clock.sleep(max(0.0, period_s * jitter - spent_s))

    def announce(self, count: int) -> None:
        """Send waiting updates to a few members at once."""
        others = self._others()
        for node_id in self.env.random.sample(others, min(count, len(others))):
            self.peers.send(node_id, self._probe_message(node_id))

    async def ping(self, node_id: str) -> bool:
        """Probe `node_id` directly."""
        timeout_s = self.env.settings.membership.probe_timeout_s
        try:
            ack = await self.peers.call(
                node_id, self._probe_message(node_id), timeout_s
            )
        except PEER_FAILURES:
            return False
        self._read(node_id, ack)
        return True

    def _probe_message(self, node_id: str) -> Probe:
        return Probe(self.view.updates_for(node_id), self.version())

    async def _probe_batch(self) -> None:
        targets: dict[str, None] = {}
        for _ in range(self._probes_at_once):
            target = self._next_target()
            if target is not None:
                targets[target] = None
        results = await asyncio.gather(*(self._probe(target) for target in targets))
        failed = results.count(False)
        if failed and failed * FAILED_PART >= len(results):
            self._probes_at_once = min(2 * self._probes_at_once, MAX_PROBES_AT_ONCE)
        else:
            self._probes_at_once = 1

    async def _probe(self, target: str) -> bool:
        sent_s = self.env.clock.monotonic_s()
        reached = await self.ping(target) or await self._ping_through_others(target)
        if not reached:
            self.view.suspect(target)
        self.pause.note_probe(sent_s, reached)
        return reached

    async def _ping_through_others(self, target: str) -> bool:
        settings = self.env.settings.membership
        others = [node_id for node_id in self._others() if node_id != target]
        count = min(settings.indirect_probes, len(others))
        asked = self.env.random.sample(others, count)
        answers = await asyncio.gather(
            *(self._ask(node_id, target, settings.probe_timeout_s) for node_id in asked)
        )
        return any(answers)

    async def _ask(self, node_id: str, target: str, timeout_s: float) -> bool:
        request = ProbeRequest(target, self.view.updates_for(target))
        try:
            ack = await self.peers.call(node_id, request, 2 * timeout_s)
        except PEER_FAILURES:
            return False
        for update in ack.updates:
            self.view.apply(update)
        return True

    async def _answer_probe(self, sender: Sender, probe: Probe) -> ProbeAck:
        self.check_current()
        known = self.view.members.get(sender.node_id)
        if known is None or known.incarnation <= sender.incarnation:
            self._read(sender.node_id, probe)
        updates = self.view.updates_for(sender.node_id)
        if known is not None and known.incarnation > sender.incarnation:
            updates.append(self.view.update_of(sender.node_id))
        return ProbeAck(updates, self.version())

    async def _answer_request(self, sender: Sender, request: ProbeRequest) -> ProbeAck:
        self.check_current()
        for update in request.updates:
            self.view.apply(update)
        target = request.target_node_id
        if not await self.ping(target):
            raise PeerUnavailable(f"no reply from node {target}", node_id=target)
        updates = self.view.updates_for(sender.node_id)
        updates.append(self.view.update_of(target))
        return ProbeAck(updates, self.version())

    def _read(self, node_id: str, message: Probe | ProbeAck) -> None:
        for update in message.updates:
            self.view.apply(update)
            if update.node_id == node_id:
                self.view.note_load(node_id, update.load_permille or 0)
        self.on_version(node_id, message.configuration_version)

    def _others(self) -> list[str]:
        own_id = self.view.own_id
        return [m.node_id for m in self.view.reachable() if m.node_id != own_id]

    def _next_target(self) -> str | None:
        """Return the next member of a shuffled round over those that are reachable."""
        for refilled in (False, True):
            while self._round:
                member = self.view.members.get(self._round.pop())
                if member is not None and member.is_reachable:
                    return member.node_id
            if not refilled:
                self._round = self._others()
                self.env.random.shuffle(self._round)
        return None
