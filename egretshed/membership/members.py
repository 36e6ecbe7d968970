"""Member records of the entry nodes and the rules for merging reports about them.

Reports are ordered by incarnation, then refutation counter, then `STATUS_RANK`. Only
the member itself increments its refutation counter.
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
    """Record of one entry node as known to this node.

    `leaving` stays set for the rest of the incarnation, also while suspected.
    `load_permille` is the load that the member last reported to this node itself.
    `cores` is the processor that the member may use; None if it did not tell.
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
    cores: float | None = None
    link_mbps: float | None = None

    @property
    def is_reachable(self) -> bool:
        return self.status != MemberStatus.DEAD

    def precedence(self) -> tuple[int, int, int]:
        return self.incarnation, self.refutation, STATUS_RANK[self.status]


def own_member(env: Environment) -> Member:
    """Return the initial record of this process."""
    identity = env.identity
    node = env.settings.node
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
        cores=node.cores * node.core_share,
        link_mbps=node.link_mbps,
    )


def to_update(member: Member) -> MemberUpdate:
    """Convert a record to a message."""
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
        None if member.cores is None else round(member.cores * 1000),
        None if member.link_mbps is None else round(member.link_mbps),
    )


def from_update(update: MemberUpdate) -> Member:
    """Convert a message to a record."""
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
        None if update.millicores is None else update.millicores / 1000,
        update.link_mbps,
    )


def merge_report(known: Member, reported: Member) -> Member | None:
    """Return the record updated by a report, or None if the report is not newer.

    A reported death of a member that is reachable here is downgraded to a suspicion:
    after a partition heals, each side reports the nodes of the other as dead, and those
    need time to refute it.
    """
    if reported.precedence() <= known.precedence():
        return None
    if reported.incarnation > known.incarnation:
        return reported
    if reported.status == MemberStatus.DEAD and known.is_reachable:
        reported = reported._replace(status=MemberStatus.SUSPECT)
        if reported.precedence() <= known.precedence():
            return None
    return reported._replace(
        leaving=known.leaving or reported.leaving,
        load_permille=known.load_permille,
    )
