"""One call to a stage server, and what is learned of the servers' speed from calls."""

import asyncio
from enum import Enum

from egretshed.environment import Environment
from egretshed.errors import BackendError
from egretshed.platform.stage_calls import (
    StageItem,
    StageItemResult,
    decode_stage_results,
    encode_stage_call,
)
from egretshed.servers.state import ServerState
from egretshed.upstream.pool import ConnectionPool

# A call that takes this many times its expected time, and a moment, is given up.
CALL_TIMEOUT_FACTOR = 4.0
CALL_TIMEOUT_MARGIN_S = 0.6
MAX_RESPONSE_BYTES = 1024 * 1024
OVERLOAD_STATUSES = frozenset({429, 503})
# Share of a new observation in a server's slowness, and how fast doubt about it grows.
SLOWNESS_EWMA_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_S = 3.0


class CallOutcome(Enum):
    """How a call to a stage server ended."""

    ANSWERED = "answered"
    FULL = "full"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


async def call_stage_server(
    pool: ConnectionPool, server: ServerState, items: list[StageItem], expected_s: float
) -> tuple[CallOutcome, list[StageItemResult]]:
    """Return how a call ended, and a result a piece if it was answered."""
    request = encode_stage_call(server.server_id, server.address, items)
    timeout_s = expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_S
    try:
        async with asyncio.timeout(timeout_s):
            status, body = await pool.fetch(
                server.address, request, MAX_RESPONSE_BYTES, reuse=True
            )
        if status in OVERLOAD_STATUSES:
            return CallOutcome.FULL, []
        if status != 200:
            return CallOutcome.NOT_RUN, []
        return CallOutcome.ANSWERED, decode_stage_results(body, len(items))
    except TimeoutError:
        return CallOutcome.MAY_HAVE_RUN, []
    except BackendError as error:
        if error.may_have_run:
            return CallOutcome.MAY_HAVE_RUN, []
        return CallOutcome.NOT_RUN, []


class SlownessEstimator:
    """Measured call times by declared ones, for each server.

    A server is taken for usual again if nothing was heard of it for a while, so that
    one that has recovered is found.
    """

    def __init__(self, env: Environment):
        self.env = env
        self._known: dict[str, tuple[float, float]] = {}

    def estimate(self, server_id: str) -> float:
        slowness, at_s = self._known.get(server_id, (1.0, 0.0))
        age_s = self.env.clock.monotonic_s() - at_s
        return 1.0 + (slowness - 1.0) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)

    def observe(self, server_id: str, declared_s: float, took_s: float) -> None:
        known = self.estimate(server_id)
        slowness = known + SLOWNESS_EWMA_WEIGHT * (took_s / declared_s - known)
        self._known[server_id] = (slowness, self.env.clock.monotonic_s())
