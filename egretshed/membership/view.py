"""This node's view of the fleet: member records, suspicions and deaths."""

import logging
import math
from collections.abc import (
    Callable,
    Iterable,
)

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import (
    MemberStatus,
    MemberUpdate,
)
from egretshed.logs import log_event
from egretshed.membership.members import (
    Member,
    from_update,
    merge_report,
    own_member,
    to_update,
)
from egretshed.membership.updates import UpdateQueue

MAX_UPDATES_PER_MESSAGE = 6  # keeps a probe well under 1 KB
DEAD_RETENTION_S = 60.0
SUSPECT_OR_DEAD = frozenset({MemberStatus.SUSPECT, MemberStatus.DEAD})


class FleetView:
    """Member records by node id, including this node's own.

    `is_listed` returns whether the platform lists a node; `on_superseded` is called
    with the incarnation of a newer process that has this node's id.
    """

    def __init__(
        self,
        env: Environment,
        is_listed: Callable[[str], bool],
        on_superseded: Callable[[int], None],
    ):
        self.env = env
        self.is_listed = is_listed
        self.on_superseded = on_superseded
        self.own_id = env.identity.node_id
        self.members: dict[str, Member] = {self.own_id: own_member(env)}
        self.revision = 0
        self._queue = UpdateQueue()
        self._suspected_since_s: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}

    @property
    def own(self) -> Member:
        return self.members[self.own_id]

    def reachable(self) -> list[Member]:
        return [member for member in self.members.values() if member.is_reachable]

    def dead(self) -> Iterable[str]:
        return self._dead_since_s.keys()

    def suspicion_limit_s(self) -> float:
        """Return the time that a suspected member has to refute the suspicion.

        It grows with the logarithm of the fleet size, as the time to gossip to every
        node does.
        """
        scale = max(1.0, math.log10(len(self.members)))
        return self.env.settings.membership.suspicion_s * scale

    def apply(self, update: MemberUpdate, gossip: bool = True) -> None:
        """Merge one report; queue it for other nodes unless `gossip` is False."""
        reported = from_update(update)
        if reported.node_id == self.own_id:
            self._apply_report_on_self(reported)
            return
        known = self.members.get(reported.node_id)
        if known is None:
            if reported.is_reachable or self.is_listed(reported.node_id):
                self._store(reported, gossip)
            return
        member = merge_report(known, reported)
        if member is not None:
            self._store(member, gossip)

    def record_load(self, node_id: str, load_permille: int) -> None:
        member = self.members.get(node_id)
        if member is not None and member.load_permille != load_permille:
            self.members[node_id] = member._replace(load_permille=load_permille)

    def suspect(self, node_id: str) -> None:
        """Suspect a member that replied to neither direct nor indirect probes."""
        member = self.members.get(node_id)
        if member is not None and member.status not in SUSPECT_OR_DEAD:
            self._store(member._replace(status=MemberStatus.SUSPECT))

    def expire(self) -> None:
        """Declare expired suspects dead; remove unlisted members that are long dead."""
        now_s = self.env.clock.monotonic_s()
        limit_s = self.suspicion_limit_s()
        for node_id, since_s in list(self._suspected_since_s.items()):
            if now_s - since_s >= limit_s:
                member = self.members[node_id]
                self._store(member._replace(status=MemberStatus.DEAD))
        for node_id, since_s in list(self._dead_since_s.items()):
            if now_s - since_s >= DEAD_RETENTION_S and not self.is_listed(node_id):
                del self._dead_since_s[node_id]
                del self.members[node_id]

    def restart_suspicions(self) -> None:
        """Restart the time limits of all suspicions, after a pause of this node."""
        now_s = self.env.clock.monotonic_s()
        self._suspected_since_s = dict.fromkeys(self._suspected_since_s, now_s)

    def leave(self) -> None:
        if not self.own.leaving:
            self._replace_own(
                refutation=self.own.refutation + 1,
                status=MemberStatus.LEAVING,
                leaving=True,
            )

    def set_load(self, load_permille: int) -> None:
        self.members[self.own_id] = self.own._replace(load_permille=load_permille)

    def updates_for(self, node_id: str) -> list[MemberUpdate]:
        """Return the updates for a message to `node_id`.

        These are this node's record, queued updates, and the receiver's own record if
        it is suspected or dead here, so that the receiver can refute that, or stop if
        the record is of a newer incarnation.
        """
        chosen = {self.own_id: self.own}
        receiver = self.members.get(node_id)
        if receiver is not None and receiver.status in SUSPECT_OR_DEAD:
            chosen[node_id] = receiver
        for other in self._queue.take(MAX_UPDATES_PER_MESSAGE - len(chosen)):
            if other in self.members:
                chosen[other] = self.members[other]
        return [to_update(member) for member in chosen.values()]

    def update_of(self, node_id: str) -> MemberUpdate:
        return to_update(self.members[node_id])

    def _apply_report_on_self(self, reported: Member) -> None:
        own = self.own
        if reported.incarnation > own.incarnation:
            self.on_superseded(reported.incarnation)
        elif reported.incarnation == own.incarnation:
            is_refutable = reported.status in SUSPECT_OR_DEAD
            if is_refutable and reported.refutation >= own.refutation:
                self._replace_own(refutation=reported.refutation + 1)

    def _replace_own(self, **fields) -> None:
        self._store(self.own._replace(**fields))

    def _store(self, member: Member, gossip: bool = True) -> None:
        node_id = member.node_id
        previous = self.members.get(node_id)
        self.members[node_id] = member
        if gossip:
            self._queue.add(node_id, len(self.members))
        self.revision += 1
        now_s = self.env.clock.monotonic_s()
        self._suspected_since_s.pop(node_id, None)
        self._dead_since_s.pop(node_id, None)
        if member.status == MemberStatus.SUSPECT:
            self._suspected_since_s[node_id] = now_s
        elif member.status == MemberStatus.DEAD:
            self._dead_since_s[node_id] = now_s
        if previous is None or previous.status != member.status:
            # A mass restart causes many suspicions, most of which are refuted.
            is_suspicion = member.status == MemberStatus.SUSPECT
            log_event(
                self.env.logger,
                "member_status",
                level=logging.DEBUG if is_suspicion else logging.INFO,
                member=node_id,
                incarnation=member.incarnation,
                status=member.status.name,
            )
