"""Calls to stage servers, and estimates of each server's speed from call times."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum

from egretshed.environment import Environment
from egretshed.errors import BackendError
from egretshed.platform.stage_calls import (
    StageItem,
    StageItemResult,
    decode_stage_results,
    encode_stage_call,
)
from egretshed.servers.slowness import corrected_slowness
from egretshed.servers.state import ServerState
from egretshed.upstream.exchange import ResponseHead
from egretshed.upstream.pool import (
    ConnectionPool,
    Ownership,
)

# A call may be given up after this multiple of its expected time plus a fixed margin.
CALL_TIMEOUT_FACTOR = 4.0
CALL_TIMEOUT_MARGIN_S = 0.6
# Interval at which it is asked again whether a silent call may be given up.
GIVE_UP_PERIOD_S = 0.25
MAX_RESPONSE_BYTES = 1024 * 1024
OVERLOAD_STATUSES = frozenset({429, 503})
# Handles remembered to recognise a second copy of a response; some minutes of calls.
MAX_KNOWN_HANDLES = 20_000
# Weight of a new observation in the moving average of a server's slowness, and the
# half-life with which the average decays to 1 while there are no observations.
SLOWNESS_EWMA_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_S = 3.0


class CallOutcome(Enum):
    """How a call to a stage server ended.

    `FULL` means that the server refused the call, `NOT_RUN` that it ran no piece,
    `MAY_HAVE_RUN` that it is unknown whether pieces ran, and `NOT_SENT` that the call
    was given up before it was sent.
    """

    ANSWERED = "answered"
    FULL = "full"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    NOT_SENT = "not_sent"


class KnownHandles:
    """Handles that stage servers have returned, the most recent ones.

    A server gives each result a new handle, so a response with a known one is a second
    copy of an earlier response.
    """

    def __init__(self) -> None:
        self._handles: OrderedDict[str, None] = OrderedDict()

    def identify(self, body: bytes, count: int) -> Ownership:
        """Return whether a body with `count` results answers the latest call."""
        try:
            results = decode_stage_results(body, count)
        except BackendError:
            return Ownership.UNKNOWN
        handles = [result.handle for result in results if result.handle]
        if any(handle in self._handles for handle in handles):
            return Ownership.FOREIGN
        return Ownership.PROVEN if handles else Ownership.UNKNOWN

    def add(self, results: list[StageItemResult]) -> None:
        for result in results:
            if result.handle:
                self._handles[result.handle] = None
        while len(self._handles) > MAX_KNOWN_HANDLES:
            self._handles.popitem(last=False)


async def call_stage_server(
    pool: ConnectionPool,
    known: KnownHandles,
    server: ServerState,
    items: list[StageItem],
    expected_s: float,
    on_head: Callable[[ResponseHead], None] | None = None,
    may_send: Callable[[], bool] = lambda: True,
    may_give_up: Callable[[], bool] = lambda: True,
) -> tuple[CallOutcome, list[StageItemResult]]:
    """Call a server; return the outcome and, if it answered, one result per piece.

    `on_head` is called with the head of the response, `may_send` before the call is
    sent. `may_give_up` tells whether the pieces could run elsewhere if the server is
    silent; if not, it is awaited until no piece is needed any more.
    """
    request = encode_stage_call(server.server_id, server.address, items)
    limit_s = expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_S
    needed_s = max((item.remaining_s for item in items), default=0.0)
    fetching = asyncio.ensure_future(
        pool.fetch(
            server.address,
            request,
            MAX_RESPONSE_BYTES,
            reuse=True,
            identify=lambda content: known.identify(content, len(items)),
            on_head=on_head,
            may_send=may_send,
        )
    )
    try:
        async with asyncio.timeout(max(limit_s, needed_s)):
            while not (await asyncio.wait({fetching}, timeout=limit_s))[0]:
                if may_give_up():
                    return CallOutcome.MAY_HAVE_RUN, []
                limit_s = GIVE_UP_PERIOD_S
        status, body = fetching.result()
        if status in OVERLOAD_STATUSES:
            return CallOutcome.FULL, []
        if status != 200:
            return CallOutcome.NOT_RUN, []
        results = decode_stage_results(body, len(items))
    except TimeoutError:
        return CallOutcome.MAY_HAVE_RUN, []
    except BackendError as error:
        if error.may_have_run:
            return CallOutcome.MAY_HAVE_RUN, []
        return CallOutcome.NOT_RUN, []
    finally:
        fetching.cancel()
    known.add(results)
    return CallOutcome.ANSWERED, results


class SlownessEstimator:
    """Moving averages of measured over declared call time and of reported slowness.

    Without new observations what the reports do not explain decays to 1, so that a
    server that has recovered gets calls again.
    """

    def __init__(self, env: Environment):
        self.env = env
        # Measured over declared time, the slowness reported then, and the time.
        self._estimates: dict[str, tuple[float, float, float]] = {}

    def estimate(self, server: ServerState) -> float:
        """Return the expected over the declared time of a call that starts now."""
        now_s = self.env.clock.monotonic_s()
        slowness, reported, at_s = self._known(server.server_id)
        trust = 0.5 ** ((now_s - at_s) / SLOWNESS_HALF_LIFE_S)
        return corrected_slowness(slowness, reported, trust, server.machine(now_s))

    def observe(self, server: ServerState, declared_s: float, took_s: float) -> None:
        now_s = self.env.clock.monotonic_s()
        slowness, reported, at_s = self._known(server.server_id)
        trust = 0.5 ** ((now_s - at_s) / SLOWNESS_HALF_LIFE_S)
        slowness = 1.0 + (slowness - 1.0) * trust
        reported = 1.0 + (reported - 1.0) * trust
        newest = server.machine(now_s).newest
        self._estimates[server.server_id] = (
            slowness + SLOWNESS_EWMA_WEIGHT * (took_s / declared_s - slowness),
            reported + SLOWNESS_EWMA_WEIGHT * (newest - reported),
            now_s,
        )

    def _known(self, server_id: str) -> tuple[float, float, float]:
        return self._estimates.get(server_id, (1.0, 1.0, 0.0))

    def keep_only(self, server_ids: set[str]) -> None:
        for server_id in [s for s in self._estimates if s not in server_ids]:
            del self._estimates[server_id]
