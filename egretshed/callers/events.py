"""Server-sent events of a request's stream, which runs here or on another node."""

import asyncio
from collections.abc import AsyncIterator
from itertools import chain
from typing import Any

import msgspec

from egretshed.environment import Environment
from egretshed.errors import (
    EgretshedError,
    NotFound,
    PeerRejected,
    PeerUnavailable,
)
from egretshed.gen.messages.ttypes import (
    Ack,
    CancelRequest,
    OutcomeQuery,
    OutcomeReply,
    StreamEvent,
    StreamEvents,
    StreamFetch,
)
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.requests.runner import RequestRunner
from egretshed.requests.store import StreamLocation
from egretshed.requests.stream import (
    RequestStream,
    StreamBatch,
)

KEEP_ALIVE_PERIOD_S = 2.0
FETCH_WAIT_S = 1.0
FETCH_TIMEOUT_S = 2.0
MAX_FETCH_ATTEMPTS = 3
# The first fetch fails before the first keep-alive comment is due. Until something is
# written, a caller that resumes can still get an error status or a new stream.
FIRST_FETCH_TIMEOUT_S = 1.5
MAX_FIRST_FETCH_ATTEMPTS = 1
MAX_OUTCOME_PEERS = 16
# Wire value for all customers. Only operators' queries use it; a caller's query always
# names its customer.
ALL_CUSTOMERS = ""


class StreamLost(EgretshedError):
    """The node that ran the stream no longer has it or does not answer.

    The caller may submit the request again with the same request id.
    """

    code = "stream_lost"
    http_status = 410


def encode_event(batch: StreamBatch) -> bytes:
    """Return `batch` as one server-sent event.

    Its `id` is the sequence number after which a caller resumes.
    """
    data = msgspec.json.encode(batch.data)
    return b"id: %d\nevent: %s\ndata: %s\n\n" % (
        batch.sequence,
        batch.event.encode(),
        data,
    )


async def local_batches(
    stream: RequestStream, after: int, coalesce_s: float
) -> AsyncIterator[list[StreamBatch]]:
    """Yield the batches that follow sequence number `after`, until the stream ends.

    Except before the first batch of a stream, waits `coalesce_s` for more tokens, so
    that a burst takes one write; the delay is far below the token interval. Yields an
    empty list whenever there is nothing new for `KEEP_ALIVE_PERIOD_S`.
    """
    while True:
        if stream.sequence <= after:
            try:
                async with asyncio.timeout(KEEP_ALIVE_PERIOD_S):
                    await stream.wait_for_item_after(after)
            except TimeoutError:
                yield []
                continue
        if stream.has_tokens and not stream.finished and after:
            await asyncio.sleep(coalesce_s)
        batches = stream.batches_after(after)
        after = stream.sequence
        # Read before the yield, since more items may be appended while the consumer
        # handles these batches.
        is_last = stream.finished
        yield batches
        if is_last:
            return


async def with_keep_alive(
    batches: AsyncIterator[list[StreamBatch]],
) -> AsyncIterator[list[StreamBatch]]:
    """Yield from `batches`, and an empty list after each idle `KEEP_ALIVE_PERIOD_S`."""
    iterator = aiter(batches)
    next_batches = asyncio.ensure_future(anext(iterator))
    try:
        while True:
            done, _ = await asyncio.wait({next_batches}, timeout=KEEP_ALIVE_PERIOD_S)
            if not done:
                yield []
                continue
            try:
                found = next_batches.result()
            except StopAsyncIteration:
                return
            next_batches = asyncio.ensure_future(anext(iterator))
            yield found
    finally:
        next_batches.cancel()


class StreamProxy:
    """Reads, cancels and looks up streams on any node, and serves those run here."""

    def __init__(self, env: Environment, peers: PeerNetwork, runner: RequestRunner):
        self.env = env
        self.peers = peers
        self.runner = runner
        peers.handle(StreamFetch, self._on_fetch)
        peers.handle(CancelRequest, self._on_cancel)
        peers.handle(OutcomeQuery, self._on_outcome)

    def is_local(self, location: StreamLocation) -> bool:
        identity = self.env.identity
        return (location.node_id, location.incarnation) == (
            identity.node_id,
            identity.incarnation,
        )

    async def batches(
        self, customer_id: str, stream_id: str, after: int
    ) -> AsyncIterator[list[StreamBatch]]:
        """Yield the batches after sequence number `after`, from any node's stream.

        Raises `NotFound` if the stream is unknown, and `StreamLost` if another node ran
        it and does not answer or no longer has it.
        """
        location = StreamLocation.parse(stream_id)
        if location is None:
            raise NotFound(f"unknown stream {stream_id!r}")
        if not self.is_local(location):
            remote = self._remote_batches(location, customer_id, stream_id, after)
            async for batches in with_keep_alive(remote):
                yield batches
            return
        stream = self.runner.store.find(customer_id, stream_id)
        if stream is None:
            raise NotFound(f"unknown stream {stream_id!r}")
        coalesce_s = self.env.settings.streams.coalesce_s
        async for batches in local_batches(stream, after, coalesce_s):
            yield batches

    async def cancel(self, customer_id: str, stream_id: str) -> None:
        location = StreamLocation.parse(stream_id)
        if location is None:
            raise NotFound(f"unknown stream {stream_id!r}")
        if self.is_local(location):
            self._cancel_local(customer_id, stream_id)
            return
        try:
            await self.peers.call(
                location.node_id, CancelRequest(customer_id, stream_id)
            )
        except PeerRejected as error:
            raise NotFound(f"unknown stream {stream_id!r}") from error

    async def outcome(
        self, customer_id: str, request_id: str, node_ids: list[str]
    ) -> dict[str, Any] | None:
        """Return a request's outcome from up to `MAX_OUTCOME_PEERS` of `node_ids`."""
        found = await self._query_peers(customer_id, request_id, node_ids)
        return found[0] if found else None

    async def outcomes_for_all_customers(
        self, request_id: str, node_ids: list[str]
    ) -> list[dict[str, Any]]:
        """Return the outcomes of a request id for operators, across all customers.

        Asks this node and up to `MAX_OUTCOME_PEERS` of `node_ids`. Each outcome also
        has the fields `customer_id` and `node_id`.
        """
        replies = await self._query_peers(ALL_CUSTOMERS, request_id, node_ids)
        return self._local_outcomes_for_all_customers(request_id) + list(
            chain(*replies)
        )

    def _local_outcomes_for_all_customers(
        self, request_id: str
    ) -> list[dict[str, Any]]:
        node_id = self.env.identity.node_id
        return [
            {
                **self.local_outcome(stream.customer_id, request_id),
                "customer_id": stream.customer_id,
                "node_id": node_id,
            }
            for stream in self.runner.store.find_for_all_customers(request_id)
        ]

    async def _query_peers(
        self, customer_id: str, request_id: str, node_ids: list[str]
    ) -> list[Any]:
        query = OutcomeQuery(customer_id, request_id)
        calls = [self.peers.call(n, query) for n in node_ids[:MAX_OUTCOME_PEERS]]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        return [
            msgspec.json.decode(reply.body)
            for reply in replies
            if isinstance(reply, OutcomeReply) and reply.known
        ]

    def local_outcome(self, customer_id: str, request_id: str) -> dict | None:
        stream = self.runner.store.find_by_request(customer_id, request_id)
        if stream is None:
            return None
        running = {"outcome": "running", "stream_id": stream.stream_id}
        return stream.outcome or {**running, "request_id": request_id}

    async def _remote_batches(self, location, customer_id, stream_id, after):
        failures = 0
        max_attempts, timeout_s = MAX_FIRST_FETCH_ATTEMPTS, FIRST_FETCH_TIMEOUT_S
        while True:
            fetch = StreamFetch(customer_id, stream_id, after, int(FETCH_WAIT_S * 1000))
            try:
                reply = await self.peers.call(location.node_id, fetch, timeout_s)
            except PeerRejected as error:
                raise self._stream_lost(stream_id) from error
            except PeerUnavailable as error:
                failures += 1
                if failures >= max_attempts:
                    raise self._stream_lost(stream_id) from error
                continue
            failures = 0
            max_attempts, timeout_s = MAX_FETCH_ATTEMPTS, FETCH_TIMEOUT_S
            batches = [_from_wire(event) for event in reply.events]
            if batches:
                after = batches[-1].sequence
                yield batches
            if reply.finished:
                return

    def _stream_lost(self, stream_id: str) -> StreamLost:
        return StreamLost(
            "the node that ran the stream no longer provides it; submit the request "
            "again with the same request id",
            stream_id=stream_id,
        )

    async def _on_fetch(self, sender: Sender, fetch: StreamFetch) -> StreamEvents:
        stream = self.runner.store.find(fetch.customer_id, fetch.stream_id)
        if stream is None:
            raise NotFound(f"unknown stream {fetch.stream_id!r}")
        try:
            async with asyncio.timeout(fetch.wait_ms / 1000):
                await stream.wait_for_item_after(fetch.after_sequence)
        except TimeoutError:
            return StreamEvents([], False)
        batches = stream.batches_after(fetch.after_sequence)
        return StreamEvents([_to_wire(batch) for batch in batches], stream.finished)

    async def _on_cancel(self, sender: Sender, request: CancelRequest) -> Ack:
        self._cancel_local(request.customer_id, request.stream_id)
        return Ack()

    async def _on_outcome(self, sender: Sender, query: OutcomeQuery) -> OutcomeReply:
        if query.customer_id == ALL_CUSTOMERS:
            outcome = self._local_outcomes_for_all_customers(query.request_id)
        else:
            outcome = self.local_outcome(query.customer_id, query.request_id)
        if not outcome:
            return OutcomeReply(False, None)
        return OutcomeReply(True, msgspec.json.encode(outcome))

    def _cancel_local(self, customer_id: str, stream_id: str) -> None:
        if not self.runner.cancel(customer_id, stream_id):
            raise NotFound(f"no running stream {stream_id!r}")


def _to_wire(batch: StreamBatch) -> StreamEvent:
    body = {"event": batch.event, "data": batch.data}
    return StreamEvent(batch.sequence, msgspec.json.encode(body))


def _from_wire(event: StreamEvent) -> StreamBatch:
    body = msgspec.json.decode(event.body)
    return StreamBatch(event.sequence, body["event"], body["data"])
