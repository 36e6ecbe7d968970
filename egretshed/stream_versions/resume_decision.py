"""Decides at which software version a stream that a caller takes up again may go on.

Load pattern: servers of two versions serve side by side, as during a release, and many
streams are broken off at once. What two versions write does not fit together, and the
servers do not check it, so a stream whose version is uncertain is refused.
"""

from collections.abc import Iterable
from typing import NamedTuple

from egretshed.servers.records import (
    ListedServer,
    ServerPhase,
)
from egretshed.stream_versions.records import StreamBeginning

# Difference between the clocks of a node and of a server that is allowed for.
CLOCK_TOLERANCE_MS = 500


class ResumeDecision(NamedTuple):
    """`refusal` is the reason why the stream may not go on, or ""."""

    service: str = ""
    version: str = ""
    refusal: str = ""


def decide_resume(
    beginning: StreamBeginning | None,
    services: tuple[str, ...],
    only_version: str | None,
    listed: Iterable[ListedServer],
    former: Iterable[ListedServer] = (),
    is_list_current: bool = True,
    *,
    list_as_of_s: float,
    requested_s: float,
) -> ResumeDecision:
    """Return where a stream goes on.

    `beginning` is None if no node knows the stream. `services` are those of its route.
    `only_version` is the only version that the only service has had for as long as a
    stream may last, if there is one. `listed` are the servers of these services,
    `former` the entries that those of the stream's server had before. If the list may
    be outdated, a server may have restarted with any of the versions.

    `list_as_of_s` is the moment until which the list misses no server, `requested_s`
    that at which the request arrived. A stream that is taken up began before that, so
    only a list that is as young shows that no other version can have begun it. The node
    may have stood still or been cut off before, while servers joined.
    """
    if beginning is None:
        if len(services) != 1 or only_version is None:
            return ResumeDecision(refusal="stream_unknown")
        if list_as_of_s < requested_s:
            return ResumeDecision(refusal="list_not_confirmed")
        return ResumeDecision(services[0], only_version)
    if beginning.service not in services:
        return ResumeDecision(refusal="service_changed")
    servers = [s for s in listed if s.service == beginning.service]
    if may_have_begun_at_other_version(beginning, [*servers, *former]):
        return ResumeDecision(refusal="version_uncertain")
    if not is_list_current and only_version != beginning.version:
        return ResumeDecision(refusal="list_outdated")
    if not any(
        s.version == beginning.version and s.phase is ServerPhase.READY for s in servers
    ):
        return ResumeDecision(refusal="version_not_served")
    return ResumeDecision(beginning.service, beginning.version)


def is_unlisted_start(listed_ms: int, reported_ms: int | None) -> bool:
    """Return whether a server reports another start than the list shows.

    Times that are not known, 0 in the list, prove nothing.
    """
    return bool(listed_ms and reported_ms) and listed_ms != reported_ms


def had_restarted_unlisted(beginning: StreamBeginning, reported_ms: int | None) -> bool:
    """Return whether a stream's server had restarted before it began the stream.

    `reported_ms` is the start that the server reports when the stream goes on.
    """
    latest_ms = beginning.connected_ms + CLOCK_TOLERANCE_MS
    return is_unlisted_start(beginning.started_ms, reported_ms) and (
        reported_ms <= latest_ms
    )


def may_have_begun_at_other_version(
    beginning: StreamBeginning, listed: Iterable[ListedServer]
) -> bool:
    """Return whether the server had restarted before the list showed it.

    A server that restarts with another version under its id and address may get a
    request before its new entry is known. `listed` has its former entries as well.
    """
    latest_ms = beginning.connected_ms + CLOCK_TOLERANCE_MS
    return any(
        server.server_id == beginning.server_id
        and server.version != beginning.version
        and beginning.started_ms < server.started_ms <= latest_ms
        for server in listed
    )
