"""Records of the entry nodes and the rules by which reports about them are merged.

A report is newer if its incarnation is higher, then if its refutation counter is, then
by `STATUS_RANK`. Only the member itself raises its refutation counter.
"""

from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.gen.messages.ttypes import (
    MemberStatus,
    MemberUpdate,
)

STATUS_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 1,
    MemberStatus.SUSPECT: 2,
    MemberStatus.DEAD: 3,
}


class Member(NamedTuple):
    """One entry node as this node knows it.

    `leaving` stays set for the rest of the incarnation, also under suspicion.
    `load_permille` is as the member last reported it to this node.
    """

    node_id: str
    incarnation: int
    refutation: int
    status: MemberStatus
    host: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str
    leaving: bool = False
    load_permille: int = 0

    @property
    def is_reachable(self) -> bool:
        return self.status != MemberStatus.DEAD

    def age_key(self) -> tuple[int, int, int]:
        return self.incarnation, self.refutation, STATUS_RANK[self.status]


def own_member(env: Environment) -> Member:
    """Return the record with which this process introduces itself."""
    identity = env.identity
    return Member(
        identity.node_id,
        identity.incarnation,
        0,
        MemberStatus.ALIVE,
        identity.host,
        identity.peer_port,
        identity.http_port,
        identity.failure_domain,
        identity.region,
    )


def to_update(member: Member) -> MemberUpdate:
    """Return the message form of a record."""
    return MemberUpdate(
        member.node_id,
        member.incarnation,
        member.refutation,
        member.status,
        member.host,
        member.peer_port,
        member.http_port,
        member.failure_domain,
        member.region,
        member.load_permille,
    )


def from_update(update: MemberUpdate) -> Member:
    """Return the record that a message reports."""
    status = MemberStatus(update.status)
    return Member(
        update.node_id,
        update.incarnation,
        update.refutation,
        status,
        update.host,
        update.peer_port,
        update.http_port,
        update.failure_domain,
        update.region,
        status == MemberStatus.LEAVING,
        update.load_permille or 0,
    )


def merged(known: Member, reported: Member) -> Member | None:
    """Return the record after a report, or None if the report is not newer.

    A reported death becomes a suspicion where the member is still reachable: after a
    partition heals, each side reports the other's nodes dead, and they must get the
    time to refute that.
    """
    if reported.age_key() <= known.age_key():
        return None
    if reported.incarnation > known.incarnation:
        return reported
    if reported.status == MemberStatus.DEAD and known.is_reachable:
        reported = reported._replace(status=MemberStatus.SUSPECT)
        if reported.age_key() <= known.age_key():
            return None
    return reported._replace(
        leaving=known.leaving or reported.leaving,
        load_permille=known.load_permille,
    )
