"""Streams of this node: running ones, and finished ones for callers that reconnect."""

import itertools
from collections import OrderedDict

from egretshed.environment import Environment
from egretshed.requests.stream import RequestStream

# Outcomes are kept this many times as long as the buffered items.
OUTCOME_RETENTION_FACTOR = 5


class StreamLocation:
    """The process that runs a stream, parsed from its id.

    The form of the id is ``<node_id>:<incarnation>:<number>``.
    """

    def __init__(self, node_id: str, incarnation: int, number: int):
        self.node_id = node_id
        self.incarnation = incarnation
        self.number = number

    @classmethod
    def parse(cls, stream_id: str) -> "StreamLocation | None":
        parts = stream_id.rsplit(":", 2)
        if len(parts) != 3 or not parts[0]:
            return None
        if not (parts[1].isdigit() and parts[2].isdigit()):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]))


class StreamStore:
    """Streams by id and by request id, bounded by `settings.streams`.

    A finished stream first loses its buffered items, later its outcome.
    """

    def __init__(self, env: Environment):
        self.env = env
        self._numbers = itertools.count(1)
        self._by_id: OrderedDict[str, RequestStream] = OrderedDict()
        self._by_request: dict[tuple[str, str], RequestStream] = {}

    def create(self, customer_id: str, request_id: str) -> RequestStream:
        identity = self.env.identity
        number = next(self._numbers)
        stream_id = f"{identity.node_id}:{identity.incarnation}:{number}"
        stream = RequestStream(self.env, stream_id, customer_id, request_id)
        self._by_id[stream_id] = stream
        self._by_request[customer_id, request_id] = stream
        return stream

    def find(self, customer_id: str, stream_id: str) -> RequestStream | None:
        stream = self._by_id.get(stream_id)
        if stream is None or stream.customer_id != customer_id:
            return None
        return stream

    def find_by_request(
        self, customer_id: str, request_id: str
    ) -> RequestStream | None:
        return self._by_request.get((customer_id, request_id))

    def find_for_all_customers(self, request_id: str) -> list[RequestStream]:
        """Return the streams of this request id, one per customer, for operators."""
        return [s for (_, i), s in self._by_request.items() if i == request_id]

    def running(self) -> list[RequestStream]:
        return [s for s in self._by_id.values() if not s.finished]

    def _unlink_request(self, stream: RequestStream) -> None:
        """Remove the request id from the index, unless it has a newer stream."""
        key = (stream.customer_id, stream.request_id)
        if self._by_request.get(key) is stream:
            del self._by_request[key]

    def expire(self) -> None:
        """Drop expired streams and buffers, and the oldest buffers above the limit."""
        settings = self.env.settings.streams
        now_s = self.env.clock.monotonic_s()
        used_bytes = sum(s.bytes_used for s in self._by_id.values())
        for stream in list(self._by_id.values()):
            if stream.finished_s is None:
                continue
            age_s = now_s - stream.finished_s
            if age_s > settings.keep_s * OUTCOME_RETENTION_FACTOR:
                del self._by_id[stream.stream_id]
                self._unlink_request(stream)
                stream.discard_items()
            elif age_s > settings.keep_s or used_bytes > settings.buffer_bytes:
                used_bytes -= stream.bytes_used
                stream.discard_items()
