"""Finds restarts of servers that the list does not show yet, before a stream goes on.

While the store is silent or gives outdated reads, a server may have restarted with
another software version under its id and address. Only the server itself knows.
"""

import asyncio

from egretshed.environment import Environment
from egretshed.errors import BackendError
from egretshed.logs import log_event
from egretshed.relay.request_state import RequestState
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.start_times import ServerStartTimes
from egretshed.servers.state import ServerState
from egretshed.stream_versions.records import StreamBeginning
from egretshed.stream_versions.resume_decision import (
    CLOCK_TOLERANCE_MS,
    had_restarted_unlisted,
    is_unlisted_start,
)

RESTART_OUTCOMES = frozenset({"server_restarted", "first_server_restarted"})


class VersionChanged(BackendError):
    """A stream began or would go on at a server whose version is not the listed one."""

    code = "version_changed"


class RestartCheck:
    """Compares the listed starts of servers with those that they report."""

    def __init__(
        self, env: Environment, servers: ServerRegistry, start_times: ServerStartTimes
    ):
        self.env = env
        self.servers = servers
        self.start_times = start_times

    async def check(
        self, state: RequestState, server: ServerState, is_list_certain: bool
    ) -> None:
        """Raise `VersionChanged` if a restart makes a bound stream's version uncertain.

        Call it after the server's first event has arrived: if its process is the listed
        one then, it was so before. If the list is uncertain, the server must confirm
        its start.
        """
        beginning = state.beginning
        reported_ms, first_reported_ms = await asyncio.gather(
            self.start_times.started_ms(server, self.env.clock.wall_s()),
            self._first_server_started_ms(beginning),
        )
        current = self.servers.servers.get(server.server_id, server)
        outcome = "confirmed" if reported_ms else "unknown"
        if current.listed.version != state.bound_version or is_unlisted_start(
            server.listed.started_ms, reported_ms
        ):
            outcome = "server_restarted"
        elif beginning and had_restarted_unlisted(beginning, first_reported_ms):
            outcome = "first_server_restarted"
        log_event(
            self.env.logger,
            "stream_version_checked",
            request_id=state.request.request_id,
            server_id=server.server_id,
            version=state.bound_version,
            listed_ms=server.listed.started_ms,
            reported_ms=reported_ms,
            first_server_id=beginning.server_id if beginning else "",
            first_reported_ms=first_reported_ms,
            is_list_certain=is_list_certain,
            outcome=outcome,
        )
        is_unproven = outcome == "unknown" and not is_list_certain
        if is_unproven or outcome in RESTART_OUTCOMES:
            raise VersionChanged(
                "a server has restarted, perhaps with another version",
                may_have_run=True,
            )

    async def is_start_confirmed(self, beginning: StreamBeginning | None) -> bool:
        """Return whether the server that began a stream confirms its version.

        It does if it has not restarted, or only after the stream had begun.
        """
        reported_ms = await self._first_server_started_ms(beginning)
        return (
            reported_ms is not None
            and beginning.started_ms > 0
            and not had_restarted_unlisted(beginning, reported_ms)
        )

    async def _first_server_started_ms(
        self, beginning: StreamBeginning | None
    ) -> int | None:
        """Return when the server that began a stream reports to have started."""
        server = self.servers.servers.get(beginning.server_id) if beginning else None
        if server is None:
            return None
        since_wall_s = (beginning.connected_ms + CLOCK_TOLERANCE_MS) / 1000
        return await self.start_times.started_ms(server, since_wall_s)
