"""Asks servers when their processes started.

The list of servers may show a restart late: while the store is silent, or if it gives
outdated reads. A server itself knows.
"""

import asyncio
from typing import NamedTuple

from egretshed.environment import Environment
from egretshed.platform.server_reports import (
    decode_started_ms,
    encode_report_request,
)
from egretshed.platform.server_signals import decode_server_signals
from egretshed.servers.registry import ServerRegistry
from egretshed.servers.state import ServerState
from egretshed.upstream.exchange import ExchangeFailed
from egretshed.upstream.pool import ConnectionPool

TIMEOUT_S = 0.2
MAX_REPORT_BYTES = 64 * 1024
# Callers that come back together after the crash of a server share one question to it.
MAX_AGE_S = 1.0


class _Question(NamedTuple):
    asked_wall_s: float
    reply: asyncio.Task[int | None]


class ServerStartTimes:
    """Source of the start times that servers report of themselves."""

    def __init__(self, env: Environment, pool: ConnectionPool, servers: ServerRegistry):
        self.env = env
        self.pool = pool
        self.servers = servers
        self._questions: dict[str, _Question] = {}

    async def started_ms(self, server: ServerState, since_wall_s: float) -> int | None:
        """Return the Unix time of a server's start, or None if it is not known.

        The server was asked at `since_wall_s` or later. It is not asked if that would
        exceed a limit that it has named, or in a pause that it has asked for.
        """
        server_id = server.server_id
        now_s = self.env.clock.wall_s()
        self._questions = {
            asked_id: question
            for asked_id, question in self._questions.items()
            if now_s - question.asked_wall_s < MAX_AGE_S
        }
        question = self._questions.get(server_id)
        if question is None or question.asked_wall_s < since_wall_s:
            if not self.servers.acquire_report_permit(server):
                return None
            reply = asyncio.create_task(self._ask(server))
            question = self._questions[server_id] = _Question(now_s, reply)
        return await asyncio.shield(question.reply)

    async def _ask(self, server: ServerState) -> int | None:
        request = encode_report_request(server.server_id, server.address)
        sent_s = self.env.clock.monotonic_s()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                status, body = await self.pool.fetch(
                    server.address,
                    request,
                    MAX_REPORT_BYTES,
                    on_head=lambda head: self.servers.record_signals(
                        server, decode_server_signals(head), sent_s, may_lift=False
                    ),
                )
        except (ExchangeFailed, TimeoutError):
            return None
        return decode_started_ms(status, body)
